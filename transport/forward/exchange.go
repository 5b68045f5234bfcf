package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

// exchange handles one request. It is used by one goroutine.
type exchange struct {
	g         *Gateway
	ctx       context.Context // ctx ends when the caller disconnects, the deadline passes or the gateway ends its requests.
	cancel    context.CancelFunc
	callerCtx context.Context // callerCtx ends when the caller disconnects.
	in        *fasthttp.Request
	out       *fasthttp.Request
	resp      *fasthttp.Response // resp is the server's answer.
	answer    *caller.ResponseWriter
	call      protocol.Call
	log       zerolog.Logger

	passed       string // passed is the mark of a request that another gateway passed on; empty for one of a caller.
	index        *Index
	route        *protocol.PathRoute
	workspace    *protocol.WorkspaceSpec // workspace is nil on a route that needs none.
	service      string
	prefix       uint64
	promptChain  []protocol.PromptLink // promptChain identifies the shared parts of the prompt.
	newLinks     []uint32              // newLinks are the links that the current server was not known to hold.
	lane         place.Lane
	laneShares   protocol.LaneShares // laneShares says how the servers are divided between the lanes.
	relativeSize float64             // relativeSize is the prompt's length relative to the mean length.
	start        time.Time
	deadline     time.Time

	placement         protocol.PlaceReply // placement is the leader's placement for the current attempt.
	state             resend.State
	retrySendBy       time.Time     // retrySendBy is when the budget's retry for the next attempt has to be sent.
	continuation      *continuation // continuation is where a moved run continues; nil for none.
	tried             []string
	unavailable       []string             // unavailable are servers that do not accept the current attempt: they asked for backoff, are leaving, or are at their limit.
	ticket            *backpressure.Ticket // ticket is that of the current attempt; nil if it needs none.
	waitsForRoom      bool                 // waitsForRoom reports that the request counts as waiting for room at brittle servers.
	roomWaitSince     time.Time            // roomWaitSince is since when it has waited.
	trialCredited     bool                 // trialCredited reports that a credit of a rollout trial was spent on the attempt.
	events            events
	cachedFingerprint *protocol.Fingerprint  // cachedFingerprint is the request's fingerprint; nil until first used.
	partTrial         bool                   // partTrial reports that the latest send is a trial of held parts.
	cachedParts       []protocol.Fingerprint // cachedParts are the fingerprints of the prompt's shared parts; nil until first used.
	cachedQuickHash   uint64                 // cachedQuickHash is the request's quick hash; 0 until first used.
	origin            *protocol.StreamOrigin // origin is that of the stream; nil until its first event unless the caller resumes it.
	originRecorded    bool                   // originRecorded reports that the origin was kept for later requests.
	usageCounted      bool                   // usageCounted reports that the request was counted as started.
	headWritten       bool                   // headWritten reports that the head of the answer was written.
	server            string
	end               answerEnd // end is how the latest answer of a server ended.

	pace      protocol.Slowdown // pace is the slowdown reported by the server that answered last.
	firstByte time.Duration     // firstByte is the time from the start to the first byte of the answer.
	eventsAt  time.Time         // eventsAt is when the last events were passed on.
	maxGap    time.Duration     // maxGap is the longest pause between events.
}

func newExchange(ctx context.Context, g *Gateway, req *fasthttp.Request, a *caller.ResponseWriter) *exchange {
	untilEnd, cancel := g.endWithGateway(ctx)
	return &exchange{
		g:         g,
		callerCtx: ctx,
		ctx:       untilEnd,
		cancel:    cancel,
		in:        req,
		out:       fasthttp.AcquireRequest(),
		resp:      fasthttp.AcquireResponse(),
		answer:    a,
		start:     clock.Now(),
	}
}

func (x *exchange) release() {
	x.cancel()
	x.endTicket()
	x.reportPlacementEnd()
	x.dropContinuation()
	fasthttp.ReleaseRequest(x.out)
	fasthttp.ReleaseResponse(x.resp)
}

func (x *exchange) run() {
	x.g.meters.requests.Inc(1)
	x.call = x.g.dialect.Call(x.in)
	refusal := x.admit()
	x.answer.SetOwner(x.call.ID, x.workspaceName())
	x.log = x.g.log.With().Str("request", x.call.ID).Str("workspace", x.workspaceName()).Str("route", x.routeName()).Logger()
	if refusal == nil {
		refusal = x.serve()
	}
	if refusal != nil && x.g.requestsEnded() {
		refusal = x.refuseAtEnd(refusal)
	}
	if refusal != nil {
		x.refuse(refusal)
	}
}

// serve passes the request on to another gateway or sends it to servers. It returns nil if the
// request was answered.
func (x *exchange) serve() *protocol.Refusal {
	if x.passesOn() {
		if refusal := x.pass(passNew); refusal != errRetry {
			return refusal
		}
	}
	if refusal := x.refuseWithoutPath(); refusal != nil {
		return refusal
	}
	if refusal := x.findOrigin(); refusal != nil {
		return refusal
	}
	if refusal := x.takeWorkspaceQuota(); refusal != nil {
		return refusal
	}
	x.recordArrival()
	for {
		if refusal := x.attempt(); refusal != errRetry {
			return refusal
		}
	}
}

// shutdownRetryAfter is the delay after which a caller may retry at another gateway.
const shutdownRetryAfter = 10 * time.Millisecond

// errRetry requests another attempt. It never reaches a caller.
var errRetry = &protocol.Refusal{}

// admit resolves the request's route and workspace, and decides whether it may proceed.
func (x *exchange) admit() *protocol.Refusal {
	if x.g.closed.Load() {
		return leavingRefusal()
	}
	if !x.g.await(x.ctx, x.g.configured, x.startupWait()) {
		return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNotReady, "no configuration is known yet").WithRetryAfter(x.g.readyRetryAfter())
	}
	x.index = x.g.index.Load()
	x.route = x.index.Route(x.call.Host, x.call.Path)
	if x.route == nil {
		return protocol.NewRefusal(fasthttp.StatusNotFound, protocol.CodeNotFound, "no route has this host and path")
	}
	if refusal := x.authenticate(); refusal != nil {
		return refusal
	}
	x.setDeadline()
	x.service = Split(x.route, x.call.ID)
	if x.route.Affinity {
		x.prefix = place.Prefix(x.call.Prefix)
		x.promptChain = place.Chain(x.call.Prefix)
	}
	x.state = resend.State{Repeatable: x.route.Repeatable(), MaxServers: max(1, x.route.Attempts)}
	if x.call.LastEvent != "" {
		x.events.last, x.events.hasLast = x.call.LastEvent, true
	}
	return x.quarantineRefusal(false) // Checked before the quota, so that it does not consume any.
}

// takeWorkspaceQuota takes the request's units from the quota of its workspace, unless the gateway
// that passed it on has done so.
func (x *exchange) takeWorkspaceQuota() *protocol.Refusal {
	if x.workspace == nil || x.passed == passCounted {
		return nil
	}
	return x.takeQuota(x.call.Cost(x.workspace))
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

// authenticate finds the workspace of the caller's key.
func (x *exchange) authenticate() *protocol.Refusal {
	if len(x.index.Workspaces) == 0 {
		return nil
	}
	x.workspace = x.index.Workspace(x.call.Secret)
	if x.route.Open {
		return nil
	}
	if !x.g.await(x.ctx, x.g.catalogFresh, x.startupWait()) {
		return staleCatalog()
	}
	x.index = x.g.index.Load() // A newer catalog may have arrived during the wait.
	x.workspace = x.index.Workspace(x.call.Secret)
	if x.workspace == nil {
		return protocol.NewRefusal(fasthttp.StatusUnauthorized, protocol.CodeUnauthorized, "the workspace key is not known")
	}
	return nil
}

// startupWait is how long the request may wait for the gateway itself: a fraction of the
// caller's remaining time.
func (x *exchange) startupWait() time.Duration {
	const fraction = 4
	if x.call.Remaining <= 0 {
		return maxStartupWait
	}
	return x.call.Remaining / fraction
}

func staleCatalog() *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoQuorum, "the configuration is not confirmed").WithRetryAfter(time.Second)
}

func callerGone() *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusClientClosed, protocol.CodeCallerGone, "the caller hung up")
}

// setDeadline bounds the request by the caller's remaining time and the route's timeout.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Remaining > 0 {
		limit = min(limit, x.call.Remaining)
	}
	x.deadline = x.start.Add(limit)
	x.answer.SetDeadline(clock.Monotonic(x.deadline))
	ctx, cancel := context.WithTimeout(x.ctx, x.timeLeft())
	untilEnd := x.cancel
	x.ctx, x.cancel = ctx, func() {
		cancel()
		untilEnd()
	}
}

// timeLeft returns the time until the deadline; 0 once the gateway ends its requests.
func (x *exchange) timeLeft() time.Duration {
	if x.g.requestsEnded() {
		return 0
	}
	return clock.Until(x.deadline)
}

// refuse ends the request with a refusal, or cuts off an answer that has started.
func (x *exchange) refuse(r *protocol.Refusal) {
	x.g.meters.refused.Inc(1)
	x.g.meters.countOutcome(outcome{x.routeName(), x.workspaceName(), r.Verdict})
	x.log.Info().Str("outcome", "refused").Str("code", string(r.Code)).Stringer("verdict", r.Verdict).Int("status", r.Status).
		Str("reason", r.Message).Str("server", x.server).Int("sent", x.state.Sent).Dur("after", clock.Since(x.start)).Bool("cut", x.headWritten).Msg("request")
	if x.headWritten || x.callerCtx.Err() != nil {
		return // The connection is cut, so that the answer does not look complete.
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Refuse(resp, x.call.ID, r)
	x.markUnserved(resp, r)
	_ = x.answer.WriteResponse(resp) // A disconnected caller takes no answer.
}

// leaderPlacement asks the leader to choose a server for a long prompt.
func (x *exchange) leaderPlacement(view *place.View) *place.Server {
	if x.lane != place.LaneLong {
		return nil
	}
	reply, ok := x.g.requestPlacement(protocol.PlaceMsg{
		Service: x.service,
		Prompt:  x.call.PromptTokens,
		Shared:  x.call.SharedTokens(),
		Answer:  x.call.AnswerTokens,
		Prefix:  x.prefix,
		Chain:   x.promptChain,
		Domain:  x.g.cfg.Domain,
		Avoid:   x.excluded(),
		Copies:  x.promptCopyRate(),
		Parts:   x.laneShares,
		Target:  x.route.Target,
		Gap:     x.route.TargetGap,
		Version: x.requiredVersion(),
	})
	if !ok {
		return nil
	}
	x.placement = reply
	s := view.Find(reply.Server)
	version := x.requiredVersion()
	if s == nil || s.Leaving || s.Stats.Suspect(clock.Now()) || (version != nil && s.Version != *version) {
		x.reportPlacementEnd()
		return nil
	}
	return s
}

// copyRate is the number of tokens per millisecond that a server of the service copies from
// another one; 0 if it cannot.
func (x *exchange) copyRate() float64 {
	if spec := x.index.Service(x.service); spec != nil {
		return spec.CopyRate
	}
	return 0
}

// promptCopyRate is copyRate for shared parts of prompts; 0 if the settings disable their
// copies.
func (x *exchange) promptCopyRate() float64 {
	if x.g.cfg.DisablePromptCopies {
		return 0
	}
	return x.copyRate()
}

// choose returns the server for the next attempt.
func (x *exchange) choose() (*place.Server, *protocol.Refusal) {
	if s := x.continuationServer(); s != nil {
		x.g.forcePermit(s.ID)
		return s, nil
	}
	return x.choosePermitted(x.pick)
}

// pick returns the server that suits the request best.
func (x *exchange) pick() (*place.Server, *protocol.Refusal) {
	view := x.g.view.Load()
	m := place.ChooseMsg{
		Service:        x.service,
		Prefix:         x.prefix,
		Domain:         x.g.cfg.Domain,
		Rand:           rand.Uint64(),
		Avoid:          x.excluded(),
		Lane:           x.lane,
		Parts:          x.laneShares,
		Brief:          x.route.Repeatable(),
		MaxOutstanding: x.maxOutstanding(),
		Version:        x.requiredVersion(),
		Now:            clock.Now(),
	}
	if s := x.chooseTrial(view, m); s != nil {
		return s, nil
	}
	if s := x.leaderPlacement(view); s != nil {
		return s, nil
	}
	i, ok := place.Choose(view, m)
	if !ok && len(x.fullServers()) > 0 {
		return nil, x.refuseServersFull()
	}
	if !ok {
		return nil, protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoBackend, "no server of the service can take the request").WithRetryAfter(resend.RetryAfter(x.route.Target))
	}
	return &view.Servers[i], nil
}

// connectionFraction is the fraction of a server's connections that is divided between the
// known gateways. The rest is for gateways that do not know of each other yet.
const connectionFraction = 0.8

// maxOutstanding is how many requests of this gateway one server may have; 0 for no bound.
func (x *exchange) maxOutstanding() int {
	spec := x.index.Service(x.service)
	if spec == nil || spec.Connections == 0 {
		return 0
	}
	return max(2, int(connectionFraction*float64(spec.Connections))/int(x.g.gateways.Load()))
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}
