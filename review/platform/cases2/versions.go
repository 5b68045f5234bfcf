//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["versions"] = versions }

const (
	streamHost = "llm.example"
	streamPath = "/draft/1"
	streamKey  = "key-one"
	// routeTimeout, aim and gap are those of the route.
	routeTimeout = 12 * time.Second
	aim          = 600 * time.Millisecond
	gap          = 600 * time.Millisecond
	// patience is how long a client bears silence: PROTOCOL.md, Requests (two seconds, four times
	// the objective or eight times the gap, whichever is the longest).
	patience = 8 * gap
	// dark is for_s of node_kill with how = power as `fleetbench kinds` has it.
	dark = 5 * time.Second
	// enough is the number of streams taken up from which the rule counts.
	enough = 12
)

// streamDocument returns a configuration whose route leads to targets, a part of its JSON.
func streamDocument(version int, targets string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"draft","host":%q,"pathPrefix":"/draft/","kind":"streaming","timeoutMs":%d,"targetLatencyMs":%d,"priority":0,%s,"maxAttempts":2,"authExempt":false,"sessionAffinity":true,"streamResume":true,"targetGapMs":%d}],`+
		`"services":[{"name":"llm","healthPath":"/health","maxConnections":250,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":587977,"kvTokenBytes":163840,"linkMbps":740000.0,"moves":false,"backups":false,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"llm-b","healthPath":"/health","maxConnections":250,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":[%q]}]}`,
		version, streamHost, routeTimeout.Milliseconds(), aim.Milliseconds(), targets, gap.Milliseconds(), streamKey)
}

// versions: one gateway loses power, and the operator splits the route between two services half a
// second later. Clients take up the streams that the gateway carried at the other gateways. The
// stopped process stands for the dark machine: it says nothing, and its connections hang.
func versions(root string, trouble bool, rec *record) int {
	c, err := newCluster(root, 5, 4, 2, rec, "47")
	if err != nil {
		rec.log("cannot prepare: %v", err)
		return couldNot
	}
	defer c.close(os.Getenv("KEEP") != "")
	for i := range 4 {
		r, err := newReplica(rec, fmt.Sprintf("i-old%d", i), "llm", fmt.Sprintf("zone-%d", i%3), "v1", 45, 200*time.Millisecond)
		if err != nil {
			return couldNot
		}
		c.api.add(r)
	}
	for i := range 2 {
		r, err := newReplica(rec, fmt.Sprintf("i-second%d", i), "llm-b", fmt.Sprintf("zone-%d", i), "v1", 45, 200*time.Millisecond)
		if err != nil {
			return couldNot
		}
		c.api.add(r)
	}
	if err := c.startAll(); err != nil {
		rec.log("cannot start: %v", err)
		return couldNot
	}
	if err := c.replace(streamDocument(1, `"service":"llm"`), 15*time.Second); err != nil {
		rec.log("%v", err)
		return couldNot
	}
	for _, p := range c.gateways {
		if err := c.awaitReady(p, 15*time.Second); err != nil {
			rec.log("%v", err)
			return couldNot
		}
	}
	rec.log("all gateways are ready; the service runs one version for a while")
	time.Sleep(2*routeTimeout + 3*time.Second)

	var mu sync.Mutex
	var wg sync.WaitGroup
	newTried, newBegun, taken, wentOn := 0, 0, 0, 0
	leave := make(chan struct{})
	stop := make(chan struct{})
	began := time.Now()

	// New streams at the other gateways, all the while.
	for g := 1; g < 4; g++ {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				wg.Go(func() {
					id := fmt.Sprintf("new%d-%d", g, n)
					res := streamTry{address: c.front(g), host: streamHost, path: streamPath, key: streamKey, id: id, remaining: 12 * time.Second, patience: patience, leave: stop}.run()
					mu.Lock()
					defer mu.Unlock()
					newTried++
					if res.got > 0 {
						newBegun++
					} else {
						rec.log("client: new stream %s at %s: status %d, %v", id, c.gateways[g].name, res.status, res.err)
					}
				})
			}
		})
	}
	// Streams at the first gateway.
	const streams = 30
	for n := range streams {
		wg.Go(func() {
			first := fmt.Sprintf("str%02d-1", n)
			deadline := time.Now().Add(12 * time.Second)
			var broken <-chan struct{}
			if !trouble {
				broken = leave
			}
			res := streamTry{address: c.front(0), host: streamHost, path: streamPath, key: streamKey, id: first, remaining: time.Until(deadline), patience: patience, leave: broken}.run()
			rec.log("client: stream %s at %s: status %d, %d events up to %d, complete %v, silent %v, %v", first, c.gateways[0].name, res.status, res.got, res.last, res.complete, res.silent, res.err)
			if res.complete || res.last == 0 {
				return
			}
			last, went := res.last, false
			for try := 2; try <= 4 && time.Until(deadline) > 0; try++ {
				g := 1 + (n+try)%3
				id := fmt.Sprintf("str%02d-%d", n, try)
				res = streamTry{address: c.front(g), host: streamHost, path: streamPath, key: streamKey, id: id, resumes: first, last: last, remaining: time.Until(deadline), patience: patience}.run()
				rec.log("client: stream %s taken up as %s at %s after event %d: status %d, %d events up to %d, complete %v, retry after %v, %v", first, id, c.gateways[g].name, last, res.status, res.got, res.last, res.complete, res.retryAfter, res.err)
				if went = res.got > 0; went {
					break
				}
				time.Sleep(min(res.retryAfter, time.Until(deadline)/3))
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if went {
				wentOn++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.log("%s loses power (SIGSTOP)", c.gateways[0].name)
		c.gateways[0].signal(syscall.SIGSTOP)
	}
	back := time.After(dark)
	time.Sleep(500 * time.Millisecond)
	if err := c.replace(streamDocument(2, `"trafficSplit":[{"service":"llm","weight":90},{"service":"llm-b","weight":10}]`), 4*time.Second); err != nil {
		rec.log("%v", err)
		return couldNot
	}
	rec.log("operator: configuration 2 is acknowledged: it sends a tenth of the route's requests to a second service; the first stays")
	time.Sleep(patience - 500*time.Millisecond)
	close(leave)
	<-back
	if trouble {
		rec.log("%s is back (SIGKILL and a new start)", c.gateways[0].name)
		c.gateways[0].signal(syscall.SIGKILL)
		<-c.gateways[0].ended
		if err := c.start(c.gateways[0]); err != nil {
			return couldNot
		}
	}
	time.Sleep(max(0, 10*time.Second-time.Since(began)))
	close(stop)
	wg.Wait()
	rec.log("new streams at the other gateways: %d, begun: %d", newTried, newBegun)
	rec.log("streams taken up again there: %d, of which %d went on", taken, wentOn)
	switch {
	case newTried == 0 || taken < enough:
		rec.log("too few streams for the rule")
		return couldNot
	case 2*wentOn*newTried < taken*newBegun:
		rec.log("LOST is broken: the share that goes on is under half of the share of new streams that begin")
		return broken
	}
	rec.log("LOST holds")
	return held
}
