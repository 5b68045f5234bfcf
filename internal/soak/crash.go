package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// crashListed is for how long a server that crashed is still listed, as platforms lag.
	crashListed = 300 * time.Millisecond
	// crashAway is how long it takes until another one stands in its place.
	crashAway = time.Second
)

// crashing has servers end under the requests that end them, and others come in their
// place.
type crashing struct {
	cluster *Cluster
	mu      sync.Mutex // mu guards all below.
	count   int
	stopped bool
	coming  sync.WaitGroup
}

// letCrash has the cluster's servers end under requests that end servers. The func
// returned waits for those that are coming and lets none come any more.
func (c *Cluster) letCrash() (stop func()) {
	k := &crashing{cluster: c}
	for i, b := range c.Backends {
		proxy := c.servers[i]
		b.SetOnCrash(func() { k.ended(b, proxy) })
	}
	return k.stop
}

// ended takes a server that crashed off the network at once, and has another one come.
func (k *crashing) ended(b *standin.Backend, proxy *Proxy) {
	proxy.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.stopped {
		k.count++
		n := k.count
		k.coming.Go(func() { k.replace(b, n) })
	}
}

// replace has another server come for one that crashed.
func (k *crashing) replace(b *standin.Backend, n int) {
	time.Sleep(crashListed)
	k.cluster.API.Remove(b)
	b.Close()
	time.Sleep(crashAway - crashListed)
	next, err := standin.NewBackend(fmt.Sprintf("%s-%d", b.ID, n), b.Service, b.Zone, k.cluster.Record)
	if err != nil {
		k.cluster.Record.Breach("no server could be started: " + err.Error())
		return
	}
	proxy, err := NewProxy("127.0.0.1:0", next.Address)
	if err != nil {
		k.cluster.Record.Breach("no proxy could be started: " + err.Error())
		return
	}
	next.Address, next.Version, next.Pause, next.CutUnread = proxy.Address(), b.Version, b.Pause, b.CutUnread
	next.SetOnCrash(func() { k.ended(next, proxy) })
	k.cluster.addServer(next, proxy)
	k.cluster.API.Add(next)
}

func (k *crashing) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.coming.Wait()
}

// addServer has Close end a server that came later, too.
func (c *Cluster) addServer(b *standin.Backend, p *Proxy) {
	c.late.Lock()
	defer c.late.Unlock()
	c.lateServers, c.lateBackends = append(c.lateServers, p), append(c.lateBackends, b)
}
