package transport

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/admit"
	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/retry"
	"github.com/weldstream/weldstream/coordination/route"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// Gateway is the HTTP server for the callers of one instance.
type Gateway struct {
	settings *settings.Settings
	tables   *state.Tables
	chooser  route.Chooser
	log      zerolog.Logger
	metrics  *gatewayMetrics
	pool     *connPool
	counts   sync.Pool
	budget   *sharedBudget
	hedging  *sharedHedging
	ready    func() error
	leaving  func(protocol.Leaving) // leaving is called for servers that refuse requests because they are leaving.
	server   *fasthttp.Server
	claims   Claimer
	limits   *Limits
	transfer Transferrer
	links    *Links // links is nil when there are no other instances.
	self     protocol.Member

	quarantine *Quarantine
	backoffs   *sharedBackoffs // backoffs holds the servers that sent Retry-After.

	recording sync.WaitGroup // recording counts the outcomes being recorded.

	stopping  atomic.Bool // stopping is set by a planned stop: not ready, but still serving.
	closed    atomic.Bool // closed makes the gateway refuse new requests.
	mu        sync.Mutex  // mu guards exchanges; it is acquired after all table locks.
	exchanges map[string]*exchange
	handOvers *handOverStore
}

// GatewayOption configures a Gateway.
type GatewayOption func(*Gateway)

// WithQuarantine sets the quarantine for requests that crash servers; without it
// each instance decides for itself.
func WithQuarantine(q *Quarantine) GatewayOption { return func(g *Gateway) { g.quarantine = q } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) GatewayOption { return func(g *Gateway) { g.log = l } }

// WithRegistry sets the registry of the gateway's metrics.
func WithRegistry(r metrics.Registry) GatewayOption {
	return func(g *Gateway) { g.metrics = newGatewayMetrics(r) }
}

// WithReady sets the check that must pass before the instance reports ready.
func WithReady(ready func() error) GatewayOption { return func(g *Gateway) { g.ready = ready } }

// WithLeaving sets the function that is called when a backend server refuses work
// because it is leaving.
func WithLeaving(f func(protocol.Leaving)) GatewayOption { return func(g *Gateway) { g.leaving = f } }

// WithClaims sets the claims group; without it requests that must run at most once
// are refused.
func WithClaims(c Claimer) GatewayOption { return func(g *Gateway) { g.claims = c } }

// WithLinks sets the links to other instances, for hand-overs, and the Transferrer
// that changes the owner of claims.
func WithLinks(l *Links, t Transferrer) GatewayOption {
	return func(g *Gateway) { g.links, g.transfer = l, t }
}

// WithLimits sets the limits shared by all instances; without them an instance
// applies limits as if it were alone.
func WithLimits(l *Limits) GatewayOption { return func(g *Gateway) { g.limits = l } }

// WithSelf sets the instance's own member record, which identifies it in claims.
func WithSelf(m protocol.Member) GatewayOption { return func(g *Gateway) { g.self = m } }

// NewGateway returns a gateway that is not serving yet.
func NewGateway(s *settings.Settings, t *state.Tables, opts ...GatewayOption) *Gateway {
	g := &Gateway{
		settings:  s,
		tables:    t,
		chooser:   route.NewAffinity(),
		log:       zerolog.Nop(),
		pool:      newConnPool(s.Timeouts.Dial),
		counts:    sync.Pool{New: func() any { return new([]int32) }},
		budget:    &sharedBudget{budget: retry.New(clock.Now())},
		hedging:   &sharedHedging{sharedBudget: sharedBudget{budget: retry.NewHedges(clock.Now())}, delays: map[string]retry.HedgeDelay{}},
		ready:     func() error { return nil },
		leaving:   func(l protocol.Leaving) { t.Backends.MarkLeaving(l) },
		exchanges: map[string]*exchange{},
		claims:    NoClaims{},
		transfer:  NoClaims{},
		handOvers: newHandOvers(),
		self:      protocol.Member{Name: s.Name},
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.limits == nil {
		g.limits = NewLimits(t, nil, g.log, s.Name, LimitConfig(s))
	}
	if g.quarantine == nil {
		g.quarantine = NewQuarantine(s.Name, NewLocalQuarantine(g.isLeaving), s.Timeouts.Dial, g.log)
	}
	g.backoffs = &sharedBackoffs{log: g.log}
	if g.metrics == nil {
		g.metrics = newGatewayMetrics(metrics.NewRegistry())
	}
	g.server = g.newServer()
	return g
}

const (
	readTimeout = 30 * time.Second // for a caller to send its whole request
	idleTimeout = 2 * time.Minute  // for a kept connection between requests
)

func (g *Gateway) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               g.handle,
		ErrorHandler:          g.handleError,
		Name:                  "weldstream",
		MaxRequestBodySize:    g.settings.Limits.BodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// discardLogger drops the HTTP library's log lines: the gateway logs each refusal
// itself.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections from callers until Shutdown.
func (g *Gateway) Serve(ln net.Listener) error {
	return g.server.Serve(&callerListener{Listener: ln, stall: g.settings.Timeouts.WriteStall})
}

// Close makes the gateway refuse new requests; those in progress continue.
func (g *Gateway) Close() { g.closed.Store(true) }

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Shutdown closes the listener and waits for active connections.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Close()
	g.waitForOutcomes(ctx)
	return g.server.ShutdownWithContext(ctx)
}

// waitForOutcomes waits until the outcomes of claimed requests are recorded.
func (g *Gateway) waitForOutcomes(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Unready makes the readiness check fail, so that the load balancer sends no more
// requests. Requests that still arrive are served.
func (g *Gateway) Unready() { g.stopping.Store(true) }

// FollowLeaving notifies running requests when their server begins to leave. It
// returns when ctx ends.
func (g *Gateway) FollowLeaving(ctx context.Context) error {
	for {
		select {
		case server := <-g.tables.Backends.NewlyLeaving():
			g.log.Info().Str("server", server).Msg("backend server is leaving")
			g.notifyLeaving(server)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) notifyLeaving(server string) {
	if s := g.tables.Backends.View().Find(server); s != nil {
		g.pool.closeIdle(s.Address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.exchanges {
		if s := x.server.Load(); s != nil && s.ID == server {
			x.post(attempt.LeavingMsg{Server: server})
		}
	}
}

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		g.handleReady(ctx)
	case path == "/v1/models":
		g.handleModels(ctx)
	case path == "/v1/chat/completions":
		g.handleModel(ctx, protocol.KindChat)
	case path == "/v1/completions":
		g.handleModel(ctx, protocol.KindCompletion)
	case strings.HasPrefix(path, "/services/"):
		g.handleService(ctx, path)
	default:
		g.refuse(ctx, "", protocol.NewRefusal(http.StatusNotFound, protocol.CodeNotFound, "no such path: %s", path))
	}
}

// handleError responds to input that the HTTP library could not parse as a
// request.
func (g *Gateway) handleError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		g.refuse(ctx, "", protocol.NewRefusal(http.StatusRequestEntityTooLarge, protocol.CodeTooLarge, "the body is larger than %d bytes", g.settings.Limits.BodyBytes))
	case errors.As(err, &small):
		g.refuse(ctx, "", protocol.NewRefusal(http.StatusRequestHeaderFieldsTooLarge, protocol.CodeTooLarge, "the headers are too large"))
	case errors.As(err, &netErr) && netErr.Timeout():
		g.refuse(ctx, "", protocol.NewRefusal(http.StatusRequestTimeout, protocol.CodeBadRequest, "the request did not arrive within %v", readTimeout))
	default:
		// The library's error quotes the request, including the caller's key.
		g.refuse(ctx, "", badRequest("the request cannot be read as HTTP/1.1"))
	}
	ctx.SetConnectionClose()
}

func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if err := g.Ready(); err != nil {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// Ready returns nil if the load balancer may send requests, else the reason.
func (g *Gateway) Ready() error {
	if g.stopping.Load() || g.closed.Load() {
		return errStopping
	}
	return g.ready()
}

var errStopping = errors.New("the instance is stopping")

// admitCaller checks that the instance can serve and authenticates the caller.
func (g *Gateway) admitCaller(ctx *fasthttp.RequestCtx) (*parser, *protocol.Refusal) {
	if g.closed.Load() {
		ctx.SetConnectionClose()
		return nil, protocol.NewRefusal(http.StatusServiceUnavailable, protocol.CodeLeaving, "%v", errStopping).WithRetryAfter(time.Second)
	}
	index := g.tables.Index()
	if index == nil || g.ready() != nil {
		return nil, protocol.NewRefusal(http.StatusServiceUnavailable, protocol.CodeNotReady, "the instance is not ready").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return nil, protocol.NewRefusal(http.StatusUnauthorized, protocol.CodeUnauthorized, "an Authorization header with a workspace key is needed")
	}
	w := index.Authenticate(key)
	if w == nil {
		return nil, protocol.NewRefusal(http.StatusUnauthorized, protocol.CodeUnauthorized, "the workspace key is not known")
	}
	return &parser{
		ctx:             ctx,
		index:           index,
		workspace:       w,
		now:             clock.Now(),
		maxDeadline:     g.settings.Timeouts.MaxDeadline,
		defaultDeadline: g.settings.Timeouts.Request,
	}, nil
}

func (g *Gateway) handleModels(ctx *fasthttp.RequestCtx) {
	p, refusal := g.admitCaller(ctx)
	if refusal != nil {
		g.refuse(ctx, "", refusal)
		return
	}
	if !ctx.IsGet() {
		g.refuse(ctx, "", methodRefusal("GET"))
		return
	}
	writeModels(ctx, p.index.Routes(p.workspace.Name))
}

func methodRefusal(want string) *protocol.Refusal {
	return protocol.NewRefusal(http.StatusMethodNotAllowed, protocol.CodeMethod, "only %s is allowed here", want)
}

func (g *Gateway) handleModel(ctx *fasthttp.RequestCtx, kind protocol.Kind) {
	p, refusal := g.admitCaller(ctx)
	if refusal == nil && !ctx.IsPost() {
		refusal = methodRefusal("POST")
	}
	if refusal != nil {
		g.refuseUnclaimed(ctx, "", refusal)
		return
	}
	r, refusal := p.parseModel(kind)
	g.start(ctx, r, refusal)
}

func (g *Gateway) handleService(ctx *fasthttp.RequestCtx, path string) {
	p, refusal := g.admitCaller(ctx)
	if refusal != nil {
		g.refuseUnclaimed(ctx, "", refusal)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	r, refusal := p.parseService(name, "/"+rest)
	g.start(ctx, r, refusal)
}

// start begins an exchange for a parsed request, or sends its refusal.
func (g *Gateway) start(ctx *fasthttp.RequestCtx, r *protocol.Request, refusal *protocol.Refusal) {
	g.metrics.requests.Inc(1)
	id := strings.ToLower(rand.Text()[:16])
	if refusal == nil && !r.Repeatable {
		refusal = admit.Check(r, r.Key.ID != "")
	}
	if refusal == nil && r.Key.ID == "" {
		r.Key.ID = id
	}
	if refusal != nil {
		g.refuseUnclaimed(ctx, id, refusal)
		return
	}
	x := g.newExchange(r, id)
	if !g.tables.Streams.Begin(x.row, g.settings.Limits.Streams) {
		full := protocol.NewRefusal(http.StatusTooManyRequests, protocol.CodeOverloaded, "this instance has %d requests in progress", g.settings.Limits.Streams)
		g.refuseUnclaimed(ctx, id, full.WithRetryAfter(retryAfterOverload))
		return
	}
	g.addExchange(x)
	g.serve(ctx, x)
}

// refuseUnclaimed refuses a request for which no claim has been requested.
func (g *Gateway) refuseUnclaimed(ctx *fasthttp.RequestCtx, id string, r *protocol.Refusal) {
	keyGiven := len(ctx.Request.Header.Peek(protocol.HeaderKey)) > 0
	g.refuse(ctx, id, admit.Unclaimed(r, keyGiven))
}

func (g *Gateway) addExchange(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges[x.row.Request] = x
}

func (g *Gateway) removeExchange(x *exchange) {
	g.mu.Lock()
	delete(g.exchanges, x.row.Request)
	g.mu.Unlock()
	g.tables.Streams.End(x.row.Request)
}
