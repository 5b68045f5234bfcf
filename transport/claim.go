package transport

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/admit"
	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
)

// Claimer is the gateway's interface to the claims group.
type Claimer interface {
	// Claim requests the right to run a request. On an error the claim may or may
	// not have been granted.
	Claim(ctx context.Context, m protocol.ClaimMsg) (protocol.ClaimReply, error)
	// Finish records an outcome; the verdict "not run" releases the claim.
	Finish(ctx context.Context, m protocol.FinishClaimMsg) error
}

// NoClaims is the [Claimer] of an instance without a replication group. It grants
// nothing.
type NoClaims struct{}

// Claim implements [Claimer].
func (NoClaims) Claim(context.Context, protocol.ClaimMsg) (protocol.ClaimReply, error) {
	return protocol.ClaimReply{}, ErrNoQuorum
}

// Finish implements [Claimer].
func (NoClaims) Finish(context.Context, protocol.FinishClaimMsg) error { return ErrNoQuorum }

// Transfer implements [Transferrer].
func (NoClaims) Transfer(context.Context, protocol.TransferClaimMsg) (bool, error) {
	return false, ErrNoQuorum
}

const (
	claimTimeout        = 2 * time.Second        // for one call to the claims group
	joinPoll            = 25 * time.Millisecond  // before the first repeat of a claim that another run holds
	maxJoinPoll         = 500 * time.Millisecond // the longest interval
	recordTimeout       = time.Second            // how long an answer is held back for its outcome to be recorded
	recordRetryLimit    = 5 * time.Minute        // how long recording is retried in the background
	recordRetryInterval = 500 * time.Millisecond
	// maxKeptAnswer limits the size of an answer stored for resends, since it is
	// replicated through the log of every replica.
	maxKeptAnswer = 256 << 10
)

// claimMsg returns the claim for the exchange's request.
func (x *exchange) claimMsg() protocol.ClaimMsg {
	return protocol.ClaimMsg{
		Key:      x.request.Key,
		Body:     x.request.BodyDigest,
		Owner:    x.owner,
		IssuedAt: protocol.Millis(x.request.IssuedAt),
		Limits:   claimLimits(x.g.settings.Claims),
	}
}

func claimLimits(c settings.Claims) protocol.ClaimLimits {
	return protocol.ClaimLimits{
		WindowMS:    c.Window.Milliseconds(),
		SkewMS:      c.Skew.Milliseconds(),
		Count:       c.Count,
		AnswerBytes: c.AnswerBytes,
	}
}

// renewOwner assigns a new owner ID: a released claim is never granted to the same
// owner again.
func (x *exchange) renewOwner() {
	x.owner = protocol.Owner{
		Instance:    x.g.self.Name,
		Incarnation: x.g.self.Incarnation,
		Request:     x.row.Request + "-" + strings.ToLower(rand.Text()[:6]),
	}
}

// claim requests the right to run a request that must run at most once. It returns
// true if this exchange holds the claim; otherwise the response is already
// written.
func (x *exchange) claim(ctx *fasthttp.RequestCtx) bool {
	x.renewOwner()
	wait := joinPoll
	for {
		step := x.requestClaim()
		switch step.Action {
		case admit.Run:
			x.claimed = true
			return true
		case admit.ClaimAgain:
			x.renewOwner()
		case admit.Replay:
			x.replay(ctx, step.Answer)
			return false
		case admit.Refuse:
			x.g.refuse(ctx, x.row.Request, step.Refusal)
			return false
		case admit.Wait:
			if r := x.waitForOwner(wait); r != nil {
				x.g.refuse(ctx, x.row.Request, r)
				return false
			}
			wait = min(2*wait, maxJoinPoll)
		}
	}
}

func (x *exchange) requestClaim() admit.Step {
	limit := min(claimTimeout, clock.Until(x.request.Deadline))
	wait, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	reply, err := x.g.claims.Claim(wait, x.claimMsg())
	x.g.metrics.claims.UpdateSince(began)
	if err != nil {
		x.g.recordOutcome(x.finishClaimMsg(protocol.NotRun, nil)) // The claim may have been granted despite the error.
		return admit.Step{Action: admit.Refuse, Refusal: admit.NoQuorum(err)}
	}
	return admit.Next(reply, x.g.ownerAlive)
}

// waitForOwner waits before the claim held by another run is checked again. It
// returns a refusal if the caller disconnects, the deadline passes or the instance
// hands its requests over.
func (x *exchange) waitForOwner(d time.Duration) *protocol.Refusal {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case m := <-x.urgent:
			switch m.(type) {
			case attempt.CallerGoneMsg, attempt.DeadlineMsg:
				return runningElsewhere(protocol.StatusGatewayTimeout, protocol.CodeDeadline)
			case attempt.HandOverMsg:
				return runningElsewhere(protocol.StatusServiceUnavailable, protocol.CodeLeaving).WithRetryAfter(time.Second)
			}
		}
	}
}

// runningElsewhere is the refusal that ends the wait for another run.
func runningElsewhere(status int, code protocol.Code) *protocol.Refusal {
	r := protocol.NewRefusal(status, code, "the request still runs elsewhere")
	r.SendNotRun = true
	return r.WithVerdict(protocol.MayHaveRun)
}

// ownerAlive reports whether an owner may still be running. For this instance and
// for others alike, the incarnation must be that of the current process.
func (g *Gateway) ownerAlive(o protocol.Owner) bool {
	if o.Instance == g.self.Name {
		return o.Incarnation == g.self.Incarnation
	}
	row, ok := g.tables.Members.Get(o.Instance)
	return ok && row.Incarnation == o.Incarnation && row.State < protocol.MemberDead
}

// replay writes the stored answer of an earlier send.
func (x *exchange) replay(ctx *fasthttp.RequestCtx, a *protocol.Answer) {
	if x.request.Stream && x.request.Resume > a.Tokens {
		x.g.refuse(ctx, x.row.Request, attempt.NoSuchEvent(x.request.Resume, a.Tokens).WithVerdict(protocol.Ran))
		return
	}
	ctx.Response.Header.Set(protocol.HeaderVerdict, protocol.Ran.String())
	ctx.Response.Header.Set(protocol.HeaderRequest, x.row.Request)
	x.answer = serviceAnswer{status: a.Status, contentType: a.ContentType, body: a.Body}
	x.text.WriteString(a.Text)
	x.finish, x.state.Received = a.Finish, a.Tokens
	x.log.Info().Stringer("verdict", protocol.Ran).Msg("answer replayed")
	if x.request.Stream {
		x.replayStream(ctx, a)
		return
	}
	x.writeResponse(ctx)
}

// outcome returns the verdict and the answer to record for the claim.
func (x *exchange) outcome() (protocol.Verdict, *protocol.Answer) {
	if x.refusal != nil {
		return x.refusal.Verdict, nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := &protocol.Answer{
		Status:      x.answer.status,
		ContentType: x.answer.contentType,
		Body:        x.answer.body,
		Text:        x.text.String(),
		Tokens:      x.state.Received,
		Finish:      x.finish,
		Ends:        x.ends,
	}
	if answer.Size() > maxKeptAnswer {
		return protocol.Ran, nil
	}
	return protocol.Ran, answer
}

func (x *exchange) finishClaimMsg(v protocol.Verdict, a *protocol.Answer) protocol.FinishClaimMsg {
	return protocol.FinishClaimMsg{
		Key:      x.request.Key,
		Owner:    x.owner,
		Verdict:  v,
		IssuedAt: protocol.Millis(x.request.IssuedAt),
		Answer:   a,
		Limits:   claimLimits(x.g.settings.Claims),
	}
}

// settleClaim records the outcome of a claimed request before the end of the
// answer is written, so that a caller that misses the end finds the answer by its
// key. After recordTimeout the answer is sent anyway.
func (x *exchange) settleClaim() {
	if !x.claimed {
		return
	}
	x.claimed = false
	verdict, answer := x.outcome()
	done := x.g.recordOutcome(x.finishClaimMsg(verdict, answer))
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// recordOutcome records an outcome in the background and retries for up to
// recordRetryLimit.
func (g *Gateway) recordOutcome(m protocol.FinishClaimMsg) (done <-chan struct{}) {
	recorded := make(chan struct{})
	g.recording.Add(1)
	go func() {
		defer g.recording.Done()
		defer close(recorded)
		limit, cancel := context.WithTimeout(context.Background(), recordRetryLimit)
		defer cancel()
		for {
			if g.claims.Finish(limit, m) == nil {
				return
			}
			select {
			case <-limit.Done():
				g.log.Error().Str("key", m.Key.String()).Stringer("verdict", m.Verdict).Msg("recording the outcome of a claim failed")
				return
			case <-time.After(recordRetryInterval):
			}
		}
	}()
	return recorded
}
