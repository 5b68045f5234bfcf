package main

import (
	"context"
	"os"
	"time"
)

const (
	// daemonUnreadyDelay is how long a stopping instance keeps accepting requests after
	// it reports unready, so that the balancer can notice.
	daemonUnreadyDelay = time.Second
	// handOverTimeout is the time reserved for the hand-over of requests before an
	// announced reclaim.
	handOverTimeout = 3 * time.Second
	// shutdownTimeout bounds the final steps of a planned stop.
	shutdownTimeout = time.Second
)

// waitAndStop waits for a stop signal or a reclaim notice of the platform and carries
// out a planned stop.
func (d *daemon) waitAndStop(signals processSignals, ctx context.Context) error {
	limit := d.settings.Timeouts.Drain
	go d.ignoreReloads(ctx, signals.reloads)
	select {
	case <-signals.stops:
	case n := <-d.reclaims:
		left := time.Until(n.At)
		limit = min(limit, max(left-handOverTimeout, left/2))
		d.log.Warn().Time("at", n.At).Msg("the platform will reclaim this instance")
	case <-ctx.Done():
		return nil
	}
	d.gateway.Unready()
	d.log.Info().Dur("limit", limit).Msg("stopping: unready")
	timer := time.NewTimer(limit)
	defer timer.Stop()
	d.drain(signals.stops, timer.C)
	return d.shutdown()
}

// ignoreReloads logs that this instance reads its settings only at its start.
func (d *daemon) ignoreReloads(ctx context.Context, reloads <-chan os.Signal) {
	for {
		select {
		case <-reloads:
			d.log.Info().Msg("reload ignored: an entry instance reads its settings only at start")
		case <-ctx.Done():
			return
		}
	}
}

// drain waits for the running requests. When the time is up or a second signal
// arrives, it hands the remaining ones over to other instances.
func (d *daemon) drain(stops <-chan os.Signal, timeUp <-chan time.Time) {
	delay := time.NewTimer(daemonUnreadyDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-timeUp:
	case <-stops:
	}
	d.gateway.Close()
	select {
	case <-d.tables.Streams.Idle():
		return
	case <-timeUp:
	case <-stops:
	}
	d.gateway.HandOverAll()
	select {
	case <-d.tables.Streams.Idle():
	case <-time.After(handOverTimeout):
		d.log.Error().Int("requests", len(d.tables.Streams.Rows())).Msg("stopping: requests cut off because the hand-over did not finish in time")
	}
}

// handOverLeadership transfers leadership of the replication group, if this instance has it,
// so that the claims of the others do not wait for an election.
func (d *daemon) handOverLeadership() {
	if d.group == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaderHandOverTimeout)
	defer cancel()
	handOverLeadership(ctx, d.group, d.log)
}

func (d *daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := d.gateway.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("stopping: caller connections still open")
	}
	d.handOverLeadership()
	d.membership.Leave(ctx)
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Debug().Err(err).Msg("stopping: operator connections still open")
	}
	return nil
}
