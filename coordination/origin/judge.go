package origin

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Source is whence the version of a stream is known.
type Source uint8

// The sources, from the nearest on.
const (
	Unknown      Source = iota // Unknown: the version is not known.
	FromTable                  // FromTable: this gateway kept the origin.
	FromPeer                   // FromPeer: another gateway kept it.
	FromHistory                // FromHistory: the service has had one version since before the stream can have begun.
	FromPeerList               // FromPeerList: the same, as another gateway knows it.
	FromLeader                 // FromLeader: the same, as the leader knows it.
)

var sourceNames = [...]string{"unknown", "table", "peer", "history", "peer history", "leader history"}

// String returns the name used in logs and metrics.
func (s Source) String() string { return sourceNames[s] }

// maxListAge is the age up to which the list of servers counts as current: several reports to the
// leader.
const maxListAge = time.Second

// JudgeMsg is what is known of a stream that a caller resumes and whose origin is not in the table.
type JudgeMsg struct {
	Lifetime    time.Duration          // Lifetime is the longest time since the stream can have begun.
	Replies     []protocol.OriginReply // Replies are those of other gateways and, if there is one, of the origin store.
	HasStore    bool                   // HasStore reports that there is an origin store, at which the leader answers.
	Leader      protocol.SingleVersion // Leader is what the leader says of the route; its For is 0 if no leader answered.
	AllAnswered bool                   // AllAnswered reports that all that may keep the origin have answered.
	Single      protocol.SingleVersion // Single is what the own history says of the route.
	ListAge     time.Duration
}

// Judge returns the origin of a stream, or Unknown if no source is certain.
//
// A history is certain only if it has every version that any gateway may use. The leader's has, since
// gateways use no server that it has not listed. The list of a gateway has not, however young it is:
// another version may have joined since and begun the stream elsewhere. Without a store to ask the leader
// at, all gateways that may have begun the stream have to answer, and none may have listed another version.
func Judge(m JudgeMsg) (protocol.StreamOrigin, Source) {
	for i := range m.Replies {
		if m.Replies[i].Found {
			return m.Replies[i].Origin, FromPeer
		}
	}
	if m.HasStore {
		if m.Leader.For >= m.Lifetime {
			return originOf(m.Leader), FromLeader
		}
		return protocol.StreamOrigin{}, Unknown
	}
	return judgeByGateways(m)
}

// judgeByGateways judges by the histories of this gateway and the others.
func judgeByGateways(m JudgeMsg) (protocol.StreamOrigin, Source) {
	only, source := protocol.SingleVersion{}, Unknown
	if m.Single.For >= m.Lifetime && Current(m.ListAge) {
		only, source = m.Single, FromHistory
	}
	for i := range m.Replies {
		if s := m.Replies[i].Single; source == Unknown && s.For >= m.Lifetime {
			only, source = s, FromPeerList
		}
	}
	if source == Unknown || !m.AllAnswered || m.disputes(only) {
		return protocol.StreamOrigin{}, Unknown
	}
	return originOf(only), source
}

// disputes reports whether another gateway has listed another version than the only one, or several.
func (m *JudgeMsg) disputes(only protocol.SingleVersion) bool {
	return slices.ContainsFunc(m.Replies, func(r protocol.OriginReply) bool {
		return r.Several || (r.Single.For > 0 && (r.Single.Service != only.Service || r.Single.Version != only.Version))
	})
}

func originOf(s protocol.SingleVersion) protocol.StreamOrigin {
	return protocol.StreamOrigin{Service: s.Service, Version: s.Version}
}

// Current reports whether a list of this age counts as current.
func Current(listAge time.Duration) bool { return listAge <= maxListAge }
