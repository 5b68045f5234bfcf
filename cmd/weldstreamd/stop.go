package main

import (
	"context"
	"os"
	"time"
)

const (
	// unreadyGrace is how long a stopping instance goes on taking requests after
	// it reported unready, so that the balancer can notice.
	unreadyGrace = time.Second
	// handOverTime is what a hand-over is given before an announced reclaim.
	handOverTime = 3 * time.Second
	// endTime bounds what is left to do at the very end of a planned stop.
	endTime = time.Second
)

// stopAfter waits for the order to stop, or for the platform's notice, and
// carries out a planned stop.
func (d *daemon) stopAfter(stops <-chan os.Signal, work context.Context) error {
	limit := d.settings.Timeouts.Drain
	select {
	case <-stops:
	case n := <-d.notice:
		left := time.Until(n.At)
		limit = min(limit, max(left-handOverTime, left/2))
		d.log.Warn().Time("at", n.At).Msg("this instance will be reclaimed")
	case <-work.Done():
		return nil
	}
	d.gateway.Unready()
	d.log.Info().Dur("limit", limit).Msg("stopping: unready")
	timer := time.NewTimer(limit)
	defer timer.Stop()
	d.drain(stops, timer.C)
	return d.shutdown()
}

// drain waits for what runs, and hands over what is left when the time is up
// or a second signal comes.
func (d *daemon) drain(stops <-chan os.Signal, end <-chan time.Time) {
	grace := time.NewTimer(unreadyGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-end:
	case <-stops:
	}
	d.gateway.Close()
	select {
	case <-d.tables.Streams.Idle():
		return
	case <-end:
	case <-stops:
	}
	d.gateway.HandOverAll()
	select {
	case <-d.tables.Streams.Idle():
	case <-time.After(handOverTime):
		d.log.Error().Int("requests", len(d.tables.Streams.Rows())).Msg("stopping: requests are cut")
	}
}

func (d *daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	if err := d.gateway.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("stopping: connections are left")
	}
	d.membership.Leave(ctx)
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Debug().Err(err).Msg("operators' connections are left")
	}
	return nil
}
