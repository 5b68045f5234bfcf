// Package rollout decides how a service moves to servers of another version, and
// back when that version is bad.
//
// Servers of both versions stand side by side. A roll-out passes through stages,
// which only rise (protocol.RolloutStage):
//
//	trial ──► moving ──► completed
//	  │          │
//	  └──────────┴─────► rolled back
//
// In the trial a bounded part of the service's requests goes to the new version
// ([Pool] bounds it for all gateways, [Credits] for one of them), to few of its
// servers, so that each has as much to do as it will have afterwards. [Analyzer]
// compares the answers with those of the other servers in the same seconds, route
// by route. [Next] takes the roll-out to its next stage.
//
// Nothing here has a clock, a socket or a random source: times come with the
// messages.
package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// earlyShare of the requests are tried at first, and lateShare towards the end of
	// the trial, out of what was left over before: a version that is bad only under
	// load shows it then. Half of the 0.1 that operators allow, and five times it.
	earlyShare = 0.045
	lateShare  = 0.25
	// lateAfter is the part of the trial behind which lateShare begins.
	lateAfter = 0.6
	// movePart of the limit, and moveMost at the most, is kept for the answers that run
	// on the former servers: most streams take 1 to 3 s.
	movePart = 0.35
	moveMost = 4 * time.Second
	// waitPart of the limit is waited for evidence that is not there in time.
	waitPart = 0.9
	// leastAnswers of the new version are enough to complete by. With fewer it is waited
	// until waitPart. Then a version is moved to that may get all that the service is asked
	// until it would be turned back from, were it bad; for any other more answers are
	// waited for, and it is turned back from without them.
	// Moved to on 26 answers, a version that turned bad behind the twelfth of each server
	// got 211 requests where 169 were allowed.
	leastAnswers = 30
	// lastPart of the limit is when a roll-out that moves is completed, and no earlier: as
	// long as the former servers stand, there is a way back.
	lastPart = 0.9
	// quietFor is how long no answer may have run on the former servers, as far as the
	// gateways tell, which report each 0.15 s or less often.
	quietFor = 400 * time.Millisecond
	// fullPart of the slots of the new version carry what runs at most; with less room
	// the roll-out waits.
	fullPart = 0.8
	// lateMost behind the limit a trial that found nothing bad is still completed: a
	// new leader may have needed that long.
	lateMost = 5 * time.Second
)

// TickMsg is what is known at a moment.
type TickMsg struct {
	Elapsed          time.Duration // Elapsed is since the order was accepted.
	LeadingFor       time.Duration // Led is for how long this leader has gathered reports.
	Assessment       Assessment
	Slots            int           // Slots are those of the new version's servers that take requests.
	Running          float64       // Running are the requests that the service has at once.
	InSync           bool          // Settled says that all gateways keep to the stage.
	OldRunning       int           // OldRunning are the requests that run on servers of other versions.
	IdleFor          time.Duration // Quiet is for how long there were none.
	MaxAnswerTime    time.Duration // Longest is how long an answer of the service may take.
	MovingFor        time.Duration // Moved is since the roll-out began to move.
	ExpectedRequests float64       // Coming are the requests that the service will get until a bad version would be turned back from.
	Headroom         float64       // Spare are those that the version may get of them if it is bad.
	OtherVersions    []string      // Others are the versions that are listed besides the new one.
}

// Next returns the step that a roll-out is to take now, if any.
func Next(r *protocol.Rollout, m TickMsg) (protocol.StageRolloutMsg, bool) {
	step := protocol.StageRolloutMsg{Service: r.Service, Number: r.Number, Stage: r.Stage}
	switch {
	case r.Stage.Final():
		return step, false
	case m.Assessment.Bad:
		step.Stage, step.Reason = protocol.RolloutRolledBack, m.Assessment.Reason
		return step, true
	case r.Stage == protocol.RolloutMoving:
		return completion(step, r, m)
	}
	return move(step, r, m)
}

// move ends the trial, if it is time.
func move(step protocol.StageRolloutMsg, r *protocol.Rollout, m TickMsg) (protocol.StageRolloutMsg, bool) {
	v := m.Assessment
	enough := v.New >= leastAnswers && !v.Doubtful
	harmless := v.New > 0 && m.ExpectedRequests <= m.Headroom
	late := m.Elapsed >= time.Duration(waitPart*float64(r.Limit()))
	room := m.Slots > 0 && m.Running <= fullPart*float64(m.Slots)
	switch {
	case m.LeadingFor < leastLed:
		return step, false
	case m.Slots > 0 && len(m.OtherVersions) == 0 && v.Old == 0:
		// Nobody serves but the version that was ordered: on trial it would get next to
		// no requests, and the service would be away.
		step.Stage, step.Reason = protocol.RolloutCompleted, "no other version serves"
		return step, true
	case m.Elapsed < r.Limit()-moveTime(r.Limit()):
		return step, false
	case v.Worse || (late && v.Doubtful):
		step.Stage, step.Reason = protocol.RolloutRolledBack, v.Reason
		return step, true
	case room && (enough || (late && harmless)):
		step.Stage, step.Former = protocol.RolloutMoving, m.OtherVersions
		step.Reason = fmt.Sprintf("%d answers of the new version are as good as %d others", v.New, v.Old)
		return step, true
	case m.Elapsed < r.Limit()+lateMost:
		return step, false
	}
	step.Stage, step.Reason = protocol.RolloutRolledBack, tooLittle(m)
	return step, true
}

// leastLed is how long a new leader gathers reports before it decides: several
// reports of each gateway.
const leastLed = time.Second

func tooLittle(m TickMsg) string {
	if m.Slots == 0 {
		return "no server of the new version takes requests"
	}
	if m.Assessment.New == 0 {
		return "no answer of the new version tells anything"
	}
	if m.Running <= fullPart*float64(m.Slots) {
		return fmt.Sprintf("%d answers of the new version tell too little", m.Assessment.New)
	}
	return fmt.Sprintf("%d slots of the new version are too few for %.0f requests", m.Slots, m.Running)
}

// moveTime is how much of a limit is kept for moving.
func moveTime(limit time.Duration) time.Duration {
	return min(moveMost, time.Duration(movePart*float64(limit)))
}

// completion ends the move once nothing runs on the former servers any more, which
// stop as soon as the roll-out is reported as completed. An answer that runs is waited for as long as it may
// take, also past the limit: to cut it would lose a caller's answer.
func completion(step protocol.StageRolloutMsg, r *protocol.Rollout, m TickMsg) (protocol.StageRolloutMsg, bool) {
	step.Stage = protocol.RolloutCompleted
	if m.Elapsed < time.Duration(lastPart*float64(r.Limit())) {
		return step, false
	}
	if m.InSync && m.IdleFor >= quietFor {
		step.Reason = "nothing runs on the former servers"
		return step, true
	}
	if m.MovingFor > m.MaxAnswerTime {
		step.Reason = "what still runs on the former servers is past its time"
		return step, true
	}
	return step, false
}

// TrialProgress is how much of a roll-out's trial is over, 0 to 1.
func TrialProgress(r *protocol.Rollout, elapsed time.Duration) float64 {
	return max(0, min(1, float64(elapsed)/float64(max(1, r.Limit()-moveTime(r.Limit())))))
}

// TrialShare is the part of the requests that a trial takes at a moment.
func TrialShare(r *protocol.Rollout, elapsed time.Duration) float64 {
	switch {
	case r.Stage != protocol.RolloutTrial:
		return 0
	case TrialProgress(r, elapsed) < lateAfter:
		return earlyShare
	}
	return lateShare
}

// CanaryCount is to how many of the new version's servers a trial's requests go: as many
// as have, with that part of the requests, as much to do as they all will have with
// all of them. Two at the least, so that one broken server is not taken for a bad
// version.
func CanaryCount(servers int, share float64) int {
	const spare = 1.1 // Requests do not arrive evenly.
	return min(servers, max(2, int(math.Ceil(spare*share*float64(servers)))))
}
