package origin

import (
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
)

var sourceNames = [...]string{"unknown", "table", "peer", "history", "peer history"}

// String returns the name used in logs and metrics.
func (s Source) String() string { return sourceNames[s] }

// maxListAge is the age up to which the list of servers counts as current: several reports to the
// leader.
const maxListAge = time.Second

// JudgeMsg is what is known of a stream that a caller resumes and whose origin is not in the table.
type JudgeMsg struct {
	Lifetime    time.Duration // Lifetime is the longest time since the stream can have begun.
	Replies     []protocol.OriginReply
	AllAnswered bool                   // AllAnswered reports that each gateway that may keep the origin has answered.
	Single      protocol.SingleVersion // Single is what the own history says of the route.
	ListAge     time.Duration
}

// Judge returns the origin of a stream, or Unknown if no source is certain.
//
// The own history is certain only if no gateway can have seen another version: either the list is
// current, or every gateway that would keep the origin of such a stream has none.
func Judge(m JudgeMsg) (protocol.StreamOrigin, Source) {
	for i := range m.Replies {
		if m.Replies[i].Found {
			return m.Replies[i].Origin, FromPeer
		}
	}
	if m.Single.For >= m.Lifetime && (Current(m.ListAge) || m.AllAnswered) {
		return protocol.StreamOrigin{Service: m.Single.Service, Version: m.Single.Version}, FromHistory
	}
	for i := range m.Replies {
		if s := &m.Replies[i].Single; s.For >= m.Lifetime {
			return protocol.StreamOrigin{Service: s.Service, Version: s.Version}, FromPeerList
		}
	}
	return protocol.StreamOrigin{}, Unknown
}

// Current reports whether a list of this age counts as current.
func Current(listAge time.Duration) bool { return listAge <= maxListAge }
