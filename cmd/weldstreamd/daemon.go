package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport"
)

// unreadyGrace is how long a stopping instance goes on taking requests after it
// reported unready, so that the balancer can notice.
const unreadyGrace = time.Second

// minKeyBytes is the least length of the cluster's key.
const minKeyBytes = 16

// daemon wires the layers of one instance.
type daemon struct {
	settings   *settings.Settings
	log        zerolog.Logger
	tables     *state.Tables
	registry   metrics.Registry
	links      *transport.Links
	membership *transport.Membership
	poller     *transport.Poller
	client     *transport.GroupClient // client is nil without a replication group.
	group      *group.Group           // group is nil on an instance that keeps no replica.
	confirmed  atomic.Bool            // confirmed says that a quorum confirmed the configuration once.
	gateway    *transport.Gateway
	admin      *transport.Admin
	listeners  listeners
	notice     chan protocol.Notice
}

// listeners are opened before anything else, so that a port that is taken
// stops the start.
type listeners struct {
	caller, peer, admin net.Listener
}

func newDaemon(s *settings.Settings, log zerolog.Logger) (*daemon, error) {
	key, err := clusterKey(s.Cluster.KeyFile)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		settings: s,
		log:      log,
		tables:   state.NewTables(),
		registry: metrics.NewRegistry(),
		links:    transport.NewLinks(s.Name, key, s.Timeouts.Dial, log),
		notice:   make(chan protocol.Notice, 1),
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.wire()
	return d, nil
}

func clusterKey(file string) ([]byte, error) {
	key, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the cluster's key")
	}
	key = bytes.TrimSpace(key)
	if len(key) < minKeyBytes {
		return nil, eris.Errorf("%s: the cluster's key is shorter than %d bytes", file, minKeyBytes)
	}
	return key, nil
}

func (d *daemon) listen() error {
	for _, l := range []struct {
		dst     *net.Listener
		address string
	}{{&d.listeners.caller, d.settings.Caller}, {&d.listeners.peer, d.settings.Peer}, {&d.listeners.admin, d.settings.Admin}} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		*l.dst = ln
	}
	return nil
}

func (d *daemon) wire() {
	s := d.settings
	self := protocol.Member{
		Name:        s.Name,
		Address:     d.listeners.peer.Addr().String(),
		Domain:      s.Domain,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	var seeds []protocol.Member
	for _, p := range s.Cluster.Peers {
		seeds = append(seeds, protocol.Member{Name: p.Name, Address: p.Address})
	}
	view := member.New(member.DefaultConfig(s.Timeouts.Suspect), self, seeds)
	d.membership = transport.NewMembership(d.tables, d.links, d.log, s.Timeouts.Gossip, view, d.describe)
	d.poller = transport.NewPoller(s, d.tables, d.log, d.serverLeaving, d.noticed)
	if len(s.Cluster.Replicas) > 0 {
		d.client = transport.NewGroupClient(d.tables, d.links, s.Cluster.Replicas)
	}
	d.gateway = transport.NewGateway(s, d.tables,
		transport.WithSelf(self),
		transport.WithClaims(d.claimer()),
		transport.WithLogger(d.log),
		transport.WithRegistry(d.registry),
		transport.WithReady(d.ready),
	)
	d.admin = transport.NewAdmin(s, d.tables, d.configStore(), d.registry, d.log, d.dump)
}

func (d *daemon) ready() error {
	if err := d.poller.Ready(); err != nil {
		return err
	}
	if d.client != nil && !d.confirmed.Load() {
		return errUnconfirmed
	}
	return transport.ConfigReady(d.tables)()
}

func (d *daemon) describe() member.SelfMsg {
	return member.SelfMsg{Ready: d.gateway.Ready() == nil, Leaving: d.gateway.Stopping()}
}

func (d *daemon) serverLeaving(l protocol.Leaving) {
	d.membership.ServerLeaving(context.Background(), l)
}

// noticed begins a planned stop when the platform will reclaim this instance.
func (d *daemon) noticed(n protocol.Notice) {
	select {
	case d.notice <- n:
	default:
	}
}

// run serves until ctx ends, or until the platform's notice, and then stops as
// planned.
func (d *daemon) run(ctx context.Context, dumps <-chan os.Signal) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, work := errgroup.WithContext(work)
	if err := d.startGroup(work, g); err != nil {
		return err
	}
	if err := d.links.Register("Member", transport.NewMemberService(work, d.membership)); err != nil {
		return err
	}
	if err := d.links.Register("Config", transport.NewConfigService(d.tables)); err != nil {
		return err
	}
	for _, part := range []func(context.Context) error{
		func(ctx context.Context) error { return d.links.Serve(ctx, d.listeners.peer) },
		d.membership.Run,
		d.poller.RunList,
		d.poller.RunNotices,
		d.poller.RunLoad,
		d.gateway.FollowLeaving,
		func(ctx context.Context) error { return d.dumpOn(ctx, dumps) },
	} {
		g.Go(func() error { return part(work) })
	}
	g.Go(func() error { return d.gateway.Serve(d.listeners.caller) })
	g.Go(func() error { return d.admin.Serve(d.listeners.admin) })
	g.Go(func() error {
		defer cancel()
		return d.stopAfter(ctx, work)
	})
	d.log.Info().Str("caller", d.listeners.caller.Addr().String()).Str("peer", d.listeners.peer.Addr().String()).Str("admin", d.listeners.admin.Addr().String()).Msg("serving")
	return g.Wait()
}

// stopAfter waits for the order to stop and carries it out.
func (d *daemon) stopAfter(ctx, work context.Context) error {
	limit := d.settings.Timeouts.Drain
	select {
	case <-ctx.Done():
	case n := <-d.notice:
		limit = min(limit, time.Until(n.At))
		d.log.Warn().Time("at", n.At).Msg("this instance will be reclaimed")
	case <-work.Done():
		return nil
	}
	d.gateway.Unready()
	d.log.Info().Dur("limit", limit).Msg("stopping: unready")
	end, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	grace := time.NewTimer(min(unreadyGrace, limit/4))
	defer grace.Stop()
	<-grace.C
	return d.drain(end)
}

// drain finishes what runs, as far as the time allows.
func (d *daemon) drain(end context.Context) error {
	d.gateway.Close()
	select {
	case <-d.tables.Streams.Idle():
	case <-end.Done():
		d.log.Warn().Int("streams", len(d.tables.Streams.Rows())).Msg("stopping: requests are left")
	}
	if err := d.gateway.Shutdown(end); err != nil {
		d.log.Warn().Err(err).Msg("stopping: connections are left")
	}
	quick, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.admin.Shutdown(quick); err != nil {
		d.log.Debug().Err(err).Msg("operators' connections are left")
	}
	return nil
}

func (d *daemon) dumpOn(ctx context.Context, dumps <-chan os.Signal) error {
	for {
		select {
		case <-dumps:
			data, err := json.MarshalIndent(d.dump(), "", "  ")
			if err != nil {
				return eris.Wrap(err, "dump")
			}
			if _, err := os.Stderr.Write(append(data, '\n')); err != nil {
				return eris.Wrap(err, "dump")
			}
		case <-ctx.Done():
			return nil
		}
	}
}
