// Package forward carries requests that came by host and path from a caller to
// a backend server and the answer back, with method, path and body unchanged.
//
// One request is one [exchange]: it resolves the route and the workspace, takes
// from the quota, and makes attempts until one succeeds or none may follow. What
// differs between protocols is behind [Dialect]; what is decided is in the pure
// packages under coordination: place chooses servers, quota and retry bound what
// all gateways do together, resend says what may follow a failed attempt.
//
//	caller ─► Serve ─► resolve ─► limits ─► attempt ─► relay ─► caller
//	                                           ▲          │
//	                                           └─ resend ◄┘
//
// Shared state and its locks, taken in this order: Gateway.listing, Gateway.mu (limits),
// then a cell's own, that of the moves, of the servers' words or of the quarantine. The catalog and the view of servers are immutable and read through
// atomic pointers.
package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/coordination/quota"
	"github.com/weldstream/weldstream/coordination/retry"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
	"github.com/weldstream/weldstream/transport/caller"
)

// Config bounds a gateway.
type Config struct {
	Name                string             // Name is the gateway's among all instances.
	Domain              string             // Domain is its failure domain.
	Topology            *topology.Topology // Topology tells the regions of the domains; nil where all lie in one.
	KeyRevocationBound  time.Duration      // Revoke is within what a key that was taken away is refused; 0 sets no bound.
	RetryRatio          float64            // RetryRatio is the part of the requests of a window that all gateways may send again.
	RetryExtra          float64            // RetryExtra are retries in a window besides, of all gateways.
	RetryWindow         time.Duration
	QuotaWindow         time.Duration // QuotaWindow is the window in which quotas are bounded.
	UsageWindow         time.Duration // UsageWindow is the length of a window of usage reports.
	UsageReportDelay    time.Duration // UsageDue is how long after a window its report is due.
	DisablePromptCopies bool          // NoCopies has no server copy shared parts of prompts from another one.
	MoveLead            time.Duration // MoveAhead is how long before the end of a leaving server its answers are moved; 0 for as soon as it is known.
	MaxConnections      int           // Connections bounds those to all servers together; 0 sets no bound.
	SocketBuffer        int           // Socket is what the kernel may keep of a server's connection each way, in bytes; 0 leaves it to the kernel.
}

// Gateway forwards requests.
type Gateway struct {
	cfg       Config
	dialect   Dialect
	log       zerolog.Logger
	meters    *meters
	pool      *backend.Pool
	syncNow   func() // syncNow has the control role asked at once.
	quotaNow  func() // quotaNow has the leader asked at once for parts of quotas; nil where they go with the other questions.
	limitsNow func() // limitsNow has the leader asked for permits at once.
	place     func(protocol.PlaceMsg) (protocol.PlaceReply, bool)

	index     atomic.Pointer[Index]
	view      atomic.Pointer[place.View]
	began     time.Time
	confirmed atomic.Int64 // confirmed is when the catalog was known to be the newest, since began; 0 for never.
	gateways  atomic.Int64
	paths     paths
	inFlight  sync.Map    // inFlight are the bytes at servers, a *inFlight by service.
	closed    atomic.Bool // closed refuses new requests: the gateway ends soon.

	moves       moves
	crashes     crashes
	quarantined quarantined
	words       words

	listing sync.Mutex // listing is held while the view is renewed: by the link to the leader, or by a notice.

	mu        sync.Mutex // mu guards all below.
	allowance *quota.Allowance
	apart     bool          // apart says that parts of quotas are not asked for with the other questions.
	granted   chan struct{} // granted is closed and replaced when grants arrive.
	news      chan struct{} // news is closed and replaced when anything arrives from the control role.
	shares    map[string]*retry.Share
	counter   *usage.Counter
	clock     *usage.Clock
	pressure  map[string]*pressure
	prompts   promptMemory
	done      []protocol.PlaceDone // done are placed requests whose end is to be reported.
	listed    []protocol.Instance  // listed are the servers of the last list.
	starts    place.Incarnations   // starts are the newest ones of the servers.
	rolled    uint64               // rolled is the change of the roll-outs that the gateway keeps to; 0 before the first.
	rollouts  []protocol.Rollout
	trials    map[string]*trial // trials are the roll-outs that run, by service.
	unplaced  []string          // unplaced are domains of servers that have no region though there are several.
}

// Option changes a new gateway.
type Option func(*Gateway)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithRegistry sets the registry of the gateway's meters.
func WithRegistry(r metrics.Registry) Option { return func(g *Gateway) { g.meters = newMeters(r) } }

// WithSyncTrigger sets what has the control role asked at once.
func WithSyncTrigger(f func()) Option { return func(g *Gateway) { g.syncNow = f } }

// WithQuotaTrigger sets what has the leader asked at once for parts of quotas; without it they
// are asked for with the other questions.
func WithQuotaTrigger(f func()) Option { return func(g *Gateway) { g.quotaNow = f } }

// WithPlacer sets what finds a server for a long prompt; without it the gateway
// chooses by itself.
func WithPlacer(f func(protocol.PlaceMsg) (protocol.PlaceReply, bool)) Option {
	return func(g *Gateway) { g.place = f }
}

// dialTime is how long a connect to a backend server may take.
const dialTime = 400 * time.Millisecond

// New returns a gateway that knows no catalog yet.
func New(cfg Config, d Dialect, opts ...Option) *Gateway {
	now := clock.Now()
	g := &Gateway{
		cfg:         cfg,
		dialect:     d,
		log:         zerolog.Nop(),
		pool:        backend.NewPool(dialTime, backend.WithSocket(cfg.SocketBuffer), backend.WithConnections(cfg.MaxConnections)),
		syncNow:     func() {},
		limitsNow:   func() {},
		place:       func(protocol.PlaceMsg) (protocol.PlaceReply, bool) { return protocol.PlaceReply{}, false },
		began:       now,
		clock:       usage.NewClock(now),
		allowance:   quota.NewAllowance(cfg.QuotaWindow, quota.WithRandom(rand.Float64)),
		granted:     make(chan struct{}),
		news:        make(chan struct{}),
		shares:      map[string]*retry.Share{},
		quarantined: quarantined{gate: quarantine.NewFilter(cfg.Name, now)},
		counter:     usage.NewCounter(cfg.UsageWindow, cfg.UsageReportDelay),
		pressure:    map[string]*pressure{},
	}
	g.gateways.Store(1)
	g.paths.trips = topology.NewTrips(cfg.Topology, cfg.Domain)
	for _, opt := range opts {
		opt(g)
	}
	g.moves.init()
	g.words.limits, g.words.answered = backpressure.NewLimits(backpressure.WithRandom(rand.Float64)), make(chan struct{})
	g.prompts.holders = place.NewHolders(cfg.Topology)
	if g.meters == nil {
		g.meters = newMeters(metrics.NewRegistry())
	}
	metrics.NewRegisteredFunctionalGauge("servers.limited", g.meters.registry, func() int64 { return int64(len(g.LimitedServers())) })
	metrics.NewRegisteredFunctionalGauge("quarantine.held", g.meters.registry, func() int64 { return int64(g.Held()) })
	return g
}

// Install puts a catalog in force if it is above the one that is, and reports
// whether it did.
func (g *Gateway) Install(c *protocol.Catalog) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ix := g.index.Load(); ix != nil && c.Number <= ix.Number {
		return false
	}
	g.allowance.Configure(c.Workspaces)
	g.index.Store(NewIndex(c))
	g.log.Info().Uint64("number", c.Number).Int("routes", len(c.Routes)).Int("workspaces", len(c.Workspaces)).Msg("configuration in force")
	return true
}

// Number returns the catalog's number in force; 0 before the first.
func (g *Gateway) Number() uint64 {
	if ix := g.index.Load(); ix != nil {
		return ix.Number
	}
	return 0
}

// SetServers takes the list of backend servers. A former start of a server is left out,
// whoever lists it. A list that tells no start at all is of a platform that tells none, or
// of a leader whose build knows none: nothing in it is older than what is known.
func (g *Gateway) SetServers(list []protocol.Instance) {
	g.listing.Lock()
	defer g.listing.Unlock()
	g.mu.Lock()
	var again []place.Restart
	if len(list) == 0 || slices.ContainsFunc(list, func(in protocol.Instance) bool { return protocol.ParseIncarnation(in.ID).Start > 0 }) {
		list, again = g.starts.Filter(list, clock.Now())
	}
	g.listed = list
	g.mu.Unlock()
	g.renewView()
	g.endFormer(again)
	g.followView()
}

// relist has everything follow the list as it was received last, after a server gave
// notice, or a notice ran out.
func (g *Gateway) relist() {
	g.listing.Lock()
	defer g.listing.Unlock()
	g.renewView()
	if g.view.Load() != nil {
		g.followView()
	}
}

// followView has moves and connections follow the view of the servers. It needs g.listing.
func (g *Gateway) followView() {
	view := g.view.Load()
	g.noteUnplaced(view)
	leaving, now := 0, clock.Now()
	for i := range view.Servers {
		s := &view.Servers[i]
		if s.Leaving {
			leaving++
		}
		if s.Leaving && s.LeftMS > 0 {
			s.Stats.SetLeaving(time.Duration(s.LeftMS)*time.Millisecond, now)
		}
	}
	g.log.Info().Int("servers", len(view.Servers)).Int("leaving", leaving).Msg("list of servers")
	g.moveFromLeaving(view, now)
	g.words.keep(view, now)
	g.pool.Keep(func(id string) bool {
		s := view.Find(id)
		return s != nil && !s.Leaving
	})
}

// renewView has the servers that take requests follow the list, the notices that servers
// gave themselves, and the roll-outs. It needs g.listing.
func (g *Gateway) renewView() {
	g.mu.Lock()
	list, rollouts := g.listed, g.rollouts
	g.mu.Unlock()
	if list != nil {
		list = g.words.withDepartures(g.moves.withNotices(list, clock.Now()))
		g.view.Store(place.NewView(list, g.view.Load(), place.WithRollouts(rollouts), place.WithRegions(g.cfg.Topology)))
	}
}

// Confirm notes that the catalog was the newest at a time.
func (g *Gateway) Confirm(at time.Time, gateways int) {
	g.confirmed.Store(max(g.confirmed.Load(), int64(at.Sub(g.began))))
	g.gateways.Store(int64(max(1, gateways)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance.CoordinatorReplied(gateways, clock.Now())
	for _, s := range g.shares {
		s.Resize(g.cfg.RetryExtra, gateways)
	}
	close(g.news)
	g.news = make(chan struct{})
}

// Overdue notes that the leader's answer is overdue, or that no leader is known.
func (g *Gateway) Overdue() {
	now := clock.Now()
	g.mu.Lock()
	g.allowance.ReplyOverdue(now)
	g.mu.Unlock()
	g.askForNotices(now)
}

// ListLate notes that the leader's list may be out of date.
func (g *Gateway) ListLate() { g.askForNotices(clock.Now()) }

// startupWait is how long a request waits for a gateway that has just started, or
// woken up, to hear from the control role: less than a caller that is told to
// come back would be away.
const startupWait = 800 * time.Millisecond

// await waits until the gateway can serve, for as long as that is worth it, and
// reports whether it can.
func (g *Gateway) await(ctx context.Context, ready func() bool, limit time.Duration) bool {
	end := time.NewTimer(min(limit, startupWait))
	defer end.Stop()
	for {
		g.mu.Lock()
		news := g.news
		g.mu.Unlock()
		if ready() {
			return true
		}
		select {
		case <-news:
		case <-end.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// known reports whether the gateway has a catalog and a list.
func (g *Gateway) known() bool { return g.index.Load() != nil && g.view.Load() != nil }

// Age returns how long ago the catalog was known to be the newest, or false if
// it never was.
func (g *Gateway) Age() (time.Duration, bool) {
	at := g.confirmed.Load()
	return clock.Since(g.began) - time.Duration(at), at > 0
}

// revokePart of the bound on taken keys is left for clocks that run unevenly.
const revokePart = 12

// fresh reports whether the catalog was confirmed recently enough for keys to be trusted.
func (g *Gateway) fresh() bool {
	if g.cfg.KeyRevocationBound == 0 {
		return true
	}
	age, ok := g.Age()
	return ok && age < g.cfg.KeyRevocationBound-g.cfg.KeyRevocationBound/revokePart
}

// Ready reports whether the gateway can serve.
func (g *Gateway) Ready() bool {
	_, confirmed := g.Age()
	return confirmed && g.known() && g.fresh()
}

const (
	// startTime is how long a gateway usually takes until it can serve, when the
	// control role has to start too.
	startTime = 600 * time.Millisecond
	// readyRetry is the least time after which a caller may come back.
	readyRetry = 150 * time.Millisecond
)

// untilReady is when a gateway that knows no configuration will probably know it.
func (g *Gateway) untilReady() time.Duration {
	return max(readyRetry, startTime-clock.Since(g.began))
}

// Close refuses the requests that come from now on, as not run.
func (g *Gateway) Close() { g.closed.Store(true) }

// Serve implements caller.Handler.
func (g *Gateway) Serve(ctx context.Context, req *fasthttp.Request, a *caller.Answer) {
	x := newExchange(ctx, g, req, a)
	defer x.release()
	x.run()
}

// Refuse implements caller.Handler.
func (g *Gateway) Refuse(status int, reason string) *fasthttp.Response {
	resp := &fasthttp.Response{}
	g.dialect.Refuse(resp, "", protocol.NewRefusal(status, protocol.CodeBadRequest, "%s", reason))
	return resp
}
