package group

import (
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/coordination/roundtrip"
	"github.com/weldstream/weldstream/protocol"
)

// Status is a group's state for the dump.
type Status struct {
	replicate.Status
	Group       uint64 `json:"group"`
	Applied     uint64 `json:"applied"`
	Claims      int    `json:"claims"`
	Full        bool   `json:"full"` // Full says that the disk has only its reserve left.
	Number      uint64 `json:"number"`
	LeaseLeftMS int64  `json:"lease_left_ms"` // LeaseEnd is how long the lease still runs.
	Document    uint64 `json:"document"`      // Document is the number of the opaque document that holds.
	Settled     bool   `json:"settled"`       // Settled says that a leader has applied all that earlier ones committed.
	// SinceLastCommand is how long ago the latest command had been committed, by the time of day,
	// when this replica was settled as the leader.
	SinceLastCommand time.Duration `json:"quiet"`
	// RoundTrips are between any two replicas, as pings observed them, and Rounds those
	// of the leader's rounds, with the others' disks; the first are of use, and taken,
	// where replicas lie in several regions.
	RoundTrips []roundtrip.Trip `json:"round_trips,omitempty"`
	Rounds     []roundtrip.Trip `json:"rounds,omitempty"`
}

// Status returns the group's state at the end of the last batch.
func (g *Group) Status() Status { return *g.status.Load() }

func (g *Group) publish() {
	s := Status{Status: g.replica.Status(), Group: g.folder.Group(), Applied: g.applied, Claims: g.machine.Claims(), Full: g.full}
	s.Number, _ = g.machine.Revision()   // The dump names the configuration, not its content.
	s.Document, _ = g.machine.Document() // Likewise.
	before := g.status.Load()
	s.Settled = g.replica.Settled(g.applied)
	if before != nil {
		s.SinceLastCommand = before.SinceLastCommand
	}
	if s.Settled && (before == nil || !before.Settled || before.Term != s.Term) {
		s.SinceLastCommand = max(0, g.timeOfDay().Sub(time.UnixMilli(g.machine.Now())))
	}
	now := g.now()
	g.refreshTrips(now)
	g.noteElection(&s, now)
	s.RoundTrips, s.Rounds = g.trips.all, g.trips.rounds
	s.LeaseLeftMS = max(0, (s.Lease - now).Milliseconds())
	g.meters.timeout.Update(s.Timeout.Milliseconds())
	g.meters.term.Update(int64(s.Term))
	g.meters.lease.Update(s.LeaseLeftMS)
	g.status.Store(&s)
	if before == nil || before.leadership() != s.leadership() {
		next := make(chan struct{})
		close(*g.changed.Swap(&next))
	}
}

// leadership is what others wait for a change of.
type leadership struct {
	term    uint64
	leader  protocol.ReplicaID
	settled bool
	leased  bool
}

func (s *Status) leadership() leadership {
	return leadership{term: s.Term, leader: s.Leader, settled: s.Settled, leased: s.LeaseLeftMS > 0}
}

// Changed returns a channel that is closed when another replica leads, or when
// what this one may answer as the leader changes. A caller takes it before it
// looks at what it waits for.
func (g *Group) Changed() <-chan struct{} { return *g.changed.Load() }

// Leads returns the term in which this replica leads, if it does, and if its
// lease still runs right now: no other replica can have been elected. It is
// asked right before an order is sent, on a monotonic clock that goes on while
// the process is frozen.
func (g *Group) Leads() (term uint64, ok bool) {
	s := g.status.Load()
	return s.Term, s.Role == replicate.Leader.String() && g.now() < s.Lease
}

// Vouches returns the term in which this replica leads, if what it has applied
// is all that was acknowledged up to now: it leads, its lease runs, and it has
// applied what earlier leaders committed. The document it handed on last is then the
// newest.
func (g *Group) Vouches() (term uint64, ok bool) {
	s := g.status.Load()
	return s.Term, s.Settled && s.Role == replicate.Leader.String() && g.now() < s.Lease
}
