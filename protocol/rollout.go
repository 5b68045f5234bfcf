package protocol

import (
	"slices"
	"time"
)

// RolloutStage is the stage of a roll-out. In the stages trial and moving, the roll-out
// is in progress. The other two are final: a roll-out never leaves them.
type RolloutStage uint8

// The stages of a roll-out.
const (
	// RolloutTrial sends a bounded share of the service's requests to the new version
	// to evaluate it.
	RolloutTrial RolloutStage = iota
	// RolloutMoving sends all new requests to the new version, while requests in
	// progress on the former versions complete.
	RolloutMoving
	// RolloutCompleted is final: the former versions may be stopped.
	RolloutCompleted
	// RolloutRolledBack is final: the new version receives no more requests.
	RolloutRolledBack
)

var rolloutStageNames = [...]string{"trial", "moving", "completed", "rolled back"}

// String returns the name of the stage.
func (s RolloutStage) String() string {
	if int(s) < len(rolloutStageNames) {
		return rolloutStageNames[s]
	}
	return "unknown"
}

// MarshalText encodes the stage as its name.
func (s RolloutStage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a stage from its name. An unknown name leaves s unchanged.
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

// Rollout is the most recent roll-out of a service, as recorded in the log.
type Rollout struct {
	Number  uint64       `json:"number"` // identifies the roll-out; increases with each one
	Service string       `json:"service"`
	Version string       `json:"version"`  // version that the service moves to
	LimitMS int64        `json:"limit_ms"` // time limit for the roll-out
	BeganAt int64        `json:"began_at"` // when the order was accepted, in ms since 1970
	EndedAt int64        `json:"ended_at,omitempty"`
	Stage   RolloutStage `json:"stage"`
	Reason  string       `json:"reason,omitempty"` // why the current stage was entered
	Former  []string     `json:"former,omitempty"` // versions that are replaced; known from RolloutMoving on
	// Blocked are the versions that earlier roll-outs of the service replaced or rolled
	// back.
	Blocked []string `json:"blocked,omitempty"`
}

// Blocks reports whether servers of a version must receive no requests. It does not
// cover the new version during the trial, which receives only what the trial grants;
// see [Rollout.OnTrial].
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

// OnTrial reports whether servers of a version receive only the requests that the trial
// grants.
func (r *Rollout) OnTrial(version string) bool {
	return r.Stage == RolloutTrial && version == r.Version
}

// Limit returns the time limit for the roll-out.
func (r *Rollout) Limit() time.Duration { return time.Duration(r.LimitMS) * time.Millisecond }

// BeginRolloutMsg orders a roll-out.
type BeginRolloutMsg struct {
	Service string `json:"service"`
	Version string `json:"version"`
	LimitMS int64  `json:"limit_ms"`
	// RepeatMS is how long after an order an identical one counts as a resend, even if
	// the roll-out has ended in the meantime.
	RepeatMS int64 `json:"repeat_ms"`
}

// BeginRolloutReply reports whether the order was accepted: it began a roll-out, or it
// repeats the order of the current or a recent one. If it was not accepted, Rollout is
// the conflicting one.
type BeginRolloutReply struct {
	Taken   bool    `json:"taken"`
	Rollout Rollout `json:"rollout"`
}

// StageRolloutMsg advances a running roll-out to a later stage. It has no effect if the
// number differs or if the stage is not later than the current one.
type StageRolloutMsg struct {
	Service string       `json:"service"`
	Number  uint64       `json:"number"`
	Stage   RolloutStage `json:"stage"`
	Reason  string       `json:"reason,omitempty"`
	Former  []string     `json:"former,omitempty"` // versions that are replaced; for RolloutMoving
}

// StageRolloutReply returns the resulting roll-out of the service.
type StageRolloutReply struct {
	Rollout Rollout `json:"rollout"`
}

// VersionsMsg lists versions of a service whose servers receive requests without a
// roll-out: the versions present when the service was first seen, and versions that
// appeared without a roll-out order.
type VersionsMsg struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

// RolloutLog is the state of all roll-outs in the log.
type RolloutLog struct {
	Changes uint64              // increases with each change to the other fields
	Latest  []Rollout           // most recent roll-out of each service
	Known   map[string][]string // versions that receive requests without a roll-out, by service
}

// Knows reports whether servers of a version may be announced to gateways: the version
// is known, or a roll-out names it. All versions of a service that was never seen
// qualify.
func (l *RolloutLog) Knows(service, version string) bool {
	known := l.Known[service]
	if len(known) == 0 || slices.Contains(known, version) {
		return true
	}
	return slices.ContainsFunc(l.Latest, func(r Rollout) bool {
		return r.Service == service && (r.Version == version || r.Blocks(version))
	})
}

// TrialReport is a gateway's report on a roll-out. All counts are cumulative since the
// gateway first learned of the roll-out, so lost or duplicated reports do no harm.
type TrialReport struct {
	Number  uint64
	Held    RolloutStage // stage that the gateway has applied
	Arrived int64        // the service's requests that were sent to a server
	Tried   int64        // sends to the new version
	Wants   int          // further sends to the new version that the gateway could make
	Rows    []EvidenceRow
}

// EvidenceRow counts the answers on one route from one side of a roll-out. A report
// omits rows that did not change since the leader received them.
type EvidenceRow struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	New     bool   // the answers came from servers of the new version
	Server  string // server of the new version; empty for the old side, which is aggregated
	Answers AnswerCounts
}

// AnswerCounts counts answers by outcome and by latency.
type AnswerCounts struct {
	_    struct{} `cbor:",toarray"`
	Good int64
	Bad  int64 // failed, interrupted and missing answers
	// First counts answers by the time to the first event, or to the complete answer;
	// see rollout.Bucket.
	First []int64
	Pace  []int64 // streams by the mean time between events
}

// TrialGrant is what a gateway may send to a version on trial.
type TrialGrant struct {
	Number  uint64
	Share   float64 // current share of requests for the trial, 0 to 1
	Credits int64   // sends granted to the gateway in the leader's term, cumulative
}

// RolloutProgress is the leader's view of a roll-out, beyond what the log records.
type RolloutProgress struct {
	Rollout    Rollout `json:"rollout"`
	LeftMS     int64   `json:"left_ms"`    // time until the limit; negative once it has passed
	Share      float64 `json:"share"`      // share of requests for the trial
	New        int64   `json:"new"`        // answers of the new version
	NewFailed  int64   `json:"new_failed"` // failed answers of the new version
	Old        int64   `json:"old"`
	OldFailed  int64   `json:"old_failed"`
	Failures   float64 `json:"failures"`    // evidence for a higher failure rate, as natural log-odds
	Slowness   float64 `json:"slowness"`    // evidence for slower answers, in standard deviations
	Slots      int     `json:"slots"`       // slots of the new version's servers
	OldRunning int     `json:"old_running"` // requests in progress on the former versions' servers
}
