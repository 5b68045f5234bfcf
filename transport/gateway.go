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

// Gateway is the edge towards callers of one instance.
type Gateway struct {
	settings *settings.Settings
	tables   *state.Tables
	chooser  route.Chooser
	log      zerolog.Logger
	metrics  *gatewayMetrics
	wires    *wires
	counts   sync.Pool
	budget   *budgetBox
	hedges   *hedgeBox
	ready    func() error
	leaving  func(protocol.Leaving) // leaving is told of servers that refuse since they leave.
	server   *fasthttp.Server
	claims   Claimer
	limits   *Limits
	transfer Transferrer
	links    *Links // links is nil when there are no other instances.
	self     protocol.Member

	quarantine *Quarantine
	rests      *restBox // rests are the servers that asked for rest.

	recording sync.WaitGroup // recording counts outcomes that are being recorded.

	stopping  atomic.Bool // stopping is set by a planned stop: unready, still serving.
	closed    atomic.Bool // closed refuses new requests.
	mu        sync.Mutex  // mu guards exchanges; it is taken after all table locks.
	exchanges map[string]*exchange
	handOvers *handOvers
}

// GatewayOption changes a new gateway.
type GatewayOption func(*Gateway)

// WithQuarantine sets what keeps requests under which servers end from servers; without it
// each instance decides for itself.
func WithQuarantine(q *Quarantine) GatewayOption { return func(g *Gateway) { g.quarantine = q } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) GatewayOption { return func(g *Gateway) { g.log = l } }

// WithRegistry sets the registry of the gateway's meters.
func WithRegistry(r metrics.Registry) GatewayOption {
	return func(g *Gateway) { g.metrics = newGatewayMetrics(r) }
}

// WithReady sets what must hold before the instance reports ready.
func WithReady(ready func() error) GatewayOption { return func(g *Gateway) { g.ready = ready } }

// WithLeaving sets what is told of a backend server that refuses work since it
// leaves.
func WithLeaving(f func(protocol.Leaving)) GatewayOption { return func(g *Gateway) { g.leaving = f } }

// WithClaims sets the claims group; without it no request that must run at
// most once is let in.
func WithClaims(c Claimer) GatewayOption { return func(g *Gateway) { g.claims = c } }

// WithLinks sets the links to other instances, for hand-overs, and what gives
// claims to another owner.
func WithLinks(l *Links, t Transferrer) GatewayOption {
	return func(g *Gateway) { g.links, g.transfer = l, t }
}

// WithLimits sets the limits over all instances; without them an instance
// limits as if it were alone.
func WithLimits(l *Limits) GatewayOption { return func(g *Gateway) { g.limits = l } }

// WithSelf sets the instance's own member record, the name in its claims.
func WithSelf(m protocol.Member) GatewayOption { return func(g *Gateway) { g.self = m } }

// NewGateway returns a gateway that is not serving yet.
func NewGateway(s *settings.Settings, t *state.Tables, opts ...GatewayOption) *Gateway {
	g := &Gateway{
		settings:  s,
		tables:    t,
		chooser:   route.NewAffinity(),
		log:       zerolog.Nop(),
		wires:     newWires(s.Timeouts.Dial),
		counts:    sync.Pool{New: func() any { return new([]int32) }},
		budget:    &budgetBox{budget: retry.New(clock.Now())},
		hedges:    &hedgeBox{budgetBox: budgetBox{budget: retry.NewHedges(clock.Now())}, delays: map[string]retry.HedgeDelay{}},
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
	g.rests = &restBox{log: g.log}
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
		Logger:                quietLogger{},
	}
}

// quietLogger drops the HTTP library's own lines: each refusal is logged by
// the gateway.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// Serve accepts callers until Shutdown.
func (g *Gateway) Serve(ln net.Listener) error {
	return g.server.Serve(&callerListener{Listener: ln, stall: g.settings.Timeouts.WriteStall})
}

// Close refuses new requests; those in progress go on.
func (g *Gateway) Close() { g.closed.Store(true) }

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Shutdown closes the listener and waits for the connections in use.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Close()
	g.awaitRecords(ctx)
	return g.server.ShutdownWithContext(ctx)
}

// awaitRecords waits until the outcomes of claimed requests are recorded.
func (g *Gateway) awaitRecords(ctx context.Context) {
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

// Unready makes the instance report that the balancer should send nothing
// more. Requests that come all the same are still served.
func (g *Gateway) Unready() { g.stopping.Store(true) }

// FollowLeaving tells running requests when their server begins to leave. It
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
		g.wires.forget(s.Address)
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

// handleError answers what the HTTP library could not read as a request.
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
		// The library's error quotes the request, and with it the caller's key.
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

// Ready returns nil when the balancer may send requests, else the reason.
func (g *Gateway) Ready() error {
	if g.stopping.Load() || g.closed.Load() {
		return errStopping
	}
	return g.ready()
}

var errStopping = errors.New("the instance is stopping")

// admitCaller checks that the instance can serve and who calls.
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
		ctx:       ctx,
		index:     index,
		workspace: w,
		now:       clock.Now(),
		longest:   g.settings.Timeouts.MaxDeadline,
		usual:     g.settings.Timeouts.Request,
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
		g.turnAway(ctx, "", refusal)
		return
	}
	r, refusal := p.parseModel(kind)
	g.enter(ctx, r, refusal)
}

func (g *Gateway) handleService(ctx *fasthttp.RequestCtx, path string) {
	p, refusal := g.admitCaller(ctx)
	if refusal != nil {
		g.turnAway(ctx, "", refusal)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	r, refusal := p.parseService(name, "/"+rest)
	g.enter(ctx, r, refusal)
}

// enter takes a checked request in, or refuses it.
func (g *Gateway) enter(ctx *fasthttp.RequestCtx, r *protocol.Request, refusal *protocol.Refusal) {
	g.metrics.requests.Inc(1)
	id := strings.ToLower(rand.Text()[:16])
	if refusal == nil && !r.Repeatable {
		refusal = admit.Check(r, r.Key.ID != "")
	}
	if refusal == nil && r.Key.ID == "" {
		r.Key.ID = id
	}
	if refusal != nil {
		g.turnAway(ctx, id, refusal)
		return
	}
	x := g.newExchange(r, id)
	if !g.tables.Streams.Begin(x.row, g.settings.Limits.Streams) {
		full := protocol.NewRefusal(http.StatusTooManyRequests, protocol.CodeOverloaded, "this instance has %d requests in progress", g.settings.Limits.Streams)
		g.turnAway(ctx, id, full.WithRetryAfter(retryOverload))
		return
	}
	g.addExchange(x)
	g.serve(ctx, x)
}

// turnAway refuses a request before the claims were asked.
func (g *Gateway) turnAway(ctx *fasthttp.RequestCtx, id string, r *protocol.Refusal) {
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
