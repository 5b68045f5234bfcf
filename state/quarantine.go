package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// mostQuarantined bounds the requests in the quarantine, at some 150 bytes each, and
	// leastKept is how many are left where that is exceeded: those that are held no more
	// go first, then the oldest.
	mostQuarantined = 4096
	leastKept       = 3072
	// trialPause is in ms between the time at which a request is held and its first trial,
	// and between that and the second: one that was held wrongly and is often sent is refused
	// for no longer. laterTrial is the pause before the next trial, in ms, which doubles
	// mostDoublings times; each may cost a server.
	trialPause    = 30_000
	laterTrial    = 3_600_000
	mostDoublings = 4
)

// quarantine are the requests that are kept from servers, and those that were. An entry
// is never changed in place, so that copies may be handed out.
type quarantine struct {
	changes uint64
	floor   uint64 // floor is the latest change at which entries were forgotten.
	entries map[protocol.Fingerprint]protocol.Quarantined
}

// newQuarantine returns that of a snapshot.
func newQuarantine(i *Image) quarantine {
	q := quarantine{changes: i.QuarantineChanges, floor: i.QuarantineFloor, entries: map[protocol.Fingerprint]protocol.Quarantined{}}
	for _, e := range i.Quarantine {
		q.entries[e.Fingerprint] = e
	}
	return q
}

// change holds requests, has others tried and frees others. What is so already is no
// change.
func (q *quarantine) change(m *protocol.QuarantineMsg, now int64) {
	if q.entries == nil {
		q.entries = map[protocol.Fingerprint]protocol.Quarantined{}
	}
	for i := range m.Hold {
		q.hold(&m.Hold[i], now)
	}
	for i := range m.Try {
		q.try(&m.Try[i], now)
	}
	for _, f := range m.Free {
		q.free(f)
	}
	q.bound()
}

func (q *quarantine) hold(m *protocol.HoldRequest, now int64) {
	if !q.entries[m.Fingerprint].Held {
		q.put(protocol.Quarantined{Fingerprint: m.Fingerprint, Held: true, Servers: m.Servers, Until: now + trialPause})
	}
}

func (q *quarantine) try(m *protocol.TryRequest, now int64) {
	e := q.entries[m.Fingerprint]
	if !e.Held || e.Trials != m.Trials {
		return
	}
	e.Until = now + trialPause
	if e.Trials > 0 {
		e.Until = now + laterTrial<<min(e.Trials-1, mostDoublings)
	}
	e.Trials++
	e.Trial = m.Gateway
	q.put(e)
}

func (q *quarantine) free(f protocol.Fingerprint) {
	if q.entries[f].Held {
		q.put(protocol.Quarantined{Fingerprint: f})
	}
}

func (q *quarantine) put(e protocol.Quarantined) {
	q.changes++
	e.Change = q.changes
	q.entries[e.Fingerprint] = e
}

// bound forgets entries where there are too many.
func (q *quarantine) bound() {
	if len(q.entries) <= mostQuarantined {
		return
	}
	list := q.list()
	slices.SortStableFunc(list, func(a, b protocol.Quarantined) int {
		switch {
		case a.Held == b.Held:
			return 0
		case b.Held:
			return -1
		}
		return 1
	})
	for _, e := range list[:len(list)-leastKept] {
		delete(q.entries, e.Fingerprint)
	}
	q.changes++
	q.floor = q.changes
}

// list returns the entries in the order of their changes.
func (q *quarantine) list() []protocol.Quarantined {
	list := slices.Collect(maps.Values(q.entries))
	slices.SortFunc(list, func(a, b protocol.Quarantined) int { return cmp.Compare(a.Change, b.Change) })
	return list
}

// log returns the whole quarantine.
func (q *quarantine) log() protocol.QuarantineLog {
	return protocol.QuarantineLog{Changes: q.changes, Floor: q.floor, Entries: q.list()}
}
