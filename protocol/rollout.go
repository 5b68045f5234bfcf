package protocol

import (
	"slices"
	"time"
)

// RolloutStage is how far a roll-out is. Trial and Moving run; the two others are
// final, and no roll-out leaves them.
type RolloutStage uint8

// The stages of a roll-out.
const (
	// RolloutTrial sends a bounded part of the service's requests to the new version,
	// by which that is judged.
	RolloutTrial RolloutStage = iota
	// RolloutMoving sends all new requests to the new version, while the answers that
	// run on the former ones come to their end.
	RolloutMoving
	// RolloutCompleted is final: the former versions may stop.
	RolloutCompleted
	// RolloutRolledBack is final: the new version gets nothing any more.
	RolloutRolledBack
)

var rolloutStageNames = [...]string{"trial", "moving", "completed", "rolled back"}

// String returns the stage's name.
func (s RolloutStage) String() string {
	if int(s) < len(rolloutStageNames) {
		return rolloutStageNames[s]
	}
	return "unknown"
}

// MarshalText renders the stage by its name.
func (s RolloutStage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a stage by its name.
func (s *RolloutStage) UnmarshalText(text []byte) error {
	for i, name := range rolloutStageNames {
		if name == string(text) {
			*s = RolloutStage(i)
		}
	}
	return nil
}

// Final reports whether the stage is final.
func (s RolloutStage) Final() bool { return s >= RolloutCompleted }

// Rollout is the newest roll-out of a service, as the log has it.
type Rollout struct {
	Number  uint64       `json:"number"` // Number names the roll-out; each one that is begun has a higher one.
	Service string       `json:"service"`
	Version string       `json:"version"`  // Version is the one that the service moves to.
	LimitMS int64        `json:"limit_ms"` // LimitMS is within what it is to be over.
	BeganAt int64        `json:"began_at"` // BeganAt is when the order was accepted, in ms since 1970.
	EndedAt int64        `json:"ended_at,omitempty"`
	Stage   RolloutStage `json:"stage"`
	Reason  string       `json:"reason,omitempty"` // Reason is why the stage was entered.
	Former  []string     `json:"former,omitempty"` // Former are the versions that it leaves, known once it moves.
	// Blocked are the versions that earlier roll-outs of the service left, or turned
	// back from.
	Blocked []string `json:"blocked,omitempty"`
}

// Blocks reports whether servers of a version get no requests. Those of the new
// version get only what the trial grants while that runs, which is not told here.
func (r *Rollout) Blocks(version string) bool {
	switch {
	case slices.Contains(r.Blocked, version):
		return true
	case r.Stage == RolloutRolledBack:
		return version == r.Version
	case r.Stage >= RolloutMoving:
		return slices.Contains(r.Former, version)
	}
	return false
}

// OnTrial reports whether servers of a version get only what the trial grants.
func (r *Rollout) OnTrial(version string) bool {
	return r.Stage == RolloutTrial && version == r.Version
}

// Limit is within what the roll-out is to be over.
func (r *Rollout) Limit() time.Duration { return time.Duration(r.LimitMS) * time.Millisecond }

// BeginRolloutMsg orders a roll-out.
type BeginRolloutMsg struct {
	Service string `json:"service"`
	Version string `json:"version"`
	LimitMS int64  `json:"limit_ms"`
	// RepeatMS is how long after an order the same one counts as sent again, also when
	// the roll-out is over by then.
	RepeatMS int64 `json:"repeat_ms"`
}

// BeginRolloutReply tells whether the order holds: it began a roll-out, or it is
// that of the one that runs or ran just now. Otherwise Rollout is what stands
// against it.
type BeginRolloutReply struct {
	Taken   bool    `json:"taken"`
	Rollout Rollout `json:"rollout"`
}

// StageRolloutMsg takes a running roll-out to a later stage. One with another
// number, or from a stage that is not earlier, changes nothing.
type StageRolloutMsg struct {
	Service string       `json:"service"`
	Number  uint64       `json:"number"`
	Stage   RolloutStage `json:"stage"`
	Reason  string       `json:"reason,omitempty"`
	Former  []string     `json:"former,omitempty"` // Former are the versions that it leaves; for RolloutMoving.
}

// StageRolloutReply returns the service's roll-out as it then stands.
type StageRolloutReply struct {
	Rollout Rollout `json:"rollout"`
}

// VersionsMsg names versions of a service whose servers get requests without a
// roll-out: those that it had when it was first seen, and those that no order
// followed.
type VersionsMsg struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

// RolloutLog is what the log has of roll-outs.
type RolloutLog struct {
	Changes uint64              // Changes rises with each change of the rest.
	Latest  []Rollout           // Latest are the newest of each service.
	Known   map[string][]string // Known are the versions of each service that get requests without one.
}

// Knows reports whether servers of a version may be told to gateways: it is known, or a
// roll-out names it. Of a service that was never seen all are.
func (l *RolloutLog) Knows(service, version string) bool {
	known := l.Known[service]
	if len(known) == 0 || slices.Contains(known, version) {
		return true
	}
	return slices.ContainsFunc(l.Latest, func(r Rollout) bool {
		return r.Service == service && (r.Version == version || r.Blocks(version))
	})
}

// TrialReport is what a gateway tells of a roll-out. All counts are since it
// heard of the roll-out first, so that a report which is lost or doubled does no
// harm.
type TrialReport struct {
	Number  uint64
	Held    RolloutStage // Held is the stage that the gateway keeps to.
	Arrived int64        // Arrived are the service's requests that were sent to a server.
	Tried   int64        // Tried are sends to the new version.
	Wants   int          // Wants are further sends to the new version that it could make.
	Rows    []EvidenceRow
}

// EvidenceRow counts the answers on one route of one side of a roll-out. Rows that
// did not change since the leader took them are left out of a report.
type EvidenceRow struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	New     bool   // New says that servers of the new version answered.
	Server  string // Server is the one of the new version that did; empty for the others, which count together.
	Answers AnswerCounts
}

// AnswerCounts counts answers by how they went and by how long they took.
type AnswerCounts struct {
	_     struct{} `cbor:",toarray"`
	Good  int64
	Bad   int64   // Bad are failures, and answers that broke off or came not at all.
	First []int64 // First counts them by the time to their first event, or to a whole answer; see rollout.Bucket.
	Pace  []int64 // Pace counts streams by the mean time between their events.
}

// TrialGrant is what a gateway may send to a version on trial.
type TrialGrant struct {
	Number  uint64
	Share   float64 // Share is the part of the requests that the trial takes at the time, 0 to 1.
	Credits int64   // Credits are the sends that the gateway was granted in the leader's term, in all.
}

// RolloutProgress is what the leader knows of a roll-out beside the log.
type RolloutProgress struct {
	Rollout    Rollout `json:"rollout"`
	LeftMS     int64   `json:"left_ms"` // LeftMS is until its limit; below 0 behind that.
	Share      float64 `json:"share"`   // Share is the part of the requests that the trial takes.
	New        int64   `json:"new"`     // New counts the answers of the new version, and NewFailed those that failed.
	NewFailed  int64   `json:"new_failed"`
	Old        int64   `json:"old"`
	OldFailed  int64   `json:"old_failed"`
	Failures   float64 `json:"failures"`    // Failures is the evidence for more failures, in natural logarithms of the odds.
	Slowness   float64 `json:"slowness"`    // Slowness is the evidence for slower answers, in standard deviations.
	Slots      int     `json:"slots"`       // Slots are those of the new version's servers.
	OldRunning int     `json:"old_running"` // OldRunning are the answers that run on the former servers.
}
