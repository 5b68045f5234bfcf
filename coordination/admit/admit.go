// Package admit decides whether a request that must run at most once may run,
// from the claims group's reply.
//
// It does no I/O: [Next] is a function of the reply and of which instances are
// alive. Claims are held by the group, not by the instance that receives the
// request, so a resend through any instance finds the run that the first send
// started.
package admit

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Action says how to proceed with a request.
type Action uint8

// The actions.
const (
	Run        Action = iota // Run means that this instance holds the claim and runs the request.
	Wait                     // Wait means that another owner runs it: ask again later.
	ClaimAgain               // ClaimAgain means to claim once more under a fresh owner.
	Replay                   // Replay means to return the stored answer.
	Refuse                   // Refuse means to return the refusal.
)

// Step is an action with the answer or the refusal to return.
type Step struct {
	Action  Action
	Answer  *protocol.Answer
	Refusal *protocol.Refusal
}

// fullRetryAfter is the Retry-After while no more claims can be stored.
const fullRetryAfter = 5 * time.Second

// Check returns the refusal of a request that cannot be claimed, or nil. A claim
// is stored for a limited window; only a dated key shows when it is older than
// that.
func Check(r *protocol.Request, keyGiven bool) *protocol.Refusal {
	if !keyGiven {
		return protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeBadRequest, "a request that must not be repeated needs the header %s", protocol.HeaderKey)
	}
	if r.IssuedAt.IsZero() {
		return protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeKeyUndated, "a request that must not be repeated needs the header %s, or a UUID of version 7 as its key", protocol.HeaderIssuedAt)
	}
	return nil
}

// Next returns the step that follows from the claims group's reply. The function
// alive reports whether an owner may still be running.
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
		return refuse(claimLost("the instance %s that ran the request is gone", reply.Owner.Instance))
	case protocol.ClaimRan:
		if reply.Answer != nil {
			return Step{Action: Replay, Answer: reply.Answer}
		}
		r := protocol.NewRefusal(protocol.StatusConflict, protocol.CodeAnswerDropped, "the request ran; its answer is not kept any more")
		return refuse(withEarlierVerdict(r, protocol.Ran))
	case protocol.ClaimMayHaveRun:
		return refuse(claimLost("the outcome of an earlier send is not known"))
	case protocol.ClaimConflict:
		return refuse(protocol.NewRefusal(protocol.StatusConflict, protocol.CodeKeyReused, "the key was used for another request"))
	case protocol.ClaimExpired:
		r := protocol.NewRefusal(protocol.StatusGone, protocol.CodeKeyExpired, "the request was first issued longer ago than claims are kept: an earlier send may have run")
		return refuse(withEarlierVerdict(r, protocol.MayHaveRun))
	case protocol.ClaimFuture:
		return refuse(protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeBadRequest, "%s lies in the future", protocol.HeaderIssuedAt))
	case protocol.ClaimFull:
		r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "no more claims can be kept at the moment")
		return refuse(r.WithRetryAfter(fullRetryAfter))
	}
	return refuse(claimLost("the claims group gave an answer that is not understood"))
}

func refuse(r *protocol.Refusal) Step { return Step{Action: Refuse, Refusal: r} }

// withEarlierVerdict returns the refusal with the verdict on an earlier send with
// the same key, and marks this send as not run.
func withEarlierVerdict(r *protocol.Refusal, v protocol.Verdict) *protocol.Refusal {
	c := r.WithVerdict(v)
	c.SendNotRun = true
	return c
}

func claimLost(format string, args ...any) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusConflict, protocol.CodeClaimLost, format, args...)
	return withEarlierVerdict(r, protocol.MayHaveRun)
}

// NoQuorum returns the refusal for when the claims group cannot be reached. This
// send was not run, but an earlier one with the same key may have.
func NoQuorum(err error) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoQuorum, "%v: this send was not run", err)
	return withEarlierVerdict(r, protocol.MayHaveRun).WithRetryAfter(time.Second)
}

// Unclaimed returns the refusal of a request that is rejected before it was
// claimed. If it has a key, an earlier send may have run even though this one did
// not; only a malformed request cannot have been accepted before.
func Unclaimed(r *protocol.Refusal, keyGiven bool) *protocol.Refusal {
	if !keyGiven || r.Verdict != protocol.NotRun || malformed(r.Code) {
		return r
	}
	return withEarlierVerdict(r, protocol.MayHaveRun)
}

func malformed(c protocol.Code) bool {
	switch c {
	case protocol.CodeBadRequest, protocol.CodeMethod, protocol.CodeTooLarge, protocol.CodeNotFound, protocol.CodeKeyUndated:
		return true
	}
	return false
}
