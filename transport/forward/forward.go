// Package forward routes requests by host and path from callers to backend servers
// and relays the answers, with method, path and body unchanged.
//
// An [exchange] handles one request: it resolves the route and the workspace, takes
// units from the quota, and makes attempts until one succeeds or no further one is
// allowed. A [Dialect] covers the differences between protocols. Decisions are made by
// the pure packages under coordination: place chooses servers, quota and retry bound
// what all gateways do together, and resend decides what may follow a failed attempt.
//
//	caller ─► Serve ─► resolve ─► limits ─► attempt ─► relay ─► caller
//	                                           ▲          │
//	                                           └─ resend ◄┘
//
// Locks are taken in this order: Gateway.viewMu, Gateway.mu (limits), then the lock of a
// server's statistics, of runMoves, of feedbackState, of quarantineState, of retryBudgets, of reachState or of peerState. The catalog
// and the view of servers are immutable and read through atomic pointers.
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

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/coordination/quota"
	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
	"github.com/weldstream/weldstream/transport/caller"
)

// Config configures a gateway.
type Config struct {
	Name                string             // Name is the gateway's name, unique among all instances.
	Domain              string             // Domain is the gateway's failure domain.
	Topology            *topology.Topology // Topology maps failure domains to regions; nil if all are in one region.
	KeyRevocationBound  time.Duration      // KeyRevocationBound is the time within which a revoked key must be refused; 0 for no bound.
	RetryRatio          float64            // RetryRatio is the fraction of the requests in a window that all gateways together may retry.
	RetryWindow         time.Duration      // RetryWindow is the window over which retries are counted.
	QuotaWindow         time.Duration      // QuotaWindow is the window over which quotas are bounded.
	UsageWindow         time.Duration      // UsageWindow is the length of a usage report's window.
	UsageReportDelay    time.Duration      // UsageReportDelay is how long after the end of a window its report is due.
	DisablePromptCopies bool               // DisablePromptCopies stops servers from copying shared parts of prompts from each other.
	MoveLead            time.Duration      // MoveLead is how long before a leaving server ends its answers are moved; 0 for as soon as its departure is known.
	MaxConnections      int                // MaxConnections bounds the connections to all servers together; 0 for no bound.
	SourceIP            string             // SourceIP is the address that connections to servers come from; empty for the kernel's choice.
	SocketBuffer        int                // SocketBuffer is the size in bytes of the kernel's buffer for each direction of a server's connection; 0 for the kernel's default.
}

// Gateway forwards requests to backend servers.
type Gateway struct {
	cfg              Config
	dialect          Dialect
	log              zerolog.Logger
	meters           *meters
	pool             *backend.Pool
	triggerSync      func() // triggerSync starts a sync with the control role at once.
	triggerQuota     func() // triggerQuota asks the leader for quota at once; nil if quota is part of the sync.
	triggerLimits    func() // triggerLimits asks the leader for permits at once.
	triggerRetries   func() // triggerRetries asks the leader for retries at once; nil if no retries are borrowed.
	requestPlacement func(protocol.PlaceMsg) (protocol.PlaceReply, bool)
	originStore      func() OriginStore // originStore returns where origins of streams are kept besides gateways; nil for nowhere.

	index      atomic.Pointer[Index]
	view       atomic.Pointer[place.View]
	startedAt  time.Time
	confirmed  atomic.Int64 // confirmed is when the catalog was last known to be the newest, relative to startedAt; 0 for never.
	gateways   atomic.Int64
	roundTrips domainRoundTrips
	inFlight   sync.Map    // inFlight holds the body bytes at servers, as an *inFlight for each service.
	closed     atomic.Bool // closed makes the gateway refuse new requests, as it is about to stop.

	untilEnd    context.Context // untilEnd ends when requests in progress have to end.
	endRequests context.CancelFunc

	moves      runMoves
	crashes    brokenConnections
	quarantine quarantineState
	feedback   feedbackState
	contacts   firstContacts
	retries    retryBudgets
	reach      reachState
	peers      peerState
	origins    originState

	viewMu sync.Mutex // viewMu is held while the view is rebuilt, by the link to the leader or after a departure notice.

	mu                 sync.Mutex // mu guards the fields below.
	allowance          *quota.Allowance
	part               allot.Part    // part is the gateway's part of what all gateways together may do without a leader.
	separateQuota      bool          // separateQuota reports that quota is requested by calls of its own instead of the sync.
	grantsReceived     chan struct{} // grantsReceived is closed and replaced when grants arrive.
	updated            chan struct{} // updated is closed and replaced when the control role confirms the catalog.
	usageCounter       *usage.Counter
	clock              *usage.Clock
	pressure           map[string]*pressure
	prompts            promptLocations
	finishedPlacements []protocol.PlaceDone // finishedPlacements are placed requests whose end is to be reported.
	instances          []protocol.Instance  // instances are the servers in the latest list.
	incarnations       place.Incarnations   // incarnations are the newest known incarnations of the servers.
	rolloutChange      uint64               // rolloutChange is the change number of the rollouts in effect; 0 before the first.
	rollouts           []protocol.Rollout
	trials             map[string]*trial // trials are the running rollouts by service.
	unplaced           []string          // unplaced are the failure domains of servers that have no region although there are several regions.
}

// Option configures a new gateway.
type Option func(*Gateway)

// WithLogger sets the logger. Without it, nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithRegistry sets the metrics registry.
func WithRegistry(r metrics.Registry) Option { return func(g *Gateway) { g.meters = newMeters(r) } }

// WithSyncTrigger sets the function that starts a sync with the control role at once.
func WithSyncTrigger(f func()) Option { return func(g *Gateway) { g.triggerSync = f } }

// WithQuotaTrigger sets the function that asks the leader for quota at once. Without it,
// quota is requested as part of the sync.
func WithQuotaTrigger(f func()) Option { return func(g *Gateway) { g.triggerQuota = f } }

// WithPlacer sets the function that places long prompts. Without it, the gateway chooses
// their servers itself.
func WithPlacer(f func(protocol.PlaceMsg) (protocol.PlaceReply, bool)) Option {
	return func(g *Gateway) { g.requestPlacement = f }
}

// dialTimeout bounds a connect to a backend server.
const dialTimeout = 400 * time.Millisecond

// New returns a gateway that has no catalog yet.
func New(cfg Config, d Dialect, opts ...Option) *Gateway {
	now := clock.Now()
	g := &Gateway{
		cfg:              cfg,
		dialect:          d,
		log:              zerolog.Nop(),
		pool:             backend.NewPool(dialTimeout, backend.WithDialer(backend.DialServers(cfg.SourceIP)), backend.WithSocketBuffer(cfg.SocketBuffer), backend.WithMaxConnections(cfg.MaxConnections)),
		triggerSync:      func() {},
		triggerLimits:    func() {},
		requestPlacement: func(protocol.PlaceMsg) (protocol.PlaceReply, bool) { return protocol.PlaceReply{}, false },
		startedAt:        now,
		clock:            usage.NewClock(now),
		allowance:        quota.NewAllowance(cfg.QuotaWindow, quota.WithRandom(rand.Float64)),
		grantsReceived:   make(chan struct{}),
		updated:          make(chan struct{}),
		quarantine:       quarantineState{filter: quarantine.NewFilter(cfg.Name, now)},
		usageCounter:     usage.NewCounter(cfg.UsageWindow, cfg.UsageReportDelay),
		pressure:         map[string]*pressure{},
	}
	g.untilEnd, g.endRequests = context.WithCancel(context.Background())
	g.gateways.Store(1)
	g.roundTrips.roundTrips = topology.NewRoundTrips(cfg.Topology, cfg.Domain)
	for _, opt := range opts {
		opt(g)
	}
	g.moves.init()
	g.origins.init(now)
	g.retries.init(cfg.RetryRatio, cfg.RetryWindow)
	g.reach.tracker, g.reach.silence = reach.NewTracker(), map[string]*silence{}
	g.feedback.limits, g.feedback.replied = backpressure.NewLimits(backpressure.WithRandom(rand.Float64)), make(chan struct{})
	g.prompts.holders = place.NewHolders(cfg.Topology)
	if g.meters == nil {
		g.meters = newMeters(metrics.NewRegistry())
	}
	metrics.NewRegisteredFunctionalGauge("servers.limited", g.meters.registry, func() int64 { return int64(len(g.LimitedServers())) })
	metrics.NewRegisteredFunctionalGauge("servers.brittle", g.meters.registry, func() int64 { return int64(len(g.BrittleServers())) })
	metrics.NewRegisteredFunctionalGauge("servers.unreached", g.meters.registry, g.lostTotal)
	metrics.NewRegisteredFunctionalGauge("streams.origins", g.meters.registry, func() int64 { return int64(g.Origins()) })
	metrics.NewRegisteredFunctionalGauge("quarantine.held", g.meters.registry, func() int64 { return int64(g.Held()) })
	return g
}

// Install activates a catalog if it is newer than the active one, and reports whether it did.
func (g *Gateway) Install(c *protocol.Catalog) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ix := g.index.Load(); ix != nil && c.Number <= ix.Number {
		return false
	}
	g.recordRoutes(c.Routes)
	g.allowance.Configure(c.Workspaces)
	g.index.Store(NewIndex(c))
	g.log.Info().Uint64("number", c.Number).Int("routes", len(c.Routes)).Int("workspaces", len(c.Workspaces)).Msg("configuration in force")
	return true
}

// Number returns the number of the active catalog; 0 before the first.
func (g *Gateway) Number() uint64 {
	if ix := g.index.Load(); ix != nil {
		return ix.Number
	}
	return 0
}

// SetServers sets the list of backend servers. A superseded incarnation of a server is left
// out, whichever leader lists it. A list without any incarnation comes from a platform that
// reports none, or from a leader whose build knows none: nothing in it can be older than what
// is known.
func (g *Gateway) SetServers(list []protocol.Instance) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.mu.Lock()
	var restarts []place.Restart
	if len(list) == 0 || slices.ContainsFunc(list, func(in protocol.Instance) bool { return protocol.ParseIncarnation(in.ID).Start > 0 }) {
		list, restarts = g.incarnations.Filter(list, clock.Now())
	}
	g.instances = list
	g.mu.Unlock()
	g.recordVersions(list)
	g.rebuildView()
	g.endFormerIncarnations(restarts)
	g.recordDropped(list)
	g.applyView()
}

// refreshView applies the latest list again after a server announced its departure, or after
// such a notice expired.
func (g *Gateway) refreshView() {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.rebuildView()
	if g.view.Load() != nil {
		g.applyView()
	}
}

// applyView updates moves and connections to match the view of the servers. The caller must
// hold g.viewMu.
func (g *Gateway) applyView() {
	view := g.view.Load()
	g.warnUnplaced(view)
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
	g.feedback.prune(view, now)
	g.contacts.update(view, now)
	g.pruneReach(view)
	g.pool.Retain(func(id string) bool {
		s := view.Find(id)
		return s != nil && !s.Leaving
	})
}

// rebuildView builds the view from the latest list, the departures that servers announced
// themselves, and the rollouts. The caller must hold g.viewMu.
func (g *Gateway) rebuildView() {
	g.mu.Lock()
	list, rollouts := g.instances, g.rollouts
	g.mu.Unlock()
	if list != nil {
		list = g.feedback.applyDepartures(g.moves.applySelfNotices(list, clock.Now()))
		view := place.NewView(list, g.view.Load(), place.WithRollouts(rollouts), place.WithRegions(g.cfg.Topology))
		g.feedback.setServers(view)
		g.view.Store(view)
	}
}

// Confirm records that the catalog was the newest at the given time.
func (g *Gateway) Confirm(at time.Time, gateways int) {
	g.confirmed.Store(max(g.confirmed.Load(), int64(at.Sub(g.startedAt))))
	g.gateways.Store(int64(max(1, gateways)))
	g.confirmVersions(at)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance.CoordinatorReplied(gateways, clock.Now())
	close(g.updated)
	g.updated = make(chan struct{})
}

// Overdue records that the leader's answer is overdue, or that no leader is known.
func (g *Gateway) Overdue() {
	now := clock.Now()
	g.mu.Lock()
	g.allowance.ReplyOverdue(now)
	g.mu.Unlock()
	g.askForNotices(now)
}

// ListLate records that the leader's list may be out of date.
func (g *Gateway) ListLate() { g.askForNotices(clock.Now()) }

// maxStartupWait is how long a request waits for a gateway that has just started, or resumed
// from a suspension, to hear from the control role. It is shorter than the delay of a caller
// that is told to retry.
const maxStartupWait = 800 * time.Millisecond

// await waits until the gateway can serve, for a bounded time, and reports whether it can.
func (g *Gateway) await(ctx context.Context, ready func() bool, limit time.Duration) bool {
	end := time.NewTimer(min(limit, maxStartupWait))
	defer end.Stop()
	for {
		g.mu.Lock()
		news := g.updated
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

// configured reports whether the gateway has a catalog and a list of servers.
func (g *Gateway) configured() bool { return g.index.Load() != nil && g.view.Load() != nil }

// Age returns the time since the catalog was last known to be the newest, or false if it
// never was.
func (g *Gateway) Age() (time.Duration, bool) {
	at := g.confirmed.Load()
	return clock.Since(g.startedAt) - time.Duration(at), at > 0
}

// revocationMarginDivisor sets the part of the revocation bound that is reserved for clock
// drift.
const revocationMarginDivisor = 12

// catalogFresh reports whether the catalog was confirmed recently enough to trust its keys.
func (g *Gateway) catalogFresh() bool {
	if g.cfg.KeyRevocationBound == 0 {
		return true
	}
	age, ok := g.Age()
	return ok && age < g.cfg.KeyRevocationBound-g.cfg.KeyRevocationBound/revocationMarginDivisor
}

// Ready reports whether the gateway can serve.
func (g *Gateway) Ready() bool {
	_, confirmed := g.Age()
	return confirmed && g.configured() && g.catalogFresh()
}

const (
	// typicalStartup is how long a gateway usually takes until it can serve if the control
	// role has to start as well.
	typicalStartup = 600 * time.Millisecond
	// minReadyRetryAfter is the shortest retry delay given to callers during startup.
	minReadyRetryAfter = 150 * time.Millisecond
)

// readyRetryAfter estimates the time until the gateway has a configuration.
func (g *Gateway) readyRetryAfter() time.Duration {
	return max(minReadyRetryAfter, typicalStartup-clock.Since(g.startedAt))
}

// Serve implements caller.Handler.
func (g *Gateway) Serve(ctx context.Context, req *fasthttp.Request, a *caller.ResponseWriter) {
	x := newExchange(ctx, g, req, a)
	defer x.release()
	x.run()
}

// ErrorResponse implements caller.Handler.
func (g *Gateway) ErrorResponse(status int, reason string) *fasthttp.Response {
	resp := &fasthttp.Response{}
	g.dialect.Refuse(resp, "", protocol.NewRefusal(status, protocol.CodeBadRequest, "%s", reason))
	return resp
}
