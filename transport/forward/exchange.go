package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

// exchange carries one request. One goroutine runs it.
type exchange struct {
	g      *Gateway
	ctx    context.Context // ctx ends when the caller hangs up, or at the deadline.
	cancel context.CancelFunc
	gone   context.Context // gone ends when the caller hangs up.
	in     *fasthttp.Request
	out    *fasthttp.Request
	resp   *fasthttp.Response // resp is the server's answer.
	answer *caller.Answer
	call   protocol.Call
	log    zerolog.Logger

	index     *Index
	route     *protocol.PathRoute
	workspace *protocol.WorkspaceSpec // workspace is nil on a route that needs none.
	service   string
	prefix    uint64
	chain     []protocol.PromptLink // chain are the shared parts of the prompt.
	newLinks  []uint32              // newLinks are the links that the present server was not known to hold.
	lane      place.Lane
	parts     protocol.LaneShares // parts say how the servers are parted between the lanes.
	size      float64             // size is the prompt's length as a multiple of the mean one.
	start     time.Time
	deadline  time.Time

	placed       protocol.PlaceReply // placed is the place that the leader gave for the current attempt.
	state        resend.State
	continuation *continuation // continuation is where the run goes on with its memory; nil for none.
	avoid        []string
	closed       []string // closed are servers that do not take the attempt that is being placed: they rest, leave, or limit their requests.
	credited     bool     // credited says that a credit of a roll-out's trial was taken for it.
	events       events
	print        *protocol.Fingerprint // print is the request's fingerprint, once it was asked for.
	quick        uint64                // quick is its quick hash, once it was asked for.
	counted      bool                  // counted says that the request was counted as one that began to run.
	headed       bool                  // headed says that the head of the answer was written.
	server       string

	pace    protocol.Slowdown // pace is that of the server that answered last.
	first   time.Duration     // first is from the start to the first byte of the answer.
	pieceAt time.Time         // pieceAt is when the last events were passed on.
	gap     time.Duration     // gap is the longest pause between two of them.
}

func newExchange(ctx context.Context, g *Gateway, req *fasthttp.Request, a *caller.Answer) *exchange {
	return &exchange{
		g:      g,
		gone:   ctx,
		ctx:    ctx,
		cancel: func() {},
		in:     req,
		out:    fasthttp.AcquireRequest(),
		resp:   fasthttp.AcquireResponse(),
		answer: a,
		start:  clock.Now(),
	}
}

func (x *exchange) release() {
	x.cancel()
	x.ended()
	x.dropContinuation()
	fasthttp.ReleaseRequest(x.out)
	fasthttp.ReleaseResponse(x.resp)
}

func (x *exchange) run() {
	x.g.meters.requests.Inc(1)
	x.call = x.g.dialect.Call(x.in)
	refusal := x.admit()
	x.answer.Own(x.call.ID, x.workspaceName())
	x.log = x.g.log.With().Str("request", x.call.ID).Str("workspace", x.workspaceName()).Str("route", x.routeName()).Logger()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.arrived()
	for {
		refusal := x.attempt()
		if refusal == nil {
			return
		}
		if refusal != errAgain {
			x.refuse(refusal)
			return
		}
	}
}

// stopRetry is when a caller may come back to another gateway.
const stopRetry = 10 * time.Millisecond

// errAgain asks for another attempt. It never reaches a caller.
var errAgain = &protocol.Refusal{}

// admit finds out what the request is, and whether it may go on.
func (x *exchange) admit() *protocol.Refusal {
	if x.g.closed.Load() {
		return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeLeaving, "the gateway is stopping").WithRetryAfter(stopRetry)
	}
	if !x.g.await(x.ctx, x.g.known, x.patience()) {
		return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNotReady, "no configuration is known yet").WithRetryAfter(x.g.untilReady())
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
		x.chain = place.Chain(x.call.Prefix)
	}
	x.state = resend.State{Repeatable: x.route.Repeatable(), MaxServers: max(1, x.route.Attempts)}
	if x.call.LastEvent != "" {
		x.events.last, x.events.seen = x.call.LastEvent, true
	}
	if refusal := x.refusedHeld(false); refusal != nil {
		return refusal // Ahead of the quota, which it is not to use up.
	}
	if x.workspace == nil {
		return nil
	}
	return x.take(x.call.Cost(x.workspace))
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
	if !x.g.await(x.ctx, x.g.fresh, x.patience()) {
		return staleCatalog()
	}
	x.index = x.g.index.Load() // It may be a newer one by now.
	x.workspace = x.index.Workspace(x.call.Secret)
	if x.workspace == nil {
		return protocol.NewRefusal(fasthttp.StatusUnauthorized, protocol.CodeUnauthorized, "the workspace key is not known")
	}
	return nil
}

// patience is how long the request may wait for the gateway itself: a part of
// what its caller waits.
func (x *exchange) patience() time.Duration {
	const part = 4
	if x.call.Remaining <= 0 {
		return startupWait
	}
	return x.call.Remaining / part
}

func staleCatalog() *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoQuorum, "the configuration is not confirmed").WithRetryAfter(time.Second)
}

func callerGone() *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusClientClosed, protocol.CodeCallerGone, "the caller hung up")
}

// setDeadline bounds the request by what the caller waits and the route allows.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Remaining > 0 {
		limit = min(limit, x.call.Remaining)
	}
	x.deadline = x.start.Add(limit)
	x.answer.Until(clock.Steady(x.deadline))
	x.ctx, x.cancel = context.WithTimeout(x.gone, x.left())
}

func (x *exchange) left() time.Duration { return clock.Until(x.deadline) }

// refuse ends the request with a refusal, or cuts an answer that has begun.
func (x *exchange) refuse(r *protocol.Refusal) {
	x.g.meters.refused.Inc(1)
	x.g.meters.end(outcome{x.routeName(), x.workspaceName(), r.Verdict})
	x.log.Info().Str("outcome", "refused").Str("code", string(r.Code)).Stringer("verdict", r.Verdict).Int("status", r.Status).
		Str("reason", r.Message).Str("server", x.server).Int("sent", x.state.Sent).Dur("after", clock.Since(x.start)).Bool("cut", x.headed).Msg("request")
	if x.headed || x.gone.Err() != nil {
		return // The connection is cut: the answer must not look whole.
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Refuse(resp, x.call.ID, r)
	_ = x.answer.Whole(resp) // A caller that is gone takes no answer.
}

// leaderPlace asks the leader for a server for a long prompt.
func (x *exchange) leaderPlace(view *place.View) *place.Server {
	if x.lane != place.LaneLong {
		return nil
	}
	reply, ok := x.g.place(protocol.PlaceMsg{
		Service: x.service,
		Prompt:  x.call.PromptTokens,
		Shared:  x.call.SharedTokens(),
		Answer:  x.call.AnswerTokens,
		Prefix:  x.prefix,
		Chain:   x.chain,
		Domain:  x.g.cfg.Domain,
		Avoid:   x.excluded(),
		Copies:  x.promptCopyRate(),
		Parts:   x.parts,
		Target:  x.route.Target,
		Gap:     x.route.TargetGap,
	})
	if !ok {
		return nil
	}
	x.placed = reply
	s := view.Find(reply.Server)
	if s == nil || s.Leaving || s.Stats.Suspect(clock.Now()) {
		x.ended()
		return nil
	}
	return s
}

// copyRate is how many tokens a millisecond a server of the service copies from
// another one; 0 where it cannot.
func (x *exchange) copyRate() float64 {
	if spec := x.index.Service(x.service); spec != nil {
		return spec.CopyRate
	}
	return 0
}

// promptCopyRate is copyRate for the shared parts of prompts; 0 where the settings switch
// their copies off.
func (x *exchange) promptCopyRate() float64 {
	if x.g.cfg.DisablePromptCopies {
		return 0
	}
	return x.copyRate()
}

// choose returns a server to send to.
func (x *exchange) choose() (*place.Server, *protocol.Refusal) {
	if s := x.movedTo(); s != nil {
		x.g.forcePermit(s.ID)
		return s, nil
	}
	return x.permitted(x.pick)
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
		Parts:          x.parts,
		Brief:          x.route.Repeatable(),
		MaxOutstanding: x.most(),
		Now:            clock.Now(),
	}
	if s := x.chooseTrial(view, m); s != nil {
		return s, nil
	}
	if s := x.leaderPlace(view); s != nil {
		return s, nil
	}
	i, ok := place.Choose(view, m)
	if !ok && len(x.fullServers()) > 0 {
		return nil, x.noRoomAtServers()
	}
	if !ok {
		return nil, protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoBackend, "no server of the service can take the request").WithRetryAfter(resend.RetryAfter(x.route.Target))
	}
	return &view.Servers[i], nil
}

// connectionPart of a server's connections is shared out between gateways: the
// rest is for those that do not know of one another yet.
const connectionPart = 0.8

// most is how many requests of this gateway one server may have.
func (x *exchange) most() int {
	spec := x.index.Service(x.service)
	if spec == nil || spec.Connections == 0 {
		return 0
	}
	return max(2, int(connectionPart*float64(spec.Connections))/int(x.g.gateways.Load()))
}
