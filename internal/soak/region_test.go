package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// twoRegions has a control instance and a gateway in each of three failure domains, which
// are in two regions.
var twoRegions = Size{Controls: 3, Gateways: 3, Backends: 3, Regions: 2}

// waitForDomainLinks waits until each gateway is connected to the control instance of its
// own failure domain: the leader to its own, and each other one as the relay of one
// gateway.
func waitForDomainLinks(t *testing.T, c *Cluster) (leader int) {
	t.Helper()
	var seen []string
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(requestPause) {
		relays := 0
		seen, leader = nil, -1
		for i := range c.Size.Controls {
			status, err := c.Status(i)
			relay, _ := c.Relay(i)
			seen = append(seen, fmt.Sprintf("%d: %+v %v", i, relay, err))
			if err == nil && status.Leader.Name == c.Operators()[i] {
				leader = i
			}
			if relay.Gateways == 1 && !relay.Overdue {
				relays++
			}
		}
		if relays == c.Size.Controls-1 && leader >= 0 {
			return leader
		}
	}
	t.Fatalf("gateways are not connected by failure domain: %v", seen)
	return -1
}

// TestRelayLost checks with real processes that each gateway continues to serve while a
// relay is killed, stopped or cut off, and is connected to it again after that; and that
// no guarantee is broken.
func TestRelayLost(t *testing.T) {
	underLoadOf(t, twoRegions, func(c *Cluster, _ *Rollouts) {
		for name, fault := range map[string]struct{ begin, end func(i int) error }{
			"killed": {
				func(i int) error { c.Proc(fmt.Sprint("control-", i)).Kill(); return nil },
				func(i int) error { return c.Proc(fmt.Sprint("control-", i)).Start() },
			},
			"frozen": {
				func(i int) error { return c.Proc(fmt.Sprint("control-", i)).Signal(syscall.SIGSTOP) },
				func(i int) error { return c.Proc(fmt.Sprint("control-", i)).Signal(syscall.SIGCONT) },
			},
			"cut off from all that call it": {
				func(i int) error { c.controlProxies[2*i+1].Set(LinkSilent); return nil },
				func(i int) error { c.controlProxies[2*i+1].Set(LinkGood); return nil },
			},
		} {
			lost := (waitForDomainLinks(t, c) + 1) % c.Size.Controls
			if err := fault.begin(lost); err != nil {
				t.Error(err)
			}
			waitForLeaderContact(t, c, name)
			for g, address := range c.Callers() {
				waitUntilServed(t, address, fmt.Sprint(name, g))
			}
			if err := fault.end(lost); err != nil {
				t.Error(err)
			}
		}
		waitForDomainLinks(t, c)
	})
}

// waitForLeaderContact waits until each gateway has heard from the leader after the call.
func waitForLeaderContact(t *testing.T, c *Cluster, name string) {
	t.Helper()
	began := time.Now()
	for g := range c.Callers() {
		for end := time.Now().Add(readyTimeout); ; time.Sleep(requestPause) {
			var d struct {
				AgeMS int64 `json:"age_ms"`
			}
			asked := time.Now()
			err := c.fetchDump(hostPort(gatewayIP(g), c.ports.metrics), &d)
			if err == nil && d.AgeMS >= 0 && asked.Add(-time.Duration(d.AgeMS)*time.Millisecond).After(began) {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("relay %s: gateway %d has no contact to the leader: %+v, %v", name, g, d, err)
			}
		}
	}
}

// TestRelaysFollowLeaders checks that gateways get configurations and serve through relays
// while each control instance in turn, leader or relay, is killed.
func TestRelaysFollowLeaders(t *testing.T) {
	c, k, o := startCluster(t, twoRegions)
	for i := range c.Size.Controls {
		waitForDomainLinks(t, c)
		p := c.Proc(fmt.Sprint("control-", i))
		p.Kill()
		putUntilTaken(t, o, uint64(i+2))
		waitForLeaderContact(t, c, "killed")
		for g, address := range c.Callers() {
			waitUntilServed(t, address, fmt.Sprint("without-", i, g))
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntilReadBack(t, o, i)
	}
	waitForDomainLinks(t, c)
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}
