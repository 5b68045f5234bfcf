//go:build review

package main

import (
	"fmt"
	"time"
)

// founding checks the gate's Acks and Fault: on the first start of the whole system, the process of one
// seed is killed and starts again. The operator's first configuration must be acknowledged, and
// clients served.
func founding(c *cluster) (bool, error) {
	target, err := freeAddress()
	if err != nil {
		return false, err
	}
	if _, err := c.replica("-id", "i-0001", "-address", target, "-events", "3", "-pause", "5ms"); err != nil {
		return false, err
	}
	c.platform.set(entry{"i-0001", "docket-llm", target, zoneNames[0], 64, "ready"})
	if err := c.startAll(); err != nil {
		return false, err
	}
	time.Sleep(killAfter)
	if trouble() {
		c.core[0].kill()
		c.rec.log("killed %s", c.core[0].name)
	}
	time.Sleep(restartAfter)
	if err := c.endBootstrap(); err != nil { // "bootstrap is true only at the first start of the whole system".
		return false, err
	}
	if trouble() {
		if err := c.core[0].start(); err != nil {
			return false, err
		}
		c.rec.log("started %s again (process %d)", c.core[0].name, c.core[0].cmd.Process.Pid)
	}
	acked := c.put(document(1), askFor)
	for _, p := range c.core {
		c.rec.log("%s runs: %v", p.name, p.running())
	}
	if !acked {
		c.rec.log("BROKEN: the first configuration is not acknowledged 40 s after the last start, with all machines running and connected")
		return false, nil
	}
	if !c.awaitReady(0, 20*time.Second) {
		return false, nil
	}
	r := ask(c.front(0), "POST", "/once/x", "a0001", 5*time.Second)
	c.rec.log("client got for a0001: status %d, %d bytes, complete %v, error %v", r.status, len(r.body), r.complete, r.err)
	if r.status != 200 {
		return false, fmt.Errorf("the request was not served")
	}
	return true, nil
}

// killAfter is the time from the start of the last machine to the kill. All machines start within
// 0.3 s of one another.
const (
	killAfter = 100 * time.Millisecond
	// askFor is how long the operator sends the first configuration: ten times ackMs.
	askFor       = 40 * time.Second
	restartAfter = 500 * time.Millisecond // "It is restarted after a short delay with the settings current at that moment."
)
