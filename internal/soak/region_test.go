package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// inRegions is a control instance and a gateway in each of three domains, which lie in
// two regions.
var inRegions = Size{Controls: 3, Gateways: 3, Backends: 3, Regions: 2}

// linkedByDomain waits until each gateway is linked to the control instance of its own
// domain: the leader knows its own, and each other one relays for one.
func linkedByDomain(t *testing.T, c *Cluster) (leader int) {
	t.Helper()
	var seen []string
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(askPause) {
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
	t.Fatalf("gateways are not linked by domain: %v", seen)
	return -1
}

// TestRelayLost checks with real processes that each gateway goes on serving while a
// relay is killed, freezes, or is cut off, one after the other, and is linked to it
// again behind that; and that no promise is broken.
func TestRelayLost(t *testing.T) {
	underLoadOf(t, inRegions, func(c *Cluster, _ *Rollouts) {
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
				func(i int) error { c.proxies[2*i+1].Set(LinkSilent); return nil },
				func(i int) error { c.proxies[2*i+1].Set(LinkGood); return nil },
			},
		} {
			lost := (linkedByDomain(t, c) + 1) % c.Size.Controls
			if err := fault.begin(lost); err != nil {
				t.Error(err)
			}
			confirmedAnew(t, c, name)
			for g, address := range c.Callers() {
				served(t, address, fmt.Sprint(name, g))
			}
			if err := fault.end(lost); err != nil {
				t.Error(err)
			}
		}
		linkedByDomain(t, c)
	})
}

// confirmedAnew waits until each gateway has heard of the leader behind this moment.
func confirmedAnew(t *testing.T, c *Cluster, name string) {
	t.Helper()
	began := time.Now()
	for g := range c.Callers() {
		for end := time.Now().Add(readyTime); ; time.Sleep(askPause) {
			var d struct {
				AgeMS int64 `json:"age_ms"`
			}
			asked := time.Now()
			err := c.dumpedAt(at(gatewayIP(g), c.ports.metrics), &d)
			if err == nil && d.AgeMS >= 0 && asked.Add(-time.Duration(d.AgeMS)*time.Millisecond).After(began) {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("relay %s: gateway %d hears nothing of the leader: %+v, %v", name, g, d, err)
			}
		}
	}
}

// TestRelaysFollowLeaders checks that gateways get configurations and serve through
// relays while each control instance in turn, leader or relay, is killed.
func TestRelaysFollowLeaders(t *testing.T) {
	c, k, o := cluster(t, inRegions)
	for i := range c.Size.Controls {
		linkedByDomain(t, c)
		p := c.Proc(fmt.Sprint("control-", i))
		p.Kill()
		takes(t, o, uint64(i+2))
		confirmedAnew(t, c, "killed")
		for g, address := range c.Callers() {
			served(t, address, fmt.Sprint("without-", i, g))
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		readsBack(t, o, i)
	}
	linkedByDomain(t, c)
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}
