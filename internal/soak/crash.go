package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// quarantineDelay is the time, from the third server that crashed under a request, within
	// which every connected gateway must know that the request crashes servers. After that it
	// may be sent to servers maxLateArrivals times at most. Both are the required bounds.
	quarantineDelay = 3 * time.Second
	maxLateArrivals = 3
	// crashInterval is the pause between two such requests of one caller.
	crashInterval = 60 * time.Millisecond
	// crashedListedFor is how long the platform still lists a crashed server, as platforms
	// lag.
	crashedListedFor = 300 * time.Millisecond
	// crashReplaceDelay is the time from a crash to the start of the replacement.
	crashReplaceDelay = time.Second
)

// crashPaths are the paths of the requests that crash servers, by request name.
var crashPaths = map[string]string{"a": "/again/crash", "b": "/stream/once/crash"}

// WithCrashes returns the plan with requests that crash servers sent through all gateways,
// during the faults and for some time after the last one. No roll-outs are ordered:
// replacement servers have the version of the crashed ones.
func (p Plan) WithCrashes() Plan {
	p.Crashes = true
	return p
}

// startCrashRequests sends requests that crash servers through all gateways until ctx
// ends.
func (r *run) startCrashRequests(ctx context.Context, load *sync.WaitGroup) {
	for g, address := range r.cluster.Callers() {
		for name, path := range crashPaths {
			load.Go(func() {
				sendCrashRequests(address, fmt.Sprint(name, g), path, name, func() bool { return ctx.Err() == nil })
			})
		}
	}
}

// checkQuarantine waits after the last fault until all gateways are connected again, and
// then as long again, and checks the bound on requests that crash servers for the second
// half.
func (r *run) checkQuarantine() {
	inTouch := time.Now().Add(quarantineDelay)
	time.Sleep(2 * quarantineDelay)
	for _, text := range crashBreaches(r.cluster.Record, inTouch) {
		r.checker.breach("%s", text)
	}
}

// sendCrashRequests sends the same request that crashes servers repeatedly, each time with
// a new id.
func sendCrashRequests(address, caller, path, name string, more func() bool) {
	client := standin.NewClient(address)
	defer client.Close()
	for n := 0; more(); n++ {
		client.AskWithBody(fmt.Sprintf("crash-%s-%d", caller, n), path, standin.CrashBody(name))
		time.Sleep(crashInterval)
	}
}

// crashBreaches returns the requests that were sent to servers more often than allowed
// after three servers had crashed under them. Only arrivals after from count.
func crashBreaches(r *standin.Record, from time.Time) []string {
	var out []string
	for body, list := range r.Arrivals() {
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		if len(list) <= maxLateArrivals {
			continue
		}
		known, later := list[2].At.Add(quarantineDelay), 0
		for _, a := range list[3:] {
			if a.At.After(known) && a.At.After(from) {
				later++
			}
		}
		if later > maxLateArrivals {
			out = append(out, fmt.Sprintf("%q ended three servers and was sent to servers %d times more %v later; %d in all", body, later, quarantineDelay, len(list)))
		}
	}
	return out
}

// crashReplacer replaces servers that crash under requests.
type crashReplacer struct {
	cluster      *Cluster
	mu           sync.Mutex    // mu guards the fields below.
	delay        time.Duration // delay is the time from a crash to the start of the replacement.
	count        int
	stopped      bool
	replacements sync.WaitGroup
}

// enableCrashes makes the cluster's servers crash under the requests that are meant to
// crash them. The returned function stops replacing servers, waits for replacements in
// progress, and returns the number of crashes.
func (c *Cluster) enableCrashes() (stop func() (ended int)) { return c.replaceCrashed().stop }

// replaceCrashed makes the cluster's servers crash, as enableCrashes does, and returns what replaces
// them.
func (c *Cluster) replaceCrashed() *crashReplacer {
	k := &crashReplacer{cluster: c, delay: crashReplaceDelay}
	for i, b := range c.Backends {
		proxy := c.backendProxies[i]
		b.SetOnCrash(func() { k.onCrash(b, proxy) })
	}
	return k
}

// add makes a further server crash, which has no proxy in front of it.
func (k *crashReplacer) add(b *standin.Backend) { b.SetOnCrash(func() { k.onCrash(b, nil) }) }

// onCrash cuts a crashed server off the network at once and starts its replacement. A server
// without a proxy is closed.
func (k *crashReplacer) onCrash(b *standin.Backend, proxy *Proxy) {
	if proxy != nil {
		proxy.Close()
	} else {
		b.Close()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.stopped {
		k.count++
		n, delay := k.count, k.delay
		k.replacements.Go(func() { k.replace(b, n, delay) })
	}
}

// replaceAfter sets the time from a crash to the start of the replacement.
func (k *crashReplacer) replaceAfter(delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = delay
}

// replace starts another server in place of a crashed one, or the same one again.
func (k *crashReplacer) replace(b *standin.Backend, n int, delay time.Duration) {
	time.Sleep(crashedListedFor)
	k.cluster.API.Remove(b)
	b.Close()
	time.Sleep(delay - crashedListedFor)
	id := b.ID // Every second server restarts under its old id.
	if n%2 == 0 {
		id = fmt.Sprintf("%s-%d", b.ID, n)
	}
	next, err := standin.NewBackend(id, b.Service, b.Zone, k.cluster.Record)
	if err != nil {
		k.cluster.Record.Breach("no server could be started: " + err.Error())
		return
	}
	proxy, err := NewProxy("127.0.0.1:0", next.Address)
	if err != nil {
		k.cluster.Record.Breach("no proxy could be started: " + err.Error())
		return
	}
	next.Address, next.Version, next.Pause, next.UnreadTimeout = proxy.Address(), b.Version, b.Pause, b.UnreadTimeout
	next.SetUnframed(b.Unframed())
	next.SetOnCrash(func() { k.onCrash(next, proxy) })
	k.cluster.trackBackend(next, proxy)
	k.cluster.API.Add(next)
}

func (k *crashReplacer) stop() (ended int) {
	k.mu.Lock()
	k.stopped = true
	ended = k.count
	k.mu.Unlock()
	k.replacements.Wait()
	return ended
}

// trackBackend makes Close also end a server that was added later.
func (c *Cluster) trackBackend(b *standin.Backend, p *Proxy) {
	c.addedMu.Lock()
	defer c.addedMu.Unlock()
	for source, cut := range c.cutOff {
		if cut {
			p.CutOff(source, true)
		}
	}
	c.addedProxies, c.addedBackends = append(c.addedProxies, p), append(c.addedBackends, b)
}
