package group

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// WithMoveBlocker sets what tells whether something is under way that a move of leadership
// would break off; without it nothing ever is.
func WithMoveBlocker(f func() bool) Option { return func(g *Group) { g.busy = f } }

// HandOver has this replica, if it leads, hand leadership over to the one that is
// best placed among the others, and returns once it leads no more. A proposal that is
// held meanwhile is answered with replicate.ErrNotLeader: it was not proposed.
func (g *Group) HandOver(ctx context.Context) error {
	_, err := g.await(ctx, &waiter{handover: true})
	return err
}

// tripsEvery is between two looks at the round trips for the dump and the meters.
const tripsEvery = time.Second

// roundTrips are what the dump tells of the paths between replicas.
type roundTrips struct {
	at     time.Duration    // at is when they were read.
	all    []roundtrip.Trip // all are those of pings between any two replicas.
	rounds []roundtrip.Trip // rounds are those of the leader's rounds.
}

// refreshTrips reads the round trips anew, once each tripsEvery, for the dump and the meters.
func (g *Group) refreshTrips(now time.Duration) {
	if now-g.trips.at < tripsEvery && g.trips.at > 0 {
		return
	}
	g.trips.at = now
	g.trips.all, g.trips.rounds = g.replica.Trips()
	for _, t := range g.trips.all {
		if t.From == g.id.Name {
			g.meters.trip(t.To).Update(t.Smoothed.Microseconds())
		}
	}
}

// handedOver logs how a hand-over went.
func (g *Group) handedOver(cmd replicate.HandoverCmd) {
	if cmd.Err != nil {
		g.log.Warn().Err(cmd.Err).Msg("leadership was not handed over")
	} else {
		g.meters.handovers.Inc(1)
		g.log.Info().Str("to", cmd.To.Name).Msg("leadership handed over")
	}
	g.answer(cmd.Token, outcome{err: cmd.Err})
}

// moving logs a move of leadership with what it was chosen by.
func (g *Group) moving(cmd replicate.MoveCmd) {
	all, _ := g.replica.Trips() // The rounds wait for disks, which say nothing of the distance.
	g.meters.moves.Inc(1)
	g.log.Info().Str("to", cmd.Move.To).Dur("before", cmd.Move.Before).Dur("after", cmd.Move.After).
		Any("round_trips", all).Msg("leadership moves to where a quorum is nearer")
}

// noteElection measures from this replica's first campaign until it knows a leader.
func (g *Group) noteElection(s *Status, now time.Duration) {
	campaigning := s.Role == replicate.PreCandidate.String() || s.Role == replicate.Candidate.String()
	switch {
	case campaigning && g.campaignAt == 0:
		g.campaignAt = now
	case !s.Leader.IsZero() && g.campaignAt > 0:
		g.meters.election.Update(now - g.campaignAt)
		g.campaignAt = 0
	}
}
