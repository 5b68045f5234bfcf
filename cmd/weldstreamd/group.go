package main

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport"
)

// errUnconfirmed is the reason why a newly started instance is not ready: its
// configuration may be older than the accepted one.
var errUnconfirmed = errors.New("the configuration is not confirmed by a quorum yet")

const (
	confirmTimeout = 2 * time.Second
	confirmRetry   = 100 * time.Millisecond
)

// configStore returns the client of the group, or a local store if there is no group.
func (d *daemon) configStore() transport.ConfigStore {
	if d.client == nil {
		return transport.NewLocalConfig(d.tables)
	}
	return d.client
}

// quarantineObserver returns the receiver of this instance's observations of requests
// during which servers crashed: the group, or a local quarantine if there is no group.
func (d *daemon) quarantineObserver() transport.Observer {
	if d.client == nil {
		return transport.NewLocalQuarantine(d.isLeaving)
	}
	return d.client
}

// isLeaving reports whether a server is marked as leaving.
func (d *daemon) isLeaving(server string) bool {
	s := d.tables.Backends.View().Find(server)
	return s != nil && s.Leaving
}

func (d *daemon) claimer() transport.Claimer {
	if d.client == nil {
		return transport.NoClaims{}
	}
	return d.client
}

func (d *daemon) transferrer() transport.Transferrer {
	if d.client == nil {
		return transport.NoClaims{}
	}
	return d.client
}

// startGroup opens this instance's replica, if it has one, and starts the components
// that need the group.
func (d *daemon) startGroup(ctx context.Context, g *errgroup.Group) error {
	if d.client == nil {
		return nil
	}
	g.Go(func() error { return d.confirm(ctx) })
	if !d.settings.IsReplica() {
		return nil
	}
	s := d.settings.Replica
	cfg := group.Config{
		Replica: replicate.Config{
			Election:  s.Election,
			Heartbeat: s.Heartbeat,
			Batch:     replicate.DefaultBatch,
			Window:    replicate.DefaultWindow,
		},
		SnapshotEntries: s.SnapshotEntries,
		Batch:           s.Batch,
		Reserve:         s.ReserveBytes,
	}
	sender := transport.NewReplicaSender(ctx, d.tables, d.links)
	var quarantine *transport.QuarantineService
	replica, err := group.Open(cfg, d.settings.DataDir, d.settings.Name, sender,
		group.WithLogger(d.log),
		group.WithRevision(d.install),
		group.WithQuarantine(func(l protocol.QuarantineLog) { quarantine.Install(l) }),
	)
	if err != nil {
		return err
	}
	d.group = replica
	quarantine = transport.NewQuarantineService(replica, d.isLeaving, d.log)
	if err := d.links.Register("Quarantine", quarantine); err != nil {
		return err
	}
	g.Go(func() error { return quarantine.Run(ctx) })
	if err := d.links.Register("Group", transport.NewGroupService(ctx, replica)); err != nil {
		return err
	}
	boot := transport.NewBootstrap(replica, d.tables, d.links, d.log, d.settings.Name, d.settings.Cluster.Replicas)
	commander := transport.NewCommander(replica, s.Election, d.settings.Timeouts.Dial, d.tables, d.log)
	fleet := transport.NewFleet(d.settings, commander, d.tables, d.limits, d.serverLeaving, d.log)
	g.Go(func() error { return commander.Run(ctx) })
	g.Go(func() error { return fleet.Run(ctx) })
	g.Go(func() error { return replica.Run(ctx) })
	g.Go(func() error { return boot.Run(ctx) })
	return nil
}

// install puts a configuration that the group accepted in force.
func (d *daemon) install(number uint64, config []byte) {
	rev, err := state.ParseCanonical(number, config)
	if err != nil {
		d.log.Error().Err(err).Uint64("number", number).Msg("could not parse an accepted configuration")
		return
	}
	if d.tables.Install(rev) {
		d.log.Info().Uint64("number", number).Str("digest", rev.Digest.Short()).Msg("configuration in force")
	}
}

// confirm retries until the group has returned the accepted configuration, so that a
// newly started instance does not serve from an older one.
func (d *daemon) confirm(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		number, config, err := d.client.Confirm(callCtx)
		cancel()
		if err == nil {
			if number > 0 {
				d.install(number, config)
			}
			d.confirmed.Store(true)
			return nil
		}
		select {
		case <-time.After(confirmRetry):
		case <-ctx.Done():
			return nil
		}
	}
}
