package forward

import "github.com/weldstream/weldstream/protocol"

// OriginStore keeps origins of streams at instances that do not end with the gateways.
type OriginStore interface {
	// OriginKeepers returns the instances.
	OriginKeepers() []protocol.Peer
	// KeepOrigins gives origins to the instance at an address.
	KeepOrigins(address string, m *protocol.OriginsMsg) error
	// FindOrigin asks the instance at an address for the origin of a stream.
	FindOrigin(address string, q *protocol.OriginQuery, reply *protocol.OriginReply) error
}

// WithOriginStore sets the function that returns where origins of streams are kept besides gateways.
// Without it, streams whose gateways have all ended are not resumed.
func WithOriginStore(f func() OriginStore) Option { return func(g *Gateway) { g.originStore = f } }

// storeKeepers returns the instances of the origin store.
func (g *Gateway) storeKeepers() []protocol.Peer {
	if g.originStore == nil {
		return nil
	}
	return g.originStore().OriginKeepers()
}

// availableStoreKeepers returns the instances of the origin store without those that did not answer a
// moment ago, or all if none did.
func (g *Gateway) availableStoreKeepers() []protocol.Peer {
	keepers := g.storeKeepers()
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	return g.peers.withoutFailed(keepers)
}

// originTarget is an instance that may keep the origin of a stream.
type originTarget struct {
	name    string
	isStore bool // isStore reports that it is an instance of the origin store, not a gateway.
	find    func(q *protocol.OriginQuery, reply *protocol.OriginReply) error
}

// peerTargets returns other gateways as targets of a query.
func (g *Gateway) peerTargets(peers []protocol.Peer) (targets []originTarget) {
	for i := range peers {
		targets = append(targets, originTarget{name: peers[i].Name, find: func(q *protocol.OriginQuery, reply *protocol.OriginReply) error {
			return g.callPeer(&peers[i], findOriginCall, q, reply)
		}})
	}
	return targets
}

// storeTargets returns the instances of the origin store as targets of a query.
func (g *Gateway) storeTargets() (targets []originTarget) {
	for _, k := range g.storeKeepers() {
		targets = append(targets, originTarget{name: k.Name, isStore: true, find: func(q *protocol.OriginQuery, reply *protocol.OriginReply) error {
			return g.originStore().FindOrigin(k.Address, q, reply)
		}})
	}
	return targets
}
