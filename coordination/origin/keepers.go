package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// Copies is the number of other gateways that keep the origin of a stream.
const Copies = 2

// Keepers orders the gateways by how well they suit to keep the origin of a stream: by rendezvous
// hashing, except that the second one is of another region than the first if there is one, else of
// another failure domain. Gateways that know the same others have the same order.
func Keepers(key protocol.StreamKey, t *topology.Topology, peers []protocol.Peer) []protocol.Peer {
	type ranked struct {
		peer protocol.Peer
		rank uint64
	}
	rows := make([]ranked, len(peers))
	for i, p := range peers {
		rows[i] = ranked{peer: p, rank: xxhash.Sum64(append(key[:], p.Name...))}
	}
	slices.SortFunc(rows, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	order := make([]protocol.Peer, len(rows))
	for i := range rows {
		order[i] = rows[i].peer
	}
	for _, apart := range []func(a, b protocol.Peer) bool{
		func(a, b protocol.Peer) bool { return t.Region(a.Domain) != t.Region(b.Domain) },
		func(a, b protocol.Peer) bool { return a.Domain != b.Domain },
	} {
		if second := slices.IndexFunc(order, func(p protocol.Peer) bool { return apart(order[0], p) }); second > 0 {
			moved := order[second]
			return slices.Insert(slices.Delete(order, second, second+1), 1, moved)
		}
	}
	return order
}
