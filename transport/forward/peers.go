package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// peerState holds the gateways that requests may be passed on to.
type peerState struct {
	address string        // address is where other gateways reach this one; empty if it takes no requests from them.
	pool    *backend.Pool // pool holds the connections to other gateways; nil if no requests are passed on.
	trigger func()        // trigger reports to the leader at once.

	mu             sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	peers          []protocol.Peer
	keepers        map[string]keeper    // keepers are the gateways that keep origins of streams, by name; empty if the leader names none.
	keepersNamedAt time.Time            // keepersNamedAt is when the leader last named keepers.
	failed         map[string]time.Time // failed is when a peer last could not help.
}

// peerRetryPause is how long a peer that could not help is passed over.
const peerRetryPause = 500 * time.Millisecond

// PeerConfig is how a gateway and others reach one another.
type PeerConfig struct {
	Address        string           // Address is where other gateways reach this one.
	Dial           backend.DialFunc // Dial opens a connection to another gateway.
	MaxConnections int              // MaxConnections bounds the connections to other gateways; 0 for no bound.
	Trigger        func()           // Trigger reports to the leader at once.
}

// peerDialTimeout bounds a connect to another gateway: several round trips.
const peerDialTimeout = 250 * time.Millisecond

// WithPeers lets the gateway pass requests on to others when it does not reach the servers.
// Without it, it refuses them.
func WithPeers(c PeerConfig) Option {
	return func(g *Gateway) {
		g.peers.address, g.peers.trigger = c.Address, c.Trigger
		g.peers.pool = backend.NewPool(peerDialTimeout, backend.WithDialer(c.Dial), backend.WithMaxConnections(c.MaxConnections), backend.WithSocketBuffer(g.cfg.SocketBuffer))
	}
}

// ReportPeers implements uplink.PeerFinder.
func (g *Gateway) ReportPeers() protocol.PeersMsg {
	m := protocol.PeersMsg{Gateway: g.cfg.Name, Domain: g.cfg.Domain, Address: g.peers.address}
	for service, n := range g.LostServers() {
		m.Lost = append(m.Lost, protocol.ServiceLoss{Service: service, Lost: n})
	}
	return m
}

// SetPeers implements uplink.PeerFinder.
func (g *Gateway) SetPeers(peers []protocol.Peer) {
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = peers
	for name, at := range p.failed {
		if clock.Since(at) > peerRetryPause {
			delete(p.failed, name)
		}
	}
}

// all returns the peers that were named last.
func (p *peerState) all() []protocol.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers
}

// available returns the peers without those that could not help a moment ago.
func (p *peerState) available() []protocol.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.peers), func(peer protocol.Peer) bool { return p.failedLately(peer.Name) })
}

// failedLately reports whether an instance could not help a moment ago. The caller must hold p.mu.
func (p *peerState) failedLately(name string) bool {
	at, failed := p.failed[name]
	return failed && clock.Since(at) < peerRetryPause
}

// couldNotHelp records that a peer did not take a request.
func (p *peerState) couldNotHelp(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = map[string]time.Time{}
	}
	p.failed[name] = clock.Now()
}

// passShare returns the part of a service's requests that the gateway passes on; see
// [reach.Share].
func (g *Gateway) passShare(service string) float64 {
	if g.peers.pool == nil {
		return 0
	}
	lost := g.lostOf(service)
	if lost == 0 {
		return 0
	}
	return reach.Share(service, lost, g.view.Load().Listed(service), g.peers.all())
}

// lostOf returns how many servers of a service the gateway does not reach.
func (g *Gateway) lostOf(service string) int {
	r := &g.reach
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Count(service, clock.Now())
}

// helpers returns the peers that a request for a service may be passed on to, in random order
// among those that reach as many servers and are as near.
func (g *Gateway) helpers(service string) []protocol.Peer {
	helpers := reach.Helpers(service, g.lostOf(service), g.peers.available())
	if len(helpers) == 0 {
		return nil
	}
	best := helpers[0]
	equal := 0
	for equal < len(helpers) && helpers[equal].LostOf(service) == best.LostOf(service) && helpers[equal].Domain == best.Domain {
		equal++
	}
	rand.Shuffle(equal, func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers
}
