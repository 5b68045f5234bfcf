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

// Claimer is the claims group, as a gateway needs it.
type Claimer interface {
	// Claim asks to run a request. An error means that the claim may be
	// granted or not.
	Claim(ctx context.Context, m protocol.ClaimMsg) (protocol.ClaimReply, error)
	// Finish records an outcome; not-run releases the claim.
	Finish(ctx context.Context, m protocol.FinishClaimMsg) error
}

// NoClaims is the [Claimer] of an instance without a replication group. It
// grants nothing.
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
	claimWait    = 2 * time.Second        // for the group's answer to a claim
	joinPoll     = 25 * time.Millisecond  // between two looks at a claim that runs
	joinPollMost = 500 * time.Millisecond // the longest such wait
	recordWait   = time.Second            // for an outcome to be recorded before the answer goes out
	recordLimit  = 5 * time.Minute        // for the tries to record it beside that
	recordRetry  = 500 * time.Millisecond
	// maxKeptAnswer bounds an answer that is kept for resends: it goes through
	// the log of every replica.
	maxKeptAnswer = 256 << 10
)

// claimOf returns the message that asks for an exchange's request.
func (x *exchange) claimOf() protocol.ClaimMsg {
	return protocol.ClaimMsg{
		Key:      x.request.Key,
		Body:     x.request.BodyDigest,
		Owner:    x.owner,
		IssuedAt: protocol.Millis(x.request.IssuedAt),
		Limits:   limitsOf(x.g.settings.Claims),
	}
}

func limitsOf(c settings.Claims) protocol.ClaimLimits {
	return protocol.ClaimLimits{
		WindowMS:    c.Window.Milliseconds(),
		SkewMS:      c.Skew.Milliseconds(),
		Count:       c.Count,
		AnswerBytes: c.AnswerBytes,
	}
}

// newOwner returns a fresh owner: a claim that was released is never granted
// to the same owner again.
func (x *exchange) newOwner() {
	x.owner = protocol.Owner{
		Instance:    x.g.self.Name,
		Incarnation: x.g.self.Incarnation,
		Request:     x.row.Request + "-" + strings.ToLower(rand.Text()[:6]),
	}
}

// claim asks for the right to run a request that must run at most once. It
// returns true when this exchange has it; else the answer is written.
func (x *exchange) claim(ctx *fasthttp.RequestCtx) bool {
	x.newOwner()
	wait := joinPoll
	for {
		step := x.askClaim()
		switch step.Action {
		case admit.Run:
			x.claimed = true
			return true
		case admit.ClaimAgain:
			x.newOwner()
		case admit.Replay:
			x.replay(ctx, step.Answer)
			return false
		case admit.Refuse:
			x.g.refuse(ctx, x.row.Request, step.Refusal)
			return false
		case admit.Wait:
			if r := x.waitJoined(wait); r != nil {
				x.g.refuse(ctx, x.row.Request, r)
				return false
			}
			wait = min(2*wait, joinPollMost)
		}
	}
}

func (x *exchange) askClaim() admit.Step {
	limit := min(claimWait, clock.Until(x.request.Deadline))
	wait, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	reply, err := x.g.claims.Claim(wait, x.claimOf())
	x.g.metrics.claims.UpdateSince(began)
	if err != nil {
		x.g.record(x.finishOf(protocol.NotRun, nil)) // It may be granted all the same.
		return admit.Step{Action: admit.Refuse, Refusal: admit.NoQuorum(err)}
	}
	return admit.Next(reply, x.g.ownerAlive)
}

// waitJoined waits before the next look at a claim that another run holds. It
// returns a refusal when the caller has gone or the deadline passed.
func (x *exchange) waitJoined(d time.Duration) *protocol.Refusal {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case m := <-x.urgent:
			switch m.(type) {
			case attempt.CallerGoneMsg, attempt.DeadlineMsg:
				return joinRefusal(protocol.StatusGatewayTimeout, protocol.CodeDeadline)
			case attempt.HandOverMsg:
				return joinRefusal(protocol.StatusServiceUnavailable, protocol.CodeLeaving).WithRetryAfter(time.Second)
			}
		}
	}
}

// joinRefusal ends the wait for a run elsewhere.
func joinRefusal(status int, code protocol.Code) *protocol.Refusal {
	r := protocol.NewRefusal(status, code, "the request still runs elsewhere")
	r.SendNotRun = true
	return r.WithVerdict(protocol.MayHaveRun)
}

// ownerAlive reports whether an owner may still be at work: this process knows
// its own requests, and of others whether they are still the same process.
func (g *Gateway) ownerAlive(o protocol.Owner) bool {
	if o.Instance == g.self.Name {
		return o.Incarnation == g.self.Incarnation
	}
	row, ok := g.tables.Members.Get(o.Instance)
	return ok && row.Incarnation == o.Incarnation && row.State < protocol.MemberDead
}

// replay returns an answer that an earlier send received or missed.
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
	x.writeWhole(ctx)
}

// outcome is what the exchange came to, for its claim.
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

func (x *exchange) finishOf(v protocol.Verdict, a *protocol.Answer) protocol.FinishClaimMsg {
	return protocol.FinishClaimMsg{
		Key:      x.request.Key,
		Owner:    x.owner,
		Verdict:  v,
		IssuedAt: protocol.Millis(x.request.IssuedAt),
		Answer:   a,
		Limits:   limitsOf(x.g.settings.Claims),
	}
}

// settle records the outcome of a claimed request before the answer's end goes
// out, so that a caller that misses it finds it by its key. If that takes too
// long the answer goes out all the same.
func (x *exchange) settle() {
	if !x.claimed {
		return
	}
	x.claimed = false
	verdict, answer := x.outcome()
	done := x.g.record(x.finishOf(verdict, answer))
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// record records an outcome, trying again for a while.
func (g *Gateway) record(m protocol.FinishClaimMsg) (done <-chan struct{}) {
	recorded := make(chan struct{})
	g.recording.Add(1)
	go func() {
		defer g.recording.Done()
		defer close(recorded)
		limit, cancel := context.WithTimeout(context.Background(), recordLimit)
		defer cancel()
		for {
			if g.claims.Finish(limit, m) == nil {
				return
			}
			select {
			case <-limit.Done():
				g.log.Error().Str("key", m.Key.String()).Stringer("verdict", m.Verdict).Msg("an outcome could not be recorded")
				return
			case <-time.After(recordRetry):
			}
		}
	}()
	return recorded
}
