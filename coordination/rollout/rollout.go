// Package rollout decides how a service moves to servers of another version, and back if
// that version is bad.
//
// Servers of both versions run side by side. A roll-out advances through stages and never
// returns to an earlier one (protocol.RolloutStage):
//
//	trial ──► moving ──► completed
//	  │          │
//	  └──────────┴─────► rolled back
//
// During the trial, a bounded share of the service's requests goes to the new version.
// [Pool] enforces the bound over all gateways, [Credits] on one gateway. The requests go to
// a few of the new servers, so that each carries the load it will carry after the move.
// [Analyzer] compares their answers, route by route, with those of the other servers in the
// same seconds. [Next] decides on the next stage.
//
// The package uses no clock, socket or random source. Times arrive with the messages.
package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// earlyShare is the trial's share of the requests at first, about half of the 0.1 that
	// operators allow. lateShare, about five times as much, applies towards the end and
	// uses credits that were left over: it reveals a version that is bad only under load.
	earlyShare = 0.045
	lateShare  = 0.25
	// lateShareAfter is the fraction of the trial after which lateShare applies.
	lateShareAfter = 0.6
	// moveFraction of the limit, up to maxMoveTime, is reserved for answers still running
	// on the former servers: most streams take 1 to 3 s.
	moveFraction = 0.35
	maxMoveTime  = 4 * time.Second
	// evidenceDeadline is the fraction of the limit up to which a trial waits for missing
	// evidence.
	evidenceDeadline = 0.9
	// minAnswers of the new version suffice to end the trial. With fewer, the trial waits
	// until evidenceDeadline. The roll-out then moves on only if the bound would hold even
	// if the version were bad and received every request until its rollback. Otherwise the
	// trial waits for more answers, and rolls back if they do not come. Moved to after 26
	// answers, a version that turned bad after the twelfth answer of each server received
	// 211 requests where 169 were allowed.
	minAnswers = 30
	// completeAfter is the fraction of the limit before which no move is completed: a
	// rollback remains possible as long as the former servers run.
	completeAfter = 0.9
	// minIdle is how long no answer may have run on the former servers, according to the
	// gateways, which report every 0.15 s or less often.
	minIdle = 400 * time.Millisecond
	// maxOccupancy is the largest fraction of the new version's slots that the running
	// requests may fill. The roll-out waits for more capacity otherwise.
	maxOccupancy = 0.8
	// maxOverrun is how long past the limit a trial without adverse findings may still
	// succeed: the election of a new leader can delay it that long.
	maxOverrun = 5 * time.Second
)

// TickMsg is the state of a roll-out at one moment.
type TickMsg struct {
	Elapsed          time.Duration // Elapsed is the time since the order was accepted.
	LeadingFor       time.Duration // LeadingFor is how long this leader has been collecting reports.
	Assessment       Assessment
	Slots            int           // Slots counts the slots of the new version's servers that accept requests.
	Running          float64       // Running is the number of concurrent requests of the service.
	InSync           bool          // InSync means that all gateways apply the roll-out's current stage.
	OldRunning       int           // OldRunning is the number of requests running on servers of other versions.
	IdleFor          time.Duration // IdleFor is how long OldRunning has been zero.
	MaxAnswerTime    time.Duration // MaxAnswerTime is the longest time that an answer of the service may take.
	MovingFor        time.Duration // MovingFor is the time since the roll-out entered the stage moving.
	ExpectedRequests float64       // ExpectedRequests is how many requests the service will receive until a bad version would be rolled back.
	Headroom         float64       // Headroom is how many of them the version may receive if it is bad.
	OtherVersions    []string      // OtherVersions are the listed versions except the new one.
}

// Next returns the stage change that is due now, if any.
func Next(r *protocol.Rollout, m TickMsg) (protocol.StageRolloutMsg, bool) {
	step := protocol.StageRolloutMsg{Service: r.Service, Number: r.Number, Stage: r.Stage}
	switch {
	case r.Stage.Final():
		return step, false
	case m.Assessment.RollBack:
		step.Stage, step.Reason = protocol.RolloutRolledBack, m.Assessment.Reason
		return step, true
	case r.Stage == protocol.RolloutMoving:
		return completeMove(step, r, m)
	}
	return endTrial(step, r, m)
}

// endTrial decides whether the trial ends, and how.
func endTrial(step protocol.StageRolloutMsg, r *protocol.Rollout, m TickMsg) (protocol.StageRolloutMsg, bool) {
	v := m.Assessment
	enough := v.New >= minAnswers && !v.Inconclusive
	withinBudget := v.New > 0 && m.ExpectedRequests <= m.Headroom
	late := m.Elapsed >= time.Duration(evidenceDeadline*float64(r.Limit()))
	hasCapacity := m.Slots > 0 && m.Running <= maxOccupancy*float64(m.Slots)
	switch {
	case m.LeadingFor < minLeadingTime:
		return step, false
	case m.Slots > 0 && len(m.OtherVersions) == 0 && v.Old == 0:
		// No other version serves. On trial, the new one would receive next to no requests
		// and the service would be unavailable.
		step.Stage, step.Reason = protocol.RolloutCompleted, "no other version serves"
		return step, true
	case m.Elapsed < r.Limit()-moveTime(r.Limit()):
		return step, false
	case v.Degraded || (late && v.Inconclusive):
		step.Stage, step.Reason = protocol.RolloutRolledBack, v.Reason
		return step, true
	case hasCapacity && (enough || (late && withinBudget)):
		step.Stage, step.Former = protocol.RolloutMoving, m.OtherVersions
		step.Reason = fmt.Sprintf("%d answers of the new version are as good as %d others", v.New, v.Old)
		return step, true
	case m.Elapsed < r.Limit()+maxOverrun:
		return step, false
	}
	step.Stage, step.Reason = protocol.RolloutRolledBack, inconclusiveReason(m)
	return step, true
}

// minLeadingTime is how long a new leader collects reports, several of each gateway, before
// it decides.
const minLeadingTime = time.Second

func inconclusiveReason(m TickMsg) string {
	if m.Slots == 0 {
		return "no server of the new version takes requests"
	}
	if m.Assessment.New == 0 {
		return "no answer of the new version tells anything"
	}
	if m.Running <= maxOccupancy*float64(m.Slots) {
		return fmt.Sprintf("%d answers of the new version tell too little", m.Assessment.New)
	}
	return fmt.Sprintf("%d slots of the new version are too few for %.0f requests", m.Slots, m.Running)
}

// moveTime returns how much of a limit is reserved for the move.
func moveTime(limit time.Duration) time.Duration {
	return min(maxMoveTime, time.Duration(moveFraction*float64(limit)))
}

// completeMove ends the move once nothing runs on the former servers, which stop as soon as
// the roll-out is reported as completed. Running answers get their full time, even past the
// limit: stopping a server would break off an answer that a caller is waiting for.
func completeMove(step protocol.StageRolloutMsg, r *protocol.Rollout, m TickMsg) (protocol.StageRolloutMsg, bool) {
	step.Stage = protocol.RolloutCompleted
	if m.Elapsed < time.Duration(completeAfter*float64(r.Limit())) {
		return step, false
	}
	if m.InSync && m.IdleFor >= minIdle {
		step.Reason = "nothing runs on the former servers"
		return step, true
	}
	if m.MovingFor > m.MaxAnswerTime {
		step.Reason = "what still runs on the former servers is past its time"
		return step, true
	}
	return step, false
}

// TrialProgress returns the elapsed fraction of a roll-out's trial, 0 to 1.
func TrialProgress(r *protocol.Rollout, elapsed time.Duration) float64 {
	return max(0, min(1, float64(elapsed)/float64(max(1, r.Limit()-moveTime(r.Limit())))))
}

// TrialShare returns the fraction of the requests that the trial takes.
func TrialShare(r *protocol.Rollout, elapsed time.Duration) float64 {
	switch {
	case r.Stage != protocol.RolloutTrial:
		return 0
	case TrialProgress(r, elapsed) < lateShareAfter:
		return earlyShare
	}
	return lateShare
}

// CanaryCount returns how many of the new version's servers receive the trial's requests:
// as many as get the same load from that share as all of them will get from all requests.
// There are at least two, so that one broken server is not taken for a bad version.
func CanaryCount(servers int, share float64) int {
	const surplus = 1.1 // Requests do not arrive evenly.
	return min(servers, max(2, int(math.Ceil(surplus*share*float64(servers)))))
}
