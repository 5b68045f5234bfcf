package group

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// WithMoveBlocker sets the func that reports whether work is in progress that a move of
// leadership would interrupt; the default reports that there is none.
func WithMoveBlocker(f func() bool) Option { return func(g *Group) { g.moveBlocked = f } }

// HandOver prepares this replica for the end of its process: it does not campaign any more,
// and if it is the leader, it transfers leadership to another replica that answers, preferably
// the one with the best round-trip times. It returns once this replica is no longer the leader.
// Proposals that arrive during the transfer fail with replicate.ErrNotLeader: they were
// not proposed.
func (g *Group) HandOver(ctx context.Context) error {
	_, err := g.await(ctx, &request{handover: true})
	return err
}

// tripsInterval is the time between two updates of the round trips in the status dump
// and the metrics.
const tripsInterval = time.Second

// roundTrips are the round-trip times between replicas, for the status dump.
type roundTrips struct {
	readAt time.Duration    // readAt is when they were last read from the replica.
	pings  []roundtrip.Trip // pings are those of pings between any two replicas.
	rounds []roundtrip.Trip // rounds are those of the leader's heartbeat rounds.
}

// refreshTrips updates the round trips for the status dump and the metrics, at most once
// per tripsInterval.
func (g *Group) refreshTrips(now time.Duration) {
	if now-g.trips.readAt < tripsInterval && g.trips.readAt > 0 {
		return
	}
	g.trips.readAt = now
	g.trips.pings, g.trips.rounds = g.replica.Trips()
	for _, t := range g.trips.pings {
		if t.From == g.id.Name {
			g.meters.roundTrip(t.To).Update(t.Smoothed.Microseconds())
		}
	}
}

// handoverDone logs the outcome of a handover and answers its request.
func (g *Group) handoverDone(cmd replicate.HandoverCmd) {
	if cmd.Err != nil {
		g.log.Warn().Err(cmd.Err).Msg("leadership handover failed")
	} else {
		g.meters.handovers.Inc(1)
		g.log.Info().Str("to", cmd.To.Name).Msg("leadership handed over")
	}
	g.answer(cmd.Token, outcome{err: cmd.Err})
}

// logMove logs a move of leadership with the round trips that it was chosen by.
func (g *Group) logMove(cmd replicate.MoveCmd) {
	all, _ := g.replica.Trips() // The times of rounds include disk syncs, which do not depend on distance.
	g.meters.moves.Inc(1)
	g.log.Info().Str("to", cmd.Move.To).Dur("before", cmd.Move.Before).Dur("after", cmd.Move.After).
		Any("round_trips", all).Msg("moving leadership to shorten the quorum round trip")
}

// logElection logs a step of an election. Pre-votes are logged at level debug, since a
// partitioned replica repeats them.
func (g *Group) logElection(cmd replicate.Cmd) {
	switch cmd := cmd.(type) {
	case replicate.CampaignCmd:
		if cmd.Role == replicate.PreCandidate {
			g.log.Debug().Uint64("term", cmd.Term).Uint64("void", cmd.Void).Msg("requesting pre-votes")
			return
		}
		g.log.Info().Uint64("term", cmd.Term).Uint64("void", cmd.Void).Msg("campaigning")
	case replicate.VoteRefusedCmd:
		if cmd.PreVote {
			g.log.Debug().Str("to", cmd.To.Name).Uint64("term", cmd.Term).Str("reason", string(cmd.Reason)).Msg("pre-vote refused")
			return
		}
		g.log.Info().Str("to", cmd.To.Name).Uint64("term", cmd.Term).Str("reason", string(cmd.Reason)).Msg("vote refused")
	case replicate.HandoverReceivedCmd:
		g.log.Info().Str("from", cmd.From.Name).Uint64("term", cmd.Term).Uint64("index", cmd.Index).Bool("campaigns", cmd.Campaigns).Msg("handover received")
	}
}

// measureElection measures the time from this replica's first campaign until it knows a
// leader.
func (g *Group) measureElection(s *Status, now time.Duration) {
	campaigning := s.Role == replicate.PreCandidate.String() || s.Role == replicate.Candidate.String()
	switch {
	case campaigning && g.campaignStart == 0:
		g.campaignStart = now
	case !s.Leader.IsZero() && g.campaignStart > 0:
		g.meters.election.Update(now - g.campaignStart)
		g.campaignStart = 0
	}
}
