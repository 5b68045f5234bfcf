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

// errUnconfirmed is why a fresh instance is not ready: it may hold a
// configuration that is older than what was accepted.
var errUnconfirmed = errors.New("the configuration is not confirmed by a quorum yet")

const (
	confirmTimeout = 2 * time.Second
	confirmRetry   = 100 * time.Millisecond
)

// configStore is the group, or the instance alone where there is none.
func (d *daemon) configStore() transport.ConfigStore {
	if d.client == nil {
		return transport.NewLocalConfig(d.tables)
	}
	return d.client
}

// observer answers what this instance sees of requests under which servers end.
func (d *daemon) observer() transport.Observer {
	if d.client == nil {
		return transport.NewLocalQuarantine(d.leaves)
	}
	return d.client
}

// leaves reports whether a server is known to leave.
func (d *daemon) leaves(server string) bool {
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

// startGroup opens this instance's replica, if it keeps one, and starts what
// needs the group.
func (d *daemon) startGroup(work context.Context, g *errgroup.Group) error {
	if d.client == nil {
		return nil
	}
	g.Go(func() error { return d.confirm(work) })
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
	sender := transport.NewReplicaSender(work, d.tables, d.links)
	var keeper *transport.QuarantineService
	replica, err := group.Open(cfg, d.settings.DataDir, d.settings.Name, sender,
		group.WithLogger(d.log),
		group.WithRevision(d.install),
		group.WithQuarantine(func(l protocol.QuarantineLog) { keeper.Install(l) }),
	)
	if err != nil {
		return err
	}
	d.group = replica
	keeper = transport.NewQuarantineService(replica, d.leaves, d.log)
	if err := d.links.Register("Quarantine", keeper); err != nil {
		return err
	}
	g.Go(func() error { return keeper.Run(work) })
	if err := d.links.Register("Group", transport.NewGroupService(work, replica)); err != nil {
		return err
	}
	boot := transport.NewBootstrap(replica, d.tables, d.links, d.log, d.settings.Name, d.settings.Cluster.Replicas)
	commander := transport.NewCommander(replica, s.Election, d.settings.Timeouts.Dial, d.tables, d.log)
	fleet := transport.NewFleet(d.settings, commander, d.tables, d.limits, d.serverLeaving, d.log)
	g.Go(func() error { return commander.Run(work) })
	g.Go(func() error { return fleet.Run(work) })
	g.Go(func() error { return replica.Run(work) })
	g.Go(func() error { return boot.Run(work) })
	return nil
}

// install puts a configuration in force that the group accepted.
func (d *daemon) install(number uint64, config []byte) {
	rev, err := state.ParseCanonical(number, config)
	if err != nil {
		d.log.Error().Err(err).Uint64("number", number).Msg("an accepted configuration cannot be read")
		return
	}
	if d.tables.Install(rev) {
		d.log.Info().Uint64("number", number).Str("digest", rev.Digest.Short()).Msg("configuration in force")
	}
}

// confirm asks the group once for the accepted configuration, so that a fresh
// instance serves nothing from an older one.
func (d *daemon) confirm(ctx context.Context) error {
	for {
		limit, cancel := context.WithTimeout(ctx, confirmTimeout)
		number, config, err := d.client.Confirm(limit)
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
