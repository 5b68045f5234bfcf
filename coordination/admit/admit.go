// Package admit decides whether a request that must run at most once enters,
// from what the claims group answered.
//
// It is a function of the answer, the membership and the time: [Next] returns
// what to do. The claim, not the entry instance, decides, so that a resend
// through any instance finds the first one's run.
package admit

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	Run        Action = iota // Run means that this instance, and nobody else, runs the request.
	Wait                     // Wait means that another one runs it: ask again a little later.
	ClaimAgain               // Again means to claim anew under a fresh owner.
	Replay                   // Replay means to return the kept answer.
	Refuse                   // Refuse means to return the refusal.
)

// Step is a decision.
type Step struct {
	Action  Action
	Answer  *protocol.Answer
	Refusal *protocol.Refusal
}

// retryFull is when to come back while no more claims can be kept.
const retryFull = 5 * time.Second

// Check refuses a request that cannot be claimed, or returns nil. A claim is
// kept for a window of time; only a key with a date shows when it is older.
func Check(r *protocol.Request, keyGiven bool) *protocol.Refusal {
	if !keyGiven {
		return protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeBadRequest, "a request that must not be repeated needs the header %s", protocol.HeaderKey)
	}
	if r.IssuedAt.IsZero() {
		return protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeKeyUndated, "a request that must not be repeated needs the header %s, or a UUID of version 7 as its key", protocol.HeaderIssuedAt)
	}
	return nil
}

// Next decides by the group's answer. The func alive tells whether an owner
// may still be at work.
func Next(reply protocol.ClaimReply, alive func(protocol.Owner) bool) Step {
	switch reply.State {
	case protocol.ClaimGranted:
		return Step{Action: Run}
	case protocol.ClaimReleased:
		return Step{Action: ClaimAgain}
	case protocol.ClaimRunning:
		if alive(reply.Owner) {
			return Step{Action: Wait}
		}
		return refuse(lost("the instance %s that ran the request is gone", reply.Owner.Instance))
	case protocol.ClaimRan:
		if reply.Answer != nil {
			return Step{Action: Replay, Answer: reply.Answer}
		}
		r := protocol.NewRefusal(protocol.StatusConflict, protocol.CodeAnswerDropped, "the request ran; its answer is not kept any more")
		return refuse(earlier(r, protocol.Ran))
	case protocol.ClaimMayHaveRun:
		return refuse(lost("the outcome of an earlier send is not known"))
	case protocol.ClaimConflict:
		return refuse(protocol.NewRefusal(protocol.StatusConflict, protocol.CodeKeyReused, "the key was used for another request"))
	case protocol.ClaimExpired:
		r := protocol.NewRefusal(protocol.StatusGone, protocol.CodeKeyExpired, "the request was first issued longer ago than claims are kept: an earlier send may have run")
		return refuse(earlier(r, protocol.MayHaveRun))
	case protocol.ClaimFuture:
		return refuse(protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeBadRequest, "%s lies in the future", protocol.HeaderIssuedAt))
	case protocol.ClaimFull:
		r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "no more claims can be kept at the moment")
		return refuse(r.WithRetryAfter(retryFull))
	}
	return refuse(lost("the claims group gave an answer that is not understood"))
}

func refuse(r *protocol.Refusal) Step { return Step{Action: Refuse, Refusal: r} }

// earlier marks that this send did nothing, but an earlier one may have.
func earlier(r *protocol.Refusal, v protocol.Verdict) *protocol.Refusal {
	c := r.WithVerdict(v)
	c.SendNotRun = true
	return c
}

func lost(format string, args ...any) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusConflict, protocol.CodeClaimLost, format, args...)
	return earlier(r, protocol.MayHaveRun)
}

// NoQuorum is the refusal when the claims cannot be asked. This send did
// nothing; whether an earlier one with the same key ran, only the claims know.
func NoQuorum(err error) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoQuorum, "%v: this send was not run", err)
	return earlier(r, protocol.MayHaveRun).WithRetryAfter(time.Second)
}

// Unclaimed is the refusal of a request that is turned away before the claims
// were asked. If it has a key, an earlier send may have run, whatever became of
// this one; only a request that is malformed cannot have been let in before.
func Unclaimed(r *protocol.Refusal, keyGiven bool) *protocol.Refusal {
	if !keyGiven || r.Verdict != protocol.NotRun || malformed(r.Code) {
		return r
	}
	return earlier(r, protocol.MayHaveRun)
}

func malformed(c protocol.Code) bool {
	switch c {
	case protocol.CodeBadRequest, protocol.CodeMethod, protocol.CodeTooLarge, protocol.CodeNotFound, protocol.CodeKeyUndated:
		return true
	}
	return false
}
