package main

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/weldstream/weldstream/platform"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/transport"
	"github.com/weldstream/weldstream/transport/caller"
	"github.com/weldstream/weldstream/transport/control"
	"github.com/weldstream/weldstream/transport/forward"
	"github.com/weldstream/weldstream/transport/uplink"
)

const (
	// linkDialTimeout bounds a connection attempt to a control instance.
	linkDialTimeout = 300 * time.Millisecond
	// unreadyDelay is how long a stopping gateway keeps serving after it reports
	// unready. The balancer polls every second and removes the gateway after the second
	// unready answer. Later requests are refused as not executed, because they could be
	// cut off at the end.
	unreadyDelay = 2700 * time.Millisecond
	// shutdownReserveDivisor sets the part of the grace period that is reserved for the
	// final steps: one tenth.
	shutdownReserveDivisor = 10
)

// gateway wires the layers of a gateway.
type gateway struct {
	*roleRun
	forward  *forward.Gateway
	server   *caller.Server
	peers    *caller.Server // peers serves requests that other gateways pass on.
	links    *transport.Links
	memory   *caller.Memory // memory is nil if there is no limit.
	client   *uplink.Client
	stopping atomic.Bool
}

// gatewayLink adapts the gateway to uplink.Gateway.
type gatewayLink struct {
	*forward.Gateway
	server *caller.Server
	peers  *caller.Server
}

// Document implements uplink.Gateway.
func (l gatewayLink) Document(number uint64, packed []byte) error {
	data, err := control.Unpack(packed)
	if err != nil {
		return err
	}
	catalog, err := platform.ParseNumbered(number, data)
	if err != nil {
		return err
	}
	if l.Install(catalog) {
		l.server.SetLimits(callerLimits(catalog.Edge))
		l.peers.SetLimits(callerLimits(catalog.Edge))
	}
	return nil
}

// callerLimits returns the limits set in a configuration, with the defaults for those
// it does not set.
func callerLimits(e protocol.EdgeLimits) caller.Limits {
	l := caller.DefaultLimits
	if e.HeaderBytes > 0 {
		l.HeaderBytes = max(e.HeaderBytes, l.HeaderBytes)
	}
	if e.BodyBytes > 0 {
		l.BodyBytes = e.BodyBytes
	}
	if e.HeaderTime > 0 {
		l.HeaderTime = e.HeaderTime
	}
	if e.IdleTime > 0 {
		l.IdleTime = e.IdleTime
	}
	return l
}

func runGateway(r *roleRun) error {
	n := r.settings
	g := &gateway{roleRun: r, links: transport.NewLinks(n.Name, []byte(n.ClusterKey), linkDialTimeout, r.log)}
	g.links.Meter(r.registry)
	g.links.MeterDistances(n.Topology(), n.Domain, r.registry)
	g.forward = forward.New(forward.Config{
		Name:                n.Name,
		Domain:              n.Domain,
		Topology:            n.Topology(),
		KeyRevocationBound:  n.Bounds.Revoke,
		RetryRatio:          n.Bounds.RetryRatio,
		RetryWindow:         n.Bounds.RetryWindow,
		QuotaWindow:         n.Bounds.QuotaWindow,
		UsageWindow:         n.Bounds.UsageWindow,
		UsageReportDelay:    n.Bounds.UsageDue,
		DisablePromptCopies: !n.Prompts.Copies,
		MoveLead:            n.Prompts.MoveAhead,
		SocketBuffer:        n.Memory.SocketKB << 10,
		SourceIP:            n.ConnectFrom,
		MaxConnections:      n.MaxServerConnections(),
	}, platform.Dialect{}, forward.WithLogger(r.log), forward.WithRegistry(r.registry), forward.WithSyncTrigger(func() { g.client.SyncNow() }), forward.WithLimitsTrigger(func() { g.client.SyncLimitsNow() }),
		forward.WithRetriesTrigger(func() { g.client.RequestRetriesNow() }),
		forward.WithQuotaTrigger(func() { g.client.SyncQuotaNow() }),
		forward.WithMover(mover(n)),
		forward.WithReporter(platform.Reporter{}),
		forward.WithPeers(forward.PeerConfig{Address: g.passAddress(), Dial: g.links.DialRequests, MaxConnections: n.MaxPeerConnections(), Trigger: func() { g.client.FindPeersNow() }}),
		forward.WithOriginStore(func() forward.OriginStore { return g.client }),
		forward.WithPlacer(func(m protocol.PlaceMsg) (protocol.PlaceReply, bool) { return g.client.Place(m) }))
	g.server = caller.NewServer(g.forward, append(g.callerOptions(), caller.WithMaxConnections(n.MaxCallerConnections()))...)
	g.peers = caller.NewServer(g.forward.PassHandler(), append(g.callerOptions(), caller.WithMaxConnections(n.MaxPeerConnections()))...)
	seeds, err := r.seedPeerAddresses(n)
	if err != nil {
		return err
	}
	g.client = uplink.New(g.links, gatewayLink{g.forward, g.server, g.peers}, seeds, control.UnpackList, r.log, uplink.WithRegions(n.Topology(), n.Domain, n.Name), uplink.WithLimiter(g.forward), uplink.WithQuotas(g.forward), uplink.WithRetries(g.forward), uplink.WithPartHolder(g.forward), uplink.WithPeerFinder(g.forward))
	return g.run()
}

// mover returns the translator of the move calls, or nil if moves are disabled.
func mover(n *settings.Node) forward.Mover {
	if !n.Prompts.Moves {
		return nil
	}
	return platform.Mover{}
}

// callerOptions returns the options that bound the resources callers may use.
func (g *gateway) callerOptions() []caller.Option {
	n := g.settings
	if limit := n.MaxCallerBytes(); limit > 0 && g.memory == nil {
		g.memory = caller.NewMemory(limit, g.registry)
	}
	return []caller.Option{
		caller.WithMemory(g.memory),
		caller.WithMinRate(caller.MinRate{Rate: n.Memory.Rate, Window: n.Memory.Window}),
		caller.WithSocketBuffer(n.Memory.SocketKB << 10),
		caller.WithLogger(g.log),
		caller.WithRegistry(g.registry),
	}
}

// passAddress returns the address on which the gateway takes requests from other gateways; empty if
// it takes none, since the address is used for the metrics.
func (g *gateway) passAddress() string {
	if g.settings.Peer == g.settings.Metrics {
		return ""
	}
	return g.settings.Peer
}

// servePeers serves requests that other gateways pass on until ctx ends.
func (g *gateway) servePeers(ctx context.Context) error {
	if g.passAddress() == "" {
		return nil
	}
	ln, err := net.Listen("tcp", g.settings.Listen(g.passAddress()))
	if err != nil {
		return eris.Wrap(err, "listen for other gateways")
	}
	requests := g.links.ListenRequests(ln)
	stop := context.AfterFunc(ctx, func() { _ = requests.Close() })
	defer stop()
	return g.peers.Serve(requests)
}

func (g *gateway) ready() bool { return !g.stopping.Load() && g.forward.Ready() }

func (g *gateway) run() error {
	ln, err := net.Listen("tcp", g.settings.Listen(g.settings.Caller))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return g.client.Run(ctx) })
	eg.Go(func() error { return g.client.RunLimits(ctx) })
	eg.Go(func() error { return g.client.RunQuotas(ctx) })
	eg.Go(func() error { return g.client.RunRetries(ctx) })
	eg.Go(func() error { return g.client.RunParts(ctx) })
	eg.Go(func() error { return g.client.RunPeers(ctx) })
	eg.Go(func() error { return g.servePeers(ctx) })
	eg.Go(func() error {
		return serveHTTP(ctx, g.settings.Listen(g.settings.Ready), 1<<10, platform.Readiness(g.ready))
	})
	eg.Go(func() error { return g.serveMetrics(ctx, g.dump) })
	eg.Go(func() error { return g.server.Serve(ln) })
	eg.Go(func() error {
		defer cancel()
		defer func() { _ = ln.Close() }()
		g.waitForStop(ctx)
		return nil
	})
	return eg.Wait()
}

// waitForStop waits for a stop signal and carries out a planned stop.
func (g *gateway) waitForStop(ctx context.Context) {
	for {
		select {
		case <-g.reloads:
			g.reload(func(n *settings.Node) {
				if seeds, err := g.seedPeerAddresses(n); err == nil {
					g.client.SetSeeds(seeds)
				}
			})
			continue
		case s := <-g.stops:
			g.stop(s)
		case <-ctx.Done():
		}
		return
	}
}

// stop reports unready, keeps serving until the balancer has noticed, and then waits
// for the requests in progress. Those that have not ended shortly before the end of the grace
// period are answered by the gateway.
func (g *gateway) stop(s os.Signal) {
	start := time.Now()
	grace := g.settings.Bounds.Grace
	g.stopping.Store(true)
	g.log.Info().Stringer("signal", s).Dur("grace", grace).Int("connections", g.server.Conns()).Msg("stopping: unready")
	time.Sleep(min(unreadyDelay, grace/2))
	g.forward.Close()
	g.server.Drain()
	g.peers.Drain()
	reserve := grace / shutdownReserveDivisor
	if !g.awaitRequests(start.Add(grace - reserve)) {
		g.log.Info().Int("connections", g.server.Conns()+g.peers.Conns()).Msg("stopping: the rest of the requests is ended")
		g.forward.EndRequests()
		g.awaitRequests(start.Add(grace - reserve/2))
	}
	g.client.SyncNow() // Reports the final counts.
	time.Sleep(min(shutdownTimeout/4, grace/shutdownReserveDivisor/2))
	g.log.Info().Dur("after", time.Since(start)).Int("connections", g.server.Conns()).Msg("stopping: done")
}

// awaitRequests waits until no connection of callers or other gateways is open, and reports whether that
// was so before the deadline.
func (g *gateway) awaitRequests(deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return g.server.Wait(ctx) && g.peers.Wait(ctx)
}

// gatewayDump is the state of a gateway, served at /dump.
type gatewayDump struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region,omitempty"`
	Ready       bool   `json:"ready"`
	Number      uint64 `json:"number"`
	AgeMS       int64  `json:"age_ms"` // AgeMS is the time since Number was last known to be the newest; -1 if it never was.
	Connections int    `json:"connections"`

	Ways         []forward.DistanceStats  `json:"ways"`             // Ways holds the observations grouped by the distance to the servers.
	PromptMemory forward.PromptMemoryDump `json:"prompt_memory"`    // PromptMemory is what the gateway knows of the prompt caches of servers.
	Memory       *caller.MemoryStatus     `json:"memory,omitempty"` // Memory is the memory held for callers.

	HeldRequests int `json:"held_requests"` // HeldRequests is the number of quarantined requests, which are not sent to servers.

	LostServers map[string]int `json:"lost_servers"` // LostServers is the number of servers that the gateway does not reach, by service.

	LimitedServers []string `json:"limited_servers"` // LimitedServers are the servers that announce a request limit.

	BrittleServers []string `json:"brittle_servers"` // BrittleServers are the servers that announce how few rejections they bear.

	StreamOrigins int      `json:"stream_origins"` // StreamOrigins is the number of streams of which the gateway knows what version began them.
	OriginKeepers []string `json:"origin_keepers"` // OriginKeepers are the gateways that keep the versions of this one's streams.

	BodiesAtServers map[string]forward.InFlightRow `json:"bodies_at_servers"` // BodiesAtServers is the size of the request bodies in flight at servers, by service.
}

func (g *gateway) dump() any {
	d := gatewayDump{Name: g.settings.Name, Domain: g.settings.Domain, Region: g.forward.Region(), Ready: g.ready(), Number: g.forward.Number(), AgeMS: -1, Connections: g.server.Conns(), Ways: g.forward.StatsByDistance(), PromptMemory: g.forward.DumpMemory(), Memory: g.memory.Status(), BodiesAtServers: g.forward.InFlight(), HeldRequests: g.forward.Held(), LimitedServers: g.forward.LimitedServers(), LostServers: g.forward.LostServers(), BrittleServers: g.forward.BrittleServers(), StreamOrigins: g.forward.Origins(), OriginKeepers: g.forward.OriginKeepers()}
	if age, ok := g.forward.Age(); ok {
		d.AgeMS = age.Milliseconds()
	}
	return d
}
