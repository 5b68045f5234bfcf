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
	// linkDial is how long a connect to a control instance may take.
	linkDial = 300 * time.Millisecond
	// noticeTime is how long a stopping gateway goes on as before, so that the
	// balancer, which asks every second and believes the second answer, can notice.
	// What comes later is refused as not run: it would be cut at the end.
	noticeTime = 2700 * time.Millisecond
	// lastPart of the grace time is left for the end.
	lastPart = 10
)

// gateway wires the layers of a gateway.
type gateway struct {
	*roleRun
	forward  *forward.Gateway
	server   *caller.Server
	memory   *caller.Memory // memory is nil without a limit.
	client   *uplink.Client
	stopping atomic.Bool
}

// gatewayLink is the gateway as the uplink sees it.
type gatewayLink struct {
	*forward.Gateway
	server *caller.Server
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
	}
	return nil
}

// callerLimits are the limits of a configuration, the usual ones where it names
// none.
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
	g := &gateway{roleRun: r}
	g.forward = forward.New(forward.Config{
		Name:        n.Name,
		Domain:      n.Domain,
		Topology:    n.Topology(),
		Revoke:      n.Bounds.Revoke,
		RetryRatio:  n.Bounds.RetryRatio,
		RetryExtra:  n.Bounds.RetryExtra,
		RetryWindow: n.Bounds.RetryWindow,
		QuotaWindow: n.Bounds.QuotaWindow,
		UsageWindow: n.Bounds.UsageWindow,
		UsageDue:    n.Bounds.UsageDue,
		NoCopies:    !n.Prompts.Copies,
		MoveAhead:   n.Prompts.MoveAhead,
		Socket:      n.Memory.SocketKB << 10,
		Connections: n.MaxServerConnections(),
	}, platform.Dialect{}, forward.WithLogger(r.log), forward.WithRegistry(r.registry), forward.WithSyncNow(func() { g.client.SyncNow() }), forward.WithLimitsNow(func() { g.client.LimitsNow() }),
		forward.WithQuotaNow(func() { g.client.QuotaNow() }),
		forward.WithMover(mover(n)),
		forward.WithReporter(platform.Reporter{}),
		forward.WithPlace(func(m protocol.PlaceMsg) (protocol.PlaceReply, bool) { return g.client.Place(m) }))
	g.server = caller.NewServer(g.forward, g.callerOptions()...)
	seeds, err := r.peersOfSeeds(n)
	if err != nil {
		return err
	}
	links := transport.NewLinks(n.Name, []byte(n.ClusterKey), linkDial, r.log)
	links.Meter(r.registry)
	links.MeterDistances(n.Topology(), n.Domain, r.registry)
	g.client = uplink.New(links, gatewayLink{g.forward, g.server}, seeds, control.UnpackList, r.log, uplink.WithRegions(n.Topology(), n.Domain, n.Name), uplink.WithLimiter(g.forward), uplink.WithQuotas(g.forward))
	return g.run()
}

// mover returns what translates the calls of moves, or nil where nothing is moved.
func mover(n *settings.Node) forward.Mover {
	if !n.Prompts.Moves {
		return nil
	}
	return platform.Mover{}
}

// callerOptions bound what callers may take of the process.
func (g *gateway) callerOptions() []caller.Option {
	n := g.settings
	if held := n.MaxCallerBytes(); held > 0 {
		g.memory = caller.NewMemory(held, g.registry)
	}
	return []caller.Option{
		caller.WithMemory(g.memory),
		caller.WithPace(caller.Pace{Rate: n.Memory.Rate, Window: n.Memory.Window}),
		caller.WithSocket(n.Memory.SocketKB << 10),
		caller.WithConnections(n.MaxCallerConnections()),
		caller.WithLogger(g.log),
		caller.WithRegistry(g.registry),
	}
}

func (g *gateway) ready() bool { return !g.stopping.Load() && g.forward.Ready() }

func (g *gateway) run() error {
	ln, err := net.Listen("tcp", g.settings.Listen(g.settings.Caller))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	eg, work := errgroup.WithContext(work)
	eg.Go(func() error { return g.client.Run(work) })
	eg.Go(func() error { return g.client.RunLimits(work) })
	eg.Go(func() error { return g.client.RunQuotas(work) })
	eg.Go(func() error {
		return serveHTTP(work, g.settings.Listen(g.settings.Ready), 1<<10, platform.Readiness(g.ready))
	})
	eg.Go(func() error { return g.serveMetrics(work, g.dump) })
	eg.Go(func() error { return g.server.Serve(ln) })
	eg.Go(func() error {
		defer cancel()
		defer func() { _ = ln.Close() }()
		g.await(work)
		return nil
	})
	return eg.Wait()
}

// await waits for the order to stop and carries out a planned stop.
func (g *gateway) await(work context.Context) {
	for {
		select {
		case <-g.reloads:
			g.reload(func(n *settings.Node) {
				if seeds, err := g.peersOfSeeds(n); err == nil {
					g.client.SetSeeds(seeds)
				}
			})
			continue
		case s := <-g.stops:
			g.stop(s)
		case <-work.Done():
		}
		return
	}
}

// stop reports unready, goes on until the balancer has noticed, and then waits
// for what is under way.
func (g *gateway) stop(s os.Signal) {
	began := time.Now()
	grace := g.settings.Bounds.Grace
	g.stopping.Store(true)
	g.log.Info().Stringer("signal", s).Dur("grace", grace).Int("connections", g.server.Conns()).Msg("stopping: unready")
	time.Sleep(min(noticeTime, grace/2))
	g.forward.Close()
	g.server.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-grace/lastPart))
	defer cancel()
	g.server.Wait(ctx)
	g.client.SyncNow() // The last counts are reported.
	time.Sleep(min(endTime/4, grace/lastPart/2))
	g.log.Info().Dur("after", time.Since(began)).Int("connections", g.server.Conns()).Msg("stopping: done")
}

// gatewayDump is a gateway's state on request.
type gatewayDump struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region,omitempty"`
	Ready       bool   `json:"ready"`
	Number      uint64 `json:"number"`
	AgeMS       int64  `json:"age_ms"` // AgeMS is since Number was known to be the newest; -1 for never.
	Connections int    `json:"connections"`

	Ways    []forward.Way     `json:"ways"`             // Ways are what was seen by distance to the servers.
	Prompts forward.Dump      `json:"prompt_memory"`    // Prompts are what is known of what servers have read.
	Memory  *caller.MemoryRow `json:"memory,omitempty"` // Memory is what is held for callers.

	Held int `json:"held_requests"` // Held are the requests that are kept from servers.

	Limited []string `json:"limited_servers"` // Limited are the servers that name a limit of requests.

	InFlight map[string]forward.InFlightRow `json:"bodies_at_servers"` // InFlight are the bytes of bodies at servers, by service.
}

func (g *gateway) dump() any {
	d := gatewayDump{Name: g.settings.Name, Domain: g.settings.Domain, Region: g.forward.Region(), Ready: g.ready(), Number: g.forward.Number(), AgeMS: -1, Connections: g.server.Conns(), Ways: g.forward.Ways(), Prompts: g.forward.DumpMemory(), Memory: g.memory.Row(), InFlight: g.forward.InFlight(), Held: g.forward.Held(), Limited: g.forward.LimitedServers()}
	if age, ok := g.forward.Age(); ok {
		d.AgeMS = age.Milliseconds()
	}
	return d
}
