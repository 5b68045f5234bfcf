//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["upgrade"] = upgrade }

// upgrade: the replicas of a service are restarted one after the other, each under its id, with the
// next version of their software.
func upgrade(root string, trouble bool, rec *record) int {
	c, err := newCluster(root, 5, 3, 2, rec, "47")
	if err != nil {
		rec.log("cannot prepare: %v", err)
		return couldNot
	}
	defer c.close(os.Getenv("KEEP") != "")
	replicas := make([]*replica, 5)
	for i := range replicas {
		if replicas[i], err = newReplica(rec, fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("zone-%d", i%3), "v1", 30, 200*time.Millisecond); err != nil {
			return couldNot
		}
		c.api.add(replicas[i])
	}
	if err := c.startAll(); err != nil {
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
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	streams, whole, mixed := 0, 0, 0
	stop := make(chan struct{})
	for g := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				wg.Go(func() {
					id := fmt.Sprintf("str%d-%d", g, n)
					res := streamTry{address: c.front(g), host: streamHost, path: streamPath, key: streamKey, id: id, remaining: 12 * time.Second, patience: patience}.run()
					mu.Lock()
					defer mu.Unlock()
					streams++
					if res.complete {
						whole++
					}
					if len(res.versions) > 1 {
						mixed++
						rec.log("client: stream %s at %s holds events of %v; status %d, %d events, complete %v", id, c.gateways[g].name, res.versions, res.status, res.got, res.complete)
					}
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	for i, r := range replicas {
		if !trouble {
			time.Sleep(2500 * time.Millisecond)
			continue
		}
		rec.log("replica %s stops", r.id)
		r.stop()
		time.Sleep(2 * time.Second)
		if replicas[i], err = r.startAgain("v2"); err != nil {
			rec.log("%v", err)
			return couldNot
		}
		c.api.add(replicas[i])
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	rec.log("streams: %d, whole: %d, with events of two versions: %d", streams, whole, mixed)
	if mixed > 2 {
		rec.log("ORDER is broken")
		return broken
	}
	return held
}
