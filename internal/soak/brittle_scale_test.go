package soak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// scaleGateways is more than the rejections that all brittle servers of the tests bear.
	scaleGateways = 24
	// scaleServers is the number of servers in the tests with many gateways.
	scaleServers = 8
	// scaleCallers is the number of callers at each gateway: together they ask for more than the
	// servers can do.
	scaleCallers = 8
	// scaleReplaced is the number of servers that are replaced at once, and scaleAdded of those that
	// are added at once.
	scaleReplaced = scaleServers / 2
	scaleAdded    = 6
	// scaleFaultTime is how long servers are watched after a fault: falls of replacements of
	// replacements count as well.
	scaleFaultTime = 5 * time.Second
)

// TestNewBrittleServersStayUp guards against servers that fall over before gateways have heard that they
// are brittle: many gateways sent a server that had just started more than it had room for, and its
// replacement under another id as well.
func TestNewBrittleServersStayUp(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, c *Cluster, s *brittleServers){
		"half replaced": func(_ *testing.T, _ *Cluster, s *brittleServers) { s.endFirst(scaleReplaced) },
		"six added": func(_ *testing.T, _ *Cluster, s *brittleServers) {
			for i := range scaleAdded {
				s.add(fmt.Sprintf("zone-%d", i%zones), brittlePause)
			}
		},
		"leader killed, half replaced": func(t *testing.T, c *Cluster, s *brittleServers) {
			c.procs[waitForLeader(t, c, -1)].Kill()
			s.endFirst(scaleReplaced)
		},
		"all power lost, half replaced": func(t *testing.T, c *Cluster, s *brittleServers) {
			losePower(t, c)
			s.endFirst(scaleReplaced)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, k, s := startBrittleServers(t, brittleSlots, brittlePause)
			stop := s.saturate(t, k, brittleSlots)
			disturb(t, c, s)
			time.Sleep(scaleFaultTime)
			stop()
			falls, rejected := s.falls(), s.rejected()
			t.Logf("%d falls, %d rejections", falls, rejected)
			if allowed := AllowedFalls(scaleServers); falls > allowed {
				t.Errorf("brittle servers fell over %d times, allowed %d", falls, allowed)
			}
			reportBreaches(t, c, k)
		})
	}
}

// startBrittleServers starts a cluster of many gateways whose servers have a number of slots and take some time for
// a request, and waits until each gateway serves.
func startBrittleServers(t *testing.T, slots int, pause time.Duration) (*Cluster, *Checker, *brittleServers) {
	t.Helper()
	c, k, _ := startCluster(t, Size{Controls: 3, Gateways: scaleGateways, Backends: scaleServers})
	for _, b := range c.Backends {
		b.Pause = pause
	}
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("before-", g))
	}
	return c, k, newBrittleServers(c, slots, brittleDown)
}

// saturate starts callers that together ask for more than the servers can do. The servers say that they are brittle
// for a time before they have the given room. The returned function ends the callers and the replacement of servers.
func (s *brittleServers) saturate(t *testing.T, k *Checker, room int) (stop func()) {
	t.Helper()
	s.set(unlimitedRoom, brittleRejections)
	ctx, cancel := context.WithCancel(t.Context())
	wait := startManyCallers(ctx, s.cluster, k, scaleCallers)
	time.Sleep(brittleEffectTime)
	s.set(room, brittleRejections)
	time.Sleep(brittleEffectTime)
	return func() {
		cancel()
		wait()
		s.stop()
	}
}

// endFirst ends a number of servers at the same time.
func (s *brittleServers) endFirst(n int) {
	for _, b := range s.servers()[:n] {
		s.end(b)
	}
}

// losePower kills all processes at the same time and starts them again.
func losePower(t *testing.T, c *Cluster) {
	t.Helper()
	for _, p := range c.procs {
		p.Kill()
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
}

const (
	// lightPart is the part of what the servers can do that is asked for in the tests with a light load.
	lightPart = 0.4
	// lightServed is the part of the requests that must be served, and lightLeast the same at the gateway
	// that serves the least.
	lightServed = 0.95
	lightLeast  = 0.8
	lightSlots  = 8
	lightPause  = 100 * time.Millisecond
	// lightWarmUp is the time within which all gateways know the servers, and what they say.
	lightWarmUp = 3 * time.Second
	lightTime   = 8 * time.Second
)

// TestLightLoadAtBrittleServers guards against requests that are refused while servers are idle, as each
// of many gateways needed room of its own at each server.
func TestLightLoadAtBrittleServers(t *testing.T) {
	for _, rejections := range []int{8, 3} {
		t.Run(fmt.Sprint("bears ", rejections), func(t *testing.T) {
			c, k, s := startBrittleServers(t, lightSlots, lightPause)
			s.set(lightSlots, rejections)
			rate := lightPart * float64(scaleServers*lightSlots) / lightPause.Seconds()
			rows := sendEvenly(t, c, k, rate, lightTime)
			total, least := soundCounts{}, 1.0
			for _, r := range rows {
				n := r.between(time.Time{}, time.Now())
				total.sent, total.served = total.sent+n.sent, total.served+n.served
				least = min(least, n.share())
			}
			falls, rejected := s.falls(), s.rejected()
			t.Logf("served %d of %d, %.3f at the gateway that served the least; %d falls, %d rejections", total.served, total.sent, least, falls, rejected)
			if total.share() < lightServed || least < lightLeast {
				t.Errorf("served %.3f of the requests, %.3f at the gateway that served the least; want %.2f and %.2f", total.share(), least, lightServed, lightLeast)
			}
			if allowed := AllowedFalls(scaleServers); falls > allowed {
				t.Errorf("brittle servers fell over %d times, allowed %d", falls, allowed)
			}
			s.stop()
			reportBreaches(t, c, k)
		})
	}
}

// sendEvenly sends requests at an even rate, with a new connection each and to each gateway in turn, and
// returns the outcomes by gateway. Those of the first lightWarmUp do not count.
func sendEvenly(t *testing.T, c *Cluster, k *Checker, rate float64, length time.Duration) []*soundRequests {
	t.Helper()
	var rows []*soundRequests
	for range c.Callers() {
		rows = append(rows, &soundRequests{})
	}
	var callers sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		g := n % len(rows)
		callers.Go(func() {
			a := Request{ID: fmt.Sprintf("even-%d", n), Path: "/again/x"}
			at := time.Now()
			client := standin.NewClient(c.Callers()[g])
			defer client.Close()
			r := client.Ask(a.ID, a.Path)
			k.Observe(a, r)
			if at.Sub(began) > lightWarmUp {
				rows[g].add(at, r)
			}
		})
	}
	callers.Wait()
	return rows
}

// TestRoomOfBrittleServersIsUsed guards against room that stays unused while many gateways ask for more
// than there is, also where servers take fewer requests than they have slots.
func TestRoomOfBrittleServersIsUsed(t *testing.T) {
	for name, room := range map[string]int{"room for all slots": brittleSlots, "room for half of the slots": brittleSlots / 2} {
		t.Run(name, func(t *testing.T) {
			c, k, s := startBrittleServers(t, brittleSlots, brittlePause)
			stop := s.saturate(t, k, room)
			from := time.Now()
			time.Sleep(scaleFaultTime)
			until := time.Now()
			stop()
			falls, rejected := s.falls(), s.rejected()
			ran, possible := c.Record.Count(from, until), float64(scaleServers*room)*float64(until.Sub(from))/float64(brittlePause)
			t.Logf("%d falls, %d rejections, %d runs of %.0f possible", falls, rejected, ran, possible)
			if allowed := AllowedFalls(scaleServers); falls > allowed {
				t.Errorf("brittle servers fell over %d times, allowed %d", falls, allowed)
			}
			if float64(ran) < minRoomUsedBySaturation*possible {
				t.Errorf("%d requests ran where there was room for %.0f", ran, possible)
			}
			reportBreaches(t, c, k)
		})
	}
}

// minRoomUsedBySaturation is the part of the room that must be used without faults while more is asked
// for than there is.
const minRoomUsedBySaturation = 0.9
