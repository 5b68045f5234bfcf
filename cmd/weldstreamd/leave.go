package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/internal/pause"
)

const (
	// leaderHandOverTimeout bounds how long a stopping replica waits for its
	// successor: several round trips between distant regions, and a small part of the
	// time of a planned stop.
	leaderHandOverTimeout = time.Second
	// platformCallTimeout is the part of leaderHandOverTimeout in which a running call to
	// the platform may finish; the rest is for the hand-over.
	platformCallTimeout = 300 * time.Millisecond
	// platformCallPoll is the interval of the checks whether the call has finished; it is
	// short compared with platformCallTimeout.
	platformCallPoll = 5 * time.Millisecond
)

// handOver transfers leadership, if this instance is the leader, once a running call to the
// platform has finished.
func (c *controlInstance) handOver(parent context.Context) {
	if !c.isLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(parent, leaderHandOverTimeout)
	defer cancel()
	start := time.Now()
	for c.calls.Busy() && time.Since(start) < platformCallTimeout {
		pause.For(ctx, platformCallPoll) // A longer call does no harm: the calls of the successor have a higher fencing token.
	}
	handOverLeadership(ctx, c.group, c.log)
}

// handOverLeadership transfers leadership from a replica whose process is about to end, if it
// is the leader, and waits until another replica leads. Without it, the others would start an
// election only after the election timeout.
func handOverLeadership(ctx context.Context, g *group.Group, log zerolog.Logger) {
	if g.Status().Role != replicate.Leader.String() {
		return
	}
	start := time.Now()
	if err := g.HandOver(ctx); err != nil {
		log.Warn().Err(err).Msg("leadership hand-over failed; stopping without a successor")
		return
	}
	for ctx.Err() == nil {
		changed := g.Changed()
		if leader := g.Status().Leader; !leader.IsZero() && leader != g.ID() {
			log.Info().Str("to", leader.Name).Dur("after", time.Since(start)).Msg("another replica took over leadership")
			return
		}
		pause.Until(ctx, leaderHandOverTimeout, changed)
	}
	log.Warn().Dur("after", time.Since(start)).Msg("no new leader within the hand-over timeout")
}

// isLeader reports whether this replica is the leader.
func (c *controlInstance) isLeader() bool { return c.group.Status().Role == replicate.Leader.String() }
