package protocol

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation is what a gateway saw of requests at servers that tells whether servers end
// under them.
type Observation struct {
	_      struct{}      `cbor:",toarray"`
	Number uint64        // Number rises with each observation of a gateway's life.
	Ago    time.Duration // Ago is how long before the message it was made.
	Server string        // Server is the one that ended under Runs, unannounced; empty where Runs ended well.
	Start  int64         // Start is when that server had started, in ms since 1970 by its own clock; 0 where it did not tell.
	Runs   []ObservedRun
}

// ObservedRun is one request of an observation.
type ObservedRun struct {
	_ struct{} `cbor:",toarray"`
	Fingerprint
	Age  time.Duration // Age is how long before the observation the request had been sent.
	Well time.Duration // Well is how long before it the same request had last ended well at this gateway; 0 for never, as far as known.
}

// Quarantined is a request under which servers ended, as the log has it.
type Quarantined struct {
	Fingerprint
	Held    bool   `json:"held"`            // Held says that it is kept from servers.
	Servers int    `json:"servers"`         // Servers are those that were known to have ended under it.
	Trials  int    `json:"trials"`          // Trials is how often it was tried once more.
	Trial   string `json:"trial,omitempty"` // Trial is the gateway that may send it once more; empty before the first trial.
	Until   int64  `json:"until"`           // Until is when it is tried next, in ms since 1970.
	Change  uint64 `json:"change"`          // Change is the latest change of the quarantine that concerns it.
}

// QuarantineMsg changes the quarantine.
type QuarantineMsg struct {
	Hold []HoldRequest `json:"hold,omitempty"`
	Try  []TryRequest  `json:"try,omitempty"`
	Free []Fingerprint `json:"free,omitempty"` // Free are requests that were found to do no harm.
}

// HoldRequest has a request kept from servers. One that is held already stays as it is.
type HoldRequest struct {
	Fingerprint
	Servers int `json:"servers"` // Servers are those that ended under it.
}

// TryRequest lets a gateway send a request that is held once more.
type TryRequest struct {
	Fingerprint
	Gateway string `json:"gateway"`
	Trials  int    `json:"trials"` // Trials are those before, so that the same message changes nothing twice.
}

// QuarantineLog is the quarantine as the log has it. It is never changed in place.
type QuarantineLog struct {
	Changes uint64        // Changes counts the changes.
	Floor   uint64        // Floor is the latest change at which entries were forgotten.
	Entries []Quarantined // Entries are in the order of their changes.
}

// QuarantineUpdate is what somebody lacks of the quarantine.
type QuarantineUpdate struct {
	_       struct{} `cbor:",toarray"`
	Changes uint64   // Changes is up to where it tells.
	Whole   bool     // Whole says that nothing but this is held.
	Held    []HeldRequest
	Free    []Fingerprint
}

// HeldRequest is a request that is kept from servers.
type HeldRequest struct {
	_ struct{} `cbor:",toarray"`
	Fingerprint
	Servers int
	Trials  int
	Trial   string // Trial is the gateway that may send it once more, once for each number of Trials.
	Until   int64  // Until is when it is tried next, in ms since 1970.
}

// UpdateSince returns what somebody lacks who knows the changes up to one; nil for nothing.
func (l *QuarantineLog) UpdateSince(known uint64) *QuarantineUpdate {
	if known == l.Changes {
		return nil
	}
	n := &QuarantineUpdate{Changes: l.Changes, Whole: known < l.Floor || known > l.Changes || known == 0}
	if n.Whole {
		known = 0
	}
	first, _ := slices.BinarySearchFunc(l.Entries, known+1, func(q Quarantined, change uint64) int { return cmp.Compare(q.Change, change) })
	for i := range l.Entries[first:] {
		q := &l.Entries[first+i]
		if q.Held {
			n.Held = append(n.Held, HeldRequest{Fingerprint: q.Fingerprint, Servers: q.Servers, Trials: q.Trials, Trial: q.Trial, Until: q.Until})
		} else if !n.Whole {
			n.Free = append(n.Free, q.Fingerprint)
		}
	}
	return n
}

// Apply returns the quarantine with the news in it.
func (l *QuarantineLog) Apply(n *QuarantineUpdate) QuarantineLog {
	next := QuarantineLog{Changes: n.Changes, Floor: l.Floor}
	if n.Whole {
		next.Floor = n.Changes // What came before is known as a whole only.
	} else {
		told := n.told()
		next.Entries = slices.DeleteFunc(slices.Clone(l.Entries), func(q Quarantined) bool { return told[q.Fingerprint] })
	}
	for _, h := range n.Held {
		next.Entries = append(next.Entries, Quarantined{Fingerprint: h.Fingerprint, Held: true, Servers: h.Servers, Trials: h.Trials, Trial: h.Trial, Until: h.Until, Change: n.Changes})
	}
	for _, f := range n.Free {
		next.Entries = append(next.Entries, Quarantined{Fingerprint: f, Change: n.Changes})
	}
	return next
}

// told returns the requests that the news tell of.
func (n *QuarantineUpdate) told() map[Fingerprint]bool {
	set := make(map[Fingerprint]bool, len(n.Held)+len(n.Free))
	for i := range n.Held {
		set[n.Held[i].Fingerprint] = true
	}
	for _, f := range n.Free {
		set[f] = true
	}
	return set
}

// WatchUpdate are the requests whose good ends are to be told.
type WatchUpdate struct {
	_        struct{} `cbor:",toarray"`
	Requests []Fingerprint
}

// WatchHash names a list of requests: equal lists have the same mark, and an empty one 0.
func WatchHash(list []Fingerprint) uint64 {
	if len(list) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, f := range list {
		var b [16]byte
		binary.BigEndian.PutUint64(b[:], f.Content[0])
		binary.BigEndian.PutUint64(b[8:], f.Content[1])
		_, _ = d.Write(b[:]) // A hash takes everything.
	}
	return max(1, d.Sum64())
}

// NewWatchUpdate returns what somebody lacks who has the list of a mark; nil for nothing.
func NewWatchUpdate(list []Fingerprint, held uint64) *WatchUpdate {
	if WatchHash(list) == held {
		return nil
	}
	return &WatchUpdate{Requests: list}
}
