//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// listenAfter is when the operator first sends the configuration: all machines listen by then.
	listenAfter = 150 * time.Millisecond
	// wipedFor is how long the machine that lost its disk is away.
	wipedFor = 3 * time.Second
	// watchFor is how long the operator asks after that machine is back.
	watchFor = 30 * time.Second
)

// firstAck checks CONFIG, LOST and Acks: the machine that acknowledges the first configuration loses its
// disk right after that and comes back with an empty one. What was acknowledged must be read back, and
// the next configuration be acknowledged.
func firstAck(c *cluster) (bool, error) {
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
	time.Sleep(listenAfter)
	at, ok := c.putAt(document(1), 20*time.Second)
	if !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	lost := c.core[at]
	if trouble() {
		lost.kill()
		c.rec.log("killed %s, which acknowledged configuration 1; its disk is lost", lost.name)
	}
	time.Sleep(wipedFor)
	if trouble() {
		c.dataDirs[at] = fmt.Sprintf("empty-%d", at)
	}
	if err := c.endBootstrap(); err != nil {
		return false, err
	}
	if trouble() {
		if err := lost.start(); err != nil {
			return false, err
		}
		c.rec.log("started %s with an empty disk at its old address (process %d)", lost.name, lost.cmd.Process.Pid)
	}
	back := time.Now()
	version, next := c.fetch(back.Add(watchFor))
	c.rec.log("operator: configuration read back %.1f s after the machine is back: version %d", time.Since(back).Seconds(), version)
	if version > 0 {
		_, next = c.putAt(document(2), 20*time.Second)
	}
	served := 0
	for n := range 5 {
		id := fmt.Sprintf("a%04d", n)
		r := ask(c.front(n%edgeMachines), "POST", "/once/x", id, 1500*time.Millisecond)
		c.rec.log("client got for %s: status %d, %d bytes, complete %v, error %v", id, r.status, len(r.body), r.complete, r.err)
		if r.status == 200 && r.complete {
			served++
		}
	}
	for _, p := range c.core {
		c.rec.log("%s runs: %v", p.name, p.running())
	}
	c.rec.log("configuration 2 acknowledged: %v; %d of 5 requests served", next, served)
	if version == 0 {
		c.rec.log("BROKEN: configuration 1 was acknowledged, and no machine gives it back")
	}
	return version > 0 && next && served > 0, nil
}

// fetch reads the configuration back from one machine after the other until one gives it.
func (c *cluster) fetch(until time.Time) (version int, ok bool) {
	client := http.Client{Timeout: time.Second}
	list := c.operators()
	for n := 0; time.Now().Before(until); n++ {
		at := list[n%len(list)]
		resp, err := client.Get("http://" + at + "/api/Config.Fetch")
		if err != nil {
			c.rec.log("operator: read from %s: %v", at, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.rec.log("operator: read from %s: %d", at, resp.StatusCode)
		var doc struct{ Version int }
		if resp.StatusCode == http.StatusOK && json.Unmarshal(data, &doc) == nil {
			return doc.Version, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, false
}
