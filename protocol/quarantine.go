package protocol

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation records what a gateway observed that indicates whether requests cause
// servers to terminate.
type Observation struct {
	_      struct{}      `cbor:",toarray"`
	Number uint64        // increases with each observation in a life of the gateway
	Ago    time.Duration // age of the observation when the message was sent
	// Server is the server that terminated without notice while Runs were in progress;
	// empty if Runs completed successfully.
	Server string
	// Start is when that server had started, in ms since 1970 by its own clock; 0 if it
	// did not report that.
	Start int64
	Runs  []ObservedRun
}

// ObservedRun is one request of an observation.
type ObservedRun struct {
	_ struct{} `cbor:",toarray"`
	Fingerprint
	// Age is the time between sending the request and the observation. For a part, it is
	// the time since the head of the answer arrived, and 0 if it did not.
	Age time.Duration
	// Well is how long before the observation the same request last completed
	// successfully at this gateway; 0 if that is not known to have happened.
	Well time.Duration
}

// Quarantined is the log's record of a request during which servers terminated.
type Quarantined struct {
	Fingerprint
	Held    bool   `json:"held"`            // currently withheld from servers
	Servers int    `json:"servers"`         // servers known to have terminated during the request
	Trials  int    `json:"trials"`          // number of trials so far
	Trial   string `json:"trial,omitempty"` // gateway that may send a trial; empty before the first trial
	Until   int64  `json:"until"`           // time of the next trial, in ms since 1970
	Since   int64  `json:"since,omitempty"` // time of the hold or of the release, in ms since 1970; 0 if unknown
	Change  uint64 `json:"change"`          // number of the latest quarantine change to this entry
}

// QuarantineMsg changes the quarantine.
type QuarantineMsg struct {
	Hold []HoldRequest `json:"hold,omitempty"`
	Try  []TryRequest  `json:"try,omitempty"`
	Free []Fingerprint `json:"free,omitempty"` // requests found to be harmless
}

// HoldRequest puts a request under quarantine. It has no effect on a request that is
// held already.
type HoldRequest struct {
	Fingerprint
	Servers int   `json:"servers"`         // servers that terminated during the request
	Until   int64 `json:"until,omitempty"` // time of the first trial, in ms since 1970; 0 for the usual one
}

// TryRequest allows a gateway to send a held request once, as a trial.
type TryRequest struct {
	Fingerprint
	Gateway string `json:"gateway"`
	Trials  int    `json:"trials"`          // number of trials before, so that a duplicate message has no effect
	Until   int64  `json:"until,omitempty"` // time of the next trial, in ms since 1970; 0 for the usual one
}

// TrialAsk tells the leader that a gateway has just refused requests whose prompts consist
// of the given parts and one of their own, so that it could try the held ones.
type TrialAsk struct {
	Parts    []Fingerprint // held parts
	Others   []Fingerprint // parts that are not held
	Unproven int           // how many of both no server is known to have written an answer on
}

// QuarantineLog is the state of the quarantine in the log. It is never modified in
// place.
type QuarantineLog struct {
	Changes uint64        // number of the latest change
	Floor   uint64        // latest change at which entries were evicted
	Entries []Quarantined // ordered by Change
}

// QuarantineUpdate brings a copy of the quarantine up to date.
type QuarantineUpdate struct {
	_       struct{} `cbor:",toarray"`
	Changes uint64   // number of the latest change that the update includes
	Whole   bool     // the update replaces the copy: no other request is held
	Held    []HeldRequest
	Free    []Fingerprint
}

// HeldRequest is a request that is withheld from servers.
type HeldRequest struct {
	_ struct{} `cbor:",toarray"`
	Fingerprint
	Servers int
	Trials  int
	Trial   string // gateway that may send one trial for each value of Trials
	Until   int64  // time of the next trial, in ms since 1970
}

// UpdateSince returns the update for a copy that includes the changes up to known, or
// nil if the copy is current.
func (l *QuarantineLog) UpdateSince(known uint64) *QuarantineUpdate {
	if known == l.Changes {
		return nil
	}
	u := &QuarantineUpdate{Changes: l.Changes, Whole: known < l.Floor || known > l.Changes || known == 0}
	if u.Whole {
		known = 0
	}
	first, _ := slices.BinarySearchFunc(l.Entries, known+1, func(q Quarantined, change uint64) int { return cmp.Compare(q.Change, change) })
	for i := range l.Entries[first:] {
		q := &l.Entries[first+i]
		if q.Held {
			u.Held = append(u.Held, HeldRequest{Fingerprint: q.Fingerprint, Servers: q.Servers, Trials: q.Trials, Trial: q.Trial, Until: q.Until})
		} else if !u.Whole {
			u.Free = append(u.Free, q.Fingerprint)
		}
	}
	return u
}

// Apply returns the quarantine with the update applied.
func (l *QuarantineLog) Apply(u *QuarantineUpdate) QuarantineLog {
	next := QuarantineLog{Changes: u.Changes, Floor: l.Floor}
	if u.Whole {
		next.Floor = u.Changes // individual earlier changes are not known
	} else {
		updated := u.fingerprints()
		next.Entries = slices.DeleteFunc(slices.Clone(l.Entries), func(q Quarantined) bool { return updated[q.Fingerprint] })
	}
	for _, h := range u.Held {
		next.Entries = append(next.Entries, Quarantined{Fingerprint: h.Fingerprint, Held: true, Servers: h.Servers, Trials: h.Trials, Trial: h.Trial, Until: h.Until, Change: u.Changes})
	}
	for _, f := range u.Free {
		next.Entries = append(next.Entries, Quarantined{Fingerprint: f, Change: u.Changes})
	}
	return next
}

// fingerprints returns the set of requests that the update concerns.
func (u *QuarantineUpdate) fingerprints() map[Fingerprint]bool {
	set := make(map[Fingerprint]bool, len(u.Held)+len(u.Free))
	for i := range u.Held {
		set[u.Held[i].Fingerprint] = true
	}
	for _, f := range u.Free {
		set[f] = true
	}
	return set
}

// WatchUpdate lists the requests whose successful completions gateways report.
type WatchUpdate struct {
	_        struct{} `cbor:",toarray"`
	Requests []Fingerprint
}

// WatchHash returns a hash that identifies a list of requests; 0 for an empty list.
func WatchHash(list []Fingerprint) uint64 {
	if len(list) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, f := range list {
		var b [16]byte
		binary.BigEndian.PutUint64(b[:], f.Content[0])
		binary.BigEndian.PutUint64(b[8:], f.Content[1])
		_, _ = d.Write(b[:]) // never fails
	}
	return max(1, d.Sum64())
}

// NewWatchUpdate returns the update for a copy with the hash held, or nil if the copy
// is current.
func NewWatchUpdate(list []Fingerprint, held uint64) *WatchUpdate {
	if WatchHash(list) == held {
		return nil
	}
	return &WatchUpdate{Requests: list}
}
