package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// maxQuarantined bounds the entries of the quarantine, of about 150 bytes each.
	// When it is exceeded, entries are evicted until evictTarget remain: first released
	// ones, then the oldest.
	maxQuarantined = 4096
	evictTarget    = 3072
	// firstTrialDelayMS is the delay from holding a request to its first trial, and
	// from the first trial to the second. It limits how long a frequent request that
	// was held by mistake is refused. laterTrialDelayMS is the delay before the next
	// trial. It doubles up to maxTrialDoublings times, as each trial may terminate a
	// server.
	firstTrialDelayMS = 30_000
	laterTrialDelayMS = 3_600_000
	maxTrialDoublings = 4
)

// quarantine holds the requests that are withheld from servers, and those that were. An
// entry is never modified in place, so copies may be shared.
type quarantine struct {
	changes uint64
	floor   uint64 // latest change at which entries were evicted
	entries map[protocol.Fingerprint]protocol.Quarantined
}

// newQuarantine returns the quarantine of a snapshot.
func newQuarantine(i *Image) quarantine {
	q := quarantine{changes: i.QuarantineChanges, floor: i.QuarantineFloor, entries: map[protocol.Fingerprint]protocol.Quarantined{}}
	for _, e := range i.Quarantine {
		q.entries[e.Fingerprint] = e
	}
	return q
}

// apply holds, tries and releases requests. Operations that have no effect do not count
// as changes.
func (q *quarantine) apply(m *protocol.QuarantineMsg, now int64) {
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
		q.release(f, now)
	}
	q.evict()
}

func (q *quarantine) hold(m *protocol.HoldRequest, now int64) {
	if !q.entries[m.Fingerprint].Held {
		q.put(protocol.Quarantined{Fingerprint: m.Fingerprint, Held: true, Servers: m.Servers, Until: cmp.Or(m.Until, now+firstTrialDelayMS), Since: now})
	}
}

func (q *quarantine) try(m *protocol.TryRequest, now int64) {
	e := q.entries[m.Fingerprint]
	if !e.Held || e.Trials != m.Trials {
		return
	}
	e.Until = now + firstTrialDelayMS
	if e.Trials > 0 {
		e.Until = now + laterTrialDelayMS<<min(e.Trials-1, maxTrialDoublings)
	}
	e.Until = cmp.Or(m.Until, e.Until)
	e.Trials++
	e.Trial = m.Gateway
	q.put(e)
}

func (q *quarantine) release(f protocol.Fingerprint, now int64) {
	if q.entries[f].Held {
		q.put(protocol.Quarantined{Fingerprint: f, Since: now})
	}
}

func (q *quarantine) put(e protocol.Quarantined) {
	q.changes++
	e.Change = q.changes
	q.entries[e.Fingerprint] = e
}

// evict drops entries if there are too many.
func (q *quarantine) evict() {
	if len(q.entries) <= maxQuarantined {
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
	for _, e := range list[:len(list)-evictTarget] {
		delete(q.entries, e.Fingerprint)
	}
	q.changes++
	q.floor = q.changes
}

// list returns the entries, ordered by change.
func (q *quarantine) list() []protocol.Quarantined {
	list := slices.Collect(maps.Values(q.entries))
	slices.SortFunc(list, func(a, b protocol.Quarantined) int { return cmp.Compare(a.Change, b.Change) })
	return list
}

// log returns the state of the quarantine.
func (q *quarantine) log() protocol.QuarantineLog {
	return protocol.QuarantineLog{Changes: q.changes, Floor: q.floor, Entries: q.list()}
}
