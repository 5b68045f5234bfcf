//go:build review

package main

import (
	"fmt"
	"time"
)

// otherWriter is an entry that another writer has produced: like one of the platform's, with bytes
// in a field that cannot be read.
const otherWriter = `{"service":"docket-llm","address":"127.0.0.` + "\x00\x01\xff" + `","zone":"br-main","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"id":"i-7f3a91c2"}`

// listed checks Fault: an entry of another writer stands in the platform's list before the
// replicas. The other entries hold, so clients must be served.
func listed(c *cluster) (bool, error) {
	var list []entry
	for i := range 4 {
		target, err := freeAddress()
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-000%d", i+1)
		if _, err := c.replica("-id", id, "-address", target, "-events", "3", "-pause", "5ms"); err != nil {
			return false, err
		}
		list = append(list, entry{id, "docket-llm", target, zoneNames[i], 64, "ready"})
	}
	c.platform.set(list...)
	if trouble() {
		c.platform.prepend(otherWriter)
		c.rec.log("an entry of another writer stands in the list before the others: %q", otherWriter)
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	if !c.put(document(1), 20*time.Second) || !c.awaitReady(0, 20*time.Second) {
		return false, fmt.Errorf("the system did not start")
	}
	time.Sleep(4 * time.Second)
	served := 0
	const requests = 100
	for n := range requests {
		id := fmt.Sprintf("a%04d", n)
		r := ask(c.front(n%edgeMachines), "POST", "/once/x", id, 1500*time.Millisecond)
		c.rec.log("client got for %s: status %d, %d bytes, complete %v, error %v", id, r.status, len(r.body), r.complete, r.err)
		if r.status == 200 && r.complete {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.rec.log("served %d of %d", served, requests)
	return served > 0, nil
}
