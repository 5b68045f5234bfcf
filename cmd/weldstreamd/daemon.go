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

// minKeyBytes is the minimum length of the cluster's key.
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
	client     *transport.GroupClient // client is nil if there is no replication group.
	quarantine *transport.Quarantine
	group      *group.Group // group is nil on an instance without a replica.
	confirmed  atomic.Bool  // confirmed is set once a quorum has confirmed the configuration.
	gateway    *transport.Gateway
	limits     *transport.Limits
	admin      *transport.Admin
	listeners  listeners
	ctx        context.Context // ctx is canceled when the daemon stops.
	reclaims   chan protocol.Notice
}

// listeners are opened before anything else is started, so that start-up fails early
// if a port is in use.
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
		reclaims: make(chan protocol.Notice, 1),
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
		return nil, eris.Wrap(err, "read cluster key")
	}
	key = bytes.TrimSpace(key)
	if len(key) < minKeyBytes {
		return nil, eris.Errorf("%s: cluster key is shorter than the minimum of %d bytes", file, minKeyBytes)
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
	address := s.Advertise
	if address == "" {
		address = d.listeners.peer.Addr().String()
	}
	self := protocol.Member{
		Name:        s.Name,
		Address:     address,
		Domain:      s.Domain,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	var seeds []protocol.Member
	for _, p := range s.Cluster.Peers {
		seeds = append(seeds, protocol.Member{Name: p.Name, Address: p.Address})
	}
	view := member.New(member.DefaultConfig(s.Timeouts.Suspect), self, seeds)
	d.membership = transport.NewMembership(d.tables, d.links, d.log, s.Timeouts.Gossip, view, d.selfState)
	d.poller = transport.NewPoller(s, d.tables, d.log, transport.PollerEvents{Leaving: d.serverLeaving, Joined: d.serverJoined, Entry: d.reclaimNotice})
	d.limits = transport.NewLimits(d.tables, d.links, d.log, s.Name, transport.LimitConfig(s))
	d.links.Meter(d.registry)
	d.poller.Meter(d.registry)
	d.limits.Meter(d.registry)
	if len(s.Cluster.Replicas) > 0 {
		d.client = transport.NewGroupClient(d.tables, d.links, s.Cluster.Replicas, transport.WithGroupLogger(d.log))
	}
	d.quarantine = transport.NewQuarantine(s.Name, d.quarantineObserver(), s.Timeouts.Dial, d.log)
	d.gateway = transport.NewGateway(s, d.tables,
		transport.WithQuarantine(d.quarantine),
		transport.WithSelf(self),
		transport.WithClaims(d.claimer()),
		transport.WithLinks(d.links, d.transferrer()),
		transport.WithLimits(d.limits),
		transport.WithLogger(d.log),
		transport.WithRegistry(d.registry),
		transport.WithReady(d.ready),
		transport.WithLeaving(d.serverLeaving),
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

func (d *daemon) selfState() member.SetSelfMsg {
	return member.SetSelfMsg{Ready: d.gateway.Ready() == nil, Leaving: d.gateway.Stopping()}
}

func (d *daemon) serverLeaving(l protocol.Leaving) {
	d.membership.ServerLeaving(d.ctx, l)
}

func (d *daemon) serverJoined(in protocol.Instance) { d.membership.ServerJoined(d.ctx, in) }

// reclaimNotice starts a planned stop when the platform announces that it will reclaim
// this instance.
func (d *daemon) reclaimNotice(n protocol.Notice) {
	select {
	case d.reclaims <- n:
	default:
	}
}

// run serves until it receives a stop signal or a reclaim notice of the platform, and then
// carries out a planned stop.
func (d *daemon) run(signals processSignals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	d.ctx = ctx
	if err := d.startGroup(ctx, g); err != nil {
		return err
	}
	if err := d.links.Register("Member", transport.NewMemberService(ctx, d.membership)); err != nil {
		return err
	}
	if err := d.links.Register("HandOver", transport.NewHandOverService(d.gateway)); err != nil {
		return err
	}
	if err := d.links.Register("Limit", transport.NewLimitService(d.limits)); err != nil {
		return err
	}
	if err := d.links.Register("Config", transport.NewConfigService(d.tables)); err != nil {
		return err
	}
	for _, run := range []func(context.Context) error{
		func(ctx context.Context) error { return d.links.Serve(ctx, d.listeners.peer) },
		d.membership.Run,
		d.poller.RunList,
		d.poller.RunNotices,
		d.poller.RunLoad,
		d.gateway.FollowLeaving,
		d.limits.Run,
		d.quarantine.Run,
		func(ctx context.Context) error { return d.dumpOnSignal(ctx, signals.dumps) },
	} {
		g.Go(func() error { return run(ctx) })
	}
	g.Go(func() error { return d.gateway.Serve(d.listeners.caller) })
	g.Go(func() error { return d.admin.Serve(d.listeners.admin) })
	g.Go(func() error {
		defer cancel()
		return d.waitAndStop(signals, ctx)
	})
	d.log.Info().Str("caller", d.listeners.caller.Addr().String()).Str("peer", d.listeners.peer.Addr().String()).Str("admin", d.listeners.admin.Addr().String()).Msg("serving")
	return g.Wait()
}

func (d *daemon) dumpOnSignal(ctx context.Context, dumps <-chan os.Signal) error {
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
