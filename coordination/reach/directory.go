package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// ReportInterval is the time between two reports of a gateway that reaches all servers.
	ReportInterval = 2 * time.Second
	// LossReportInterval is the same for a gateway that does not.
	LossReportInterval = 500 * time.Millisecond
	// directoryTTL is how long a gateway is named to others after its last report.
	directoryTTL = 3 * ReportInterval
	// maxPeers bounds how many gateways are named to one.
	maxPeers = 8
)

// Directory is the leader's record of the gateways that accept requests from others.
type Directory struct {
	gateways map[string]entry // gateways is keyed by name.
}

// entry is the last report of a gateway.
type entry struct {
	peer protocol.Peer
	lost int // lost is the number of servers of all services that it does not reach.
	at   time.Time
}

// NewDirectory returns a directory without gateways.
func NewDirectory() *Directory { return &Directory{gateways: map[string]entry{}} }

// Report records what a gateway tells of itself, and returns others for it: those that reach
// most servers first, and of these the ones in its own domain. Gateways that are alike are
// ordered differently for each one that asks, so that not all of them turn to the same.
func (d *Directory) Report(m *protocol.PeersMsg, now time.Time) []protocol.Peer {
	e := entry{peer: protocol.Peer{Name: m.Gateway, Address: m.Address, Domain: m.Domain, Lost: m.Lost}, at: now}
	for i := range m.Lost {
		e.lost += m.Lost[i].Lost
	}
	d.gateways[m.Gateway] = e
	var others []entry
	for name, other := range d.gateways {
		if now.Sub(other.at) > directoryTTL {
			delete(d.gateways, name)
			continue
		}
		if name != m.Gateway && other.peer.Address != "" {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(a.lost, b.lost),
			-compareBool(a.peer.Domain == m.Domain, b.peer.Domain == m.Domain),
			cmp.Compare(pairHash(m.Gateway, a.peer.Name), pairHash(m.Gateway, b.peer.Name)))
	})
	var peers []protocol.Peer
	for _, other := range others[:min(len(others), maxPeers)] {
		peers = append(peers, other.peer)
	}
	return peers
}

// maxKeepers bounds the gateways that keep the origins of streams: each gateway knows all of them.
const maxKeepers = 16

// Keepers returns the gateways that keep the origins of streams, and a digest of the list. They are
// the same for all gateways and taken from all failure domains in turn, and they stay the same as
// long as they report.
func (d *Directory) Keepers(now time.Time) ([]protocol.Peer, uint64) {
	domains := map[string][]protocol.Peer{}
	for _, e := range d.gateways {
		if e.peer.Address != "" && now.Sub(e.at) <= directoryTTL {
			domains[e.peer.Domain] = append(domains[e.peer.Domain], protocol.Peer{Name: e.peer.Name, Address: e.peer.Address, Domain: e.peer.Domain})
		}
	}
	names := slices.Sorted(maps.Keys(domains))
	for _, list := range domains {
		slices.SortFunc(list, func(a, b protocol.Peer) int {
			return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
		})
	}
	var keepers []protocol.Peer
	digest := xxhash.New()
	for n, added := 0, true; added; n++ {
		added = false
		for _, domain := range names {
			if n < len(domains[domain]) && len(keepers) < maxKeepers {
				p := domains[domain][n]
				keepers, added = append(keepers, p), true
				_, _ = digest.WriteString(p.Name + "\x00" + p.Address + "\x00") // A digest returns no error.
			}
		}
	}
	return keepers, digest.Sum64()
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func pairHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
