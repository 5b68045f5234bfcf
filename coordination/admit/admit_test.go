package admit

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestNext checks the step for every reply of the claims group.
func TestNext(t *testing.T) {
	answer := &protocol.Answer{Text: "kept"}
	for _, tt := range []struct {
		name    string
		reply   protocol.ClaimReply
		alive   bool
		action  Action
		verdict protocol.Verdict
		code    protocol.Code
	}{
		{"granted", protocol.ClaimReply{State: protocol.ClaimGranted}, false, Run, 0, ""},
		{"released", protocol.ClaimReply{State: protocol.ClaimReleased}, false, ClaimAgain, 0, ""},
		{"runs elsewhere", protocol.ClaimReply{State: protocol.ClaimRunning}, true, Wait, 0, ""},
		{"the owner is gone", protocol.ClaimReply{State: protocol.ClaimRunning}, false, Refuse, protocol.MayHaveRun, protocol.CodeClaimLost},
		{"ran, answer stored", protocol.ClaimReply{State: protocol.ClaimRan, Answer: answer}, false, Replay, 0, ""},
		{"ran, answer dropped", protocol.ClaimReply{State: protocol.ClaimRan}, false, Refuse, protocol.Ran, protocol.CodeAnswerDropped},
		{"may have run", protocol.ClaimReply{State: protocol.ClaimMayHaveRun}, true, Refuse, protocol.MayHaveRun, protocol.CodeClaimLost},
		{"key of another request", protocol.ClaimReply{State: protocol.ClaimConflict}, true, Refuse, protocol.NotRun, protocol.CodeKeyReused},
		{"too old", protocol.ClaimReply{State: protocol.ClaimExpired}, true, Refuse, protocol.MayHaveRun, protocol.CodeKeyExpired},
		{"from the future", protocol.ClaimReply{State: protocol.ClaimFuture}, true, Refuse, protocol.NotRun, protocol.CodeBadRequest},
		{"claims full", protocol.ClaimReply{State: protocol.ClaimFull}, true, Refuse, protocol.NotRun, protocol.CodeOverloaded},
		{"unknown state", protocol.ClaimReply{State: 99}, true, Refuse, protocol.MayHaveRun, protocol.CodeClaimLost},
	} {
		step := Next(tt.reply, func(protocol.Owner) bool { return tt.alive })
		if step.Action != tt.action {
			t.Errorf("%s: action %d, want %d", tt.name, step.Action, tt.action)
			continue
		}
		if r := step.Refusal; r != nil && (r.Verdict != tt.verdict || r.Code != tt.code) {
			t.Errorf("%s: refused with %v", tt.name, r)
		}
	}
}

// TestCheck checks that a request needs a key and the date of the key.
func TestCheck(t *testing.T) {
	dated := &protocol.Request{IssuedAt: time.Unix(1, 0)}
	if r := Check(dated, true); r != nil {
		t.Errorf("a dated key is refused: %v", r)
	}
	if r := Check(dated, false); r == nil || r.Code != protocol.CodeBadRequest {
		t.Errorf("no key: %v", r)
	}
	if r := Check(&protocol.Request{}, true); r == nil || r.Code != protocol.CodeKeyUndated {
		t.Errorf("no date: %v", r)
	}
}

// TestUnclaimed checks that the verdict before a claim is "not run" only for a
// request without a key, or one that no earlier send can have run.
func TestUnclaimed(t *testing.T) {
	for _, tt := range []struct {
		code  protocol.Code
		keyed bool
		want  protocol.Verdict
	}{
		{protocol.CodeOverloaded, false, protocol.NotRun},
		{protocol.CodeOverloaded, true, protocol.MayHaveRun},
		{protocol.CodeLeaving, true, protocol.MayHaveRun},
		{protocol.CodeNotReady, true, protocol.MayHaveRun},
		{protocol.CodeUnknownModel, true, protocol.MayHaveRun},
		{protocol.CodeUnauthorized, true, protocol.MayHaveRun},
		{protocol.CodeBadRequest, true, protocol.NotRun},
		{protocol.CodeTooLarge, true, protocol.NotRun},
	} {
		r := Unclaimed(protocol.NewRefusal(protocol.StatusServiceUnavailable, tt.code, "no"), tt.keyed)
		if r.Verdict != tt.want || r.Body().Error.ThisSend != protocol.NotRun.String() {
			t.Errorf("%s, with a key %v: %v, this send %q", tt.code, tt.keyed, r, r.Body().Error.ThisSend)
		}
	}
}
