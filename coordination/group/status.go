package group

import (
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/coordination/roundtrip"
	"github.com/weldstream/weldstream/protocol"
)

// Status is a group's state for the status dump.
type Status struct {
	replicate.Status
	Group       uint64 `json:"group"`
	Applied     uint64 `json:"applied"`
	Claims      int    `json:"claims"`
	Full        bool   `json:"full"` // Full reports that the disk has only its reserve left.
	Number      uint64 `json:"number"`
	LeaseLeftMS int64  `json:"lease_left_ms"` // LeaseLeftMS is the remaining time of the lease in milliseconds.
	Document    uint64 `json:"document"`      // Document is the number of the current opaque document.
	Settled     bool   `json:"settled"`       // Settled reports that this replica is the leader and has applied all entries of earlier terms.
	// SinceLastCommand is the time by the wall clock from the latest committed command
	// until this replica became settled as the leader.
	SinceLastCommand time.Duration `json:"quiet"`
	// RoundTrips are the ping times between any two replicas; they are only measured
	// where replicas are in several regions. Rounds are the times of the leader's
	// heartbeat rounds, which include disk syncs of the others.
	RoundTrips []roundtrip.Trip `json:"round_trips,omitempty"`
	Rounds     []roundtrip.Trip `json:"rounds,omitempty"`
}

// Status returns the group's latest published state: at the end of each batch, and where
// leadership or the lease changed within one.
func (g *Group) Status() Status { return *g.status.Load() }

// publish updates the status and the metrics, and signals a change of leadership.
func (g *Group) publish() {
	s := Status{Status: g.replica.Status(), Group: g.folder.Group(), Applied: g.applied, Claims: g.machine.Claims(), Full: g.full}
	s.Number, _ = g.machine.Revision()   // The dump has the number of the configuration, not its content.
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
	g.measureElection(&s, now)
	s.RoundTrips, s.Rounds = g.trips.pings, g.trips.rounds
	s.LeaseLeftMS = max(0, (s.Lease - now).Milliseconds())
	g.meters.electionTimeout.Update(s.Timeout.Milliseconds())
	g.meters.term.Update(int64(s.Term))
	g.meters.leaseLeft.Update(s.LeaseLeftMS)
	g.meters.setHealth(s.Health)
	if before != nil && s.Health != before.Health {
		g.logHealth(s.Health)
	}
	g.status.Store(&s)
	if before == nil || before.leadership() != s.leadership() {
		next := make(chan struct{})
		close(*g.changed.Swap(&next))
	}
}

// logHealth logs how many members the leader has, and which voters do not answer it.
func (g *Group) logHealth(h replicate.Health) {
	if h == (replicate.Health{}) {
		return // This replica does not lead any more.
	}
	if silent := g.replica.SilentVoters(); len(silent) > 0 {
		g.log.Warn().Int("voters", h.Voters).Int("in_touch", h.InTouch).Int("learners", h.Learners).Int("spares", h.Spares).Any("silent", silent).Msg("voters do not answer the leader")
		return
	}
	g.log.Info().Int("voters", h.Voters).Int("learners", h.Learners).Int("spares", h.Spares).Msg("all voters answer the leader")
}

// leadership holds the parts of the status whose changes are signaled by Changed.
type leadership struct {
	term    uint64
	leader  protocol.ReplicaID
	settled bool
	leased  bool
}

func (s *Status) leadership() leadership {
	return leadership{term: s.Term, leader: s.Leader, settled: s.Settled, leased: s.LeaseLeftMS > 0}
}

// Changed returns a channel that is closed at the next change of leader, term, or what
// this replica may answer as the leader. Callers must get the channel before they check
// the state they wait for, or they could miss a change.
func (g *Group) Changed() <-chan struct{} { return *g.changed.Load() }

// Leads returns the current term if this replica is the leader and its lease has not
// expired, so that no other replica can have been elected. It is called right before an
// order is sent. Its monotonic clock also advances while the process is suspended.
func (g *Group) Leads() (term uint64, ok bool) {
	s := g.status.Load()
	return s.Term, s.Role == replicate.Leader.String() && g.now() < s.Lease
}

// Vouches returns the current term if this replica can serve linearizable reads from its
// applied state: it is the leader, its lease has not expired, and it has applied all
// entries committed by earlier leaders. The document last passed to the callback is then
// the latest.
func (g *Group) Vouches() (term uint64, ok bool) {
	s := g.status.Load()
	return s.Term, s.Settled && s.Role == replicate.Leader.String() && g.now() < s.Lease
}
