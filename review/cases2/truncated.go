//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["truncated"] = truncated }

// truncated: a gateway is suspended, and one of the replicas crashes and is back meanwhile. Its
// streams, which have neither a length nor chunks, ended early.
func truncated(root string, trouble bool, rec *record) int {
	const (
		events = 45
		freeze = 3500 * time.Millisecond
		down   = 2 * time.Second
	)
	c, err := newCluster(root, 5, 3, 2, rec, "47")
	if err != nil {
		rec.log("cannot prepare: %v", err)
		return couldNot
	}
	defer c.close(os.Getenv("KEEP") != "")
	replicas := make([]*replica, 4)
	for i := range replicas {
		if replicas[i], err = newReplica(rec, fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("zone-%d", i%3), "v1", events, 200*time.Millisecond); err != nil {
			return couldNot
		}
		replicas[i].unframed = true
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
	whole, cut, early := 0, 0, 0
	const streams = 40
	for n := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("str%02d", n)
			res := streamTry{address: c.front(0), host: streamHost, path: streamPath, key: streamKey, id: id, remaining: 12 * time.Second, patience: patience}.run()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case res.complete && res.last == events:
				whole++
			case res.complete:
				early++
				rec.log("client: %s: status %d, the answer ends as complete after event %d of %d", id, res.status, res.last, events)
			default:
				cut++
				rec.log("client: %s: status %d, the answer breaks off after event %d: %v", id, res.status, res.last, res.err)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.log("%s is suspended (SIGSTOP)", c.gateways[0].name)
		c.gateways[0].signal(syscall.SIGSTOP)
		thaw := time.After(freeze)
		time.Sleep(500 * time.Millisecond)
		rec.log("replica %s crashes", replicas[0].id)
		replicas[0].stop()
		time.Sleep(down)
		r, err := replicas[0].startAgain("v1")
		if err != nil {
			rec.log("%v", err)
			return couldNot
		}
		c.api.add(r)
		<-thaw
		rec.log("%s goes on (SIGCONT)", c.gateways[0].name)
		c.gateways[0].signal(syscall.SIGCONT)
	}
	wg.Wait()
	rec.log("streams: %d, whole: %d, broken off: %d, ended early as complete: %d", streams, whole, cut, early)
	if early > 0 {
		rec.log("MIXED is broken")
		return broken
	}
	return held
}
