// Package origin decides at which software version a stream may continue.
//
// What two versions write does not fit together, so a stream continues only at the version that
// began it, whichever gateway its caller turns to. A gateway knows that version from:
//
//	Table    the origins of streams, of this gateway's own and of those that others gave it to keep
//	History  the versions that were listed for each service; the leader's tells the version of any
//	         stream if it has had a single one since before the stream can have begun
//
// [Keepers] chooses the gateways that keep the origin of a stream, and [Judge] decides from what is
// known. What is not known is not guessed.
package origin

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Record is the origin of a stream as kept.
type Record struct {
	Service string
	Version string
	Expires time.Time
	Own     bool // Own reports that the stream began at this gateway.
	added   uint64
}

// Table holds the origins of streams. It is bounded: beyond its limit the oldest are dropped.
type Table struct {
	limit   int
	records map[protocol.StreamKey]Record
	order   []addition // order holds the additions, oldest first.
	added   uint64     // added counts the additions.
}

// addition is one call of Add. It is outdated if its record was added again since.
type addition struct {
	key     protocol.StreamKey
	number  uint64
	expires time.Time
}

// NewTable returns an empty table of at most limit streams.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: map[protocol.StreamKey]Record{}}
}

// Add keeps the origin of a stream, or keeps it for longer.
func (t *Table) Add(o protocol.StreamOrigin, own bool, now time.Time) {
	expires := now.Add(o.Lifetime)
	old, known := t.records[o.Key]
	if known && old.Service == o.Service && old.Version == o.Version {
		own, expires = own || old.Own, later(expires, old.Expires)
	}
	t.added++
	t.records[o.Key] = Record{Service: o.Service, Version: o.Version, Expires: expires, Own: own, added: t.added}
	t.order = append(t.order, addition{key: o.Key, number: t.added, expires: expires})
	t.prune(now)
}

// prune drops the oldest additions that have expired or exceed the limit.
func (t *Table) prune(now time.Time) {
	n := 0
	for ; n < len(t.order); n++ {
		a := t.order[n]
		if now.Before(a.expires) && len(t.order)-n <= t.limit {
			break
		}
		if t.records[a.key].added == a.number {
			delete(t.records, a.key)
		}
	}
	t.order = t.order[n:]
}

// Find returns the origin of a stream.
func (t *Table) Find(key protocol.StreamKey, now time.Time) (Record, bool) {
	r, ok := t.records[key]
	return r, ok && now.Before(r.Expires)
}

// Own returns the origins of the streams that began at this gateway.
func (t *Table) Own(now time.Time) []protocol.StreamOrigin {
	var own []protocol.StreamOrigin
	for key, r := range t.records {
		if r.Own && now.Before(r.Expires) {
			own = append(own, r.Origin(key, now))
		}
	}
	return own
}

// Len returns the number of streams in the table.
func (t *Table) Len() int { return len(t.records) }

// Origin returns the record as given to another gateway.
func (r Record) Origin(key protocol.StreamKey, now time.Time) protocol.StreamOrigin {
	return protocol.StreamOrigin{Key: key, Service: r.Service, Version: r.Version, Lifetime: r.Expires.Sub(now)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
