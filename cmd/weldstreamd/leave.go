package main

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/internal/pause"
)

const (
	// handOverLimit bounds what a stopping control instance waits for its successor:
	// several round trips between far regions, and a small part of what a planned
	// stop may take.
	handOverLimit = time.Second
	// callWait is the part of handOverLimit in which a call to the platform that is
	// under way may still end; the hand-over has the rest.
	callWait = 300 * time.Millisecond
	// callPoll is between two looks whether it has ended: little against callWait.
	callPoll = 5 * time.Millisecond
)

// handOver has a control instance that leads hand leadership over before it ends, and
// waits until another one leads: no election has to wait for its silence.
func (c *controlInstance) handOver(work context.Context) {
	if !c.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(work, handOverLimit)
	defer cancel()
	began := time.Now()
	for c.calls.Busy() && time.Since(began) < callWait {
		pause.For(ctx, callPoll) // One that takes longer does no harm: the successor's calls have a higher fencing token.
	}
	if err := c.group.HandOver(ctx); err != nil {
		c.log.Warn().Err(err).Msg("stopping without a successor")
		return
	}
	for ctx.Err() == nil {
		changed := c.group.Changed()
		if leader := c.group.Status().Leader; !leader.IsZero() && leader != c.group.ID() {
			c.log.Info().Str("to", leader.Name).Dur("after", time.Since(began)).Msg("another control instance leads")
			return
		}
		pause.Until(ctx, handOverLimit, changed)
	}
	c.log.Warn().Dur("after", time.Since(began)).Msg("no control instance leads yet behind a hand-over")
}

// leads reports whether this replica is the leader.
func (c *controlInstance) leads() bool { return c.group.Status().Role == replicate.Leader.String() }
