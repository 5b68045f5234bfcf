// Package allot divides a whole between the gateways, for what each of them may do without a
// leader.
//
// The leader's [Table] allots each start of a gateway a part for a limited time. The parts that
// have not expired never add up to more than the whole: a gateway that starts has none until the
// leader finds one free, and the part of a gateway that died is free once it has expired. A new
// leader renews the parts that gateways hold, and allots no others until those of its predecessor
// have expired.
//
// Both types are deterministic: the time is an argument of each call.
package allot

import "time"

const (
	// Lifetime is how long a part may be used after the gateway requested it.
	Lifetime = 10 * time.Second
	// RenewalInterval is the time between two requests of a gateway.
	RenewalInterval = 2 * time.Second
	// renewalMargin is more than a request takes.
	renewalMargin = time.Second
	// minPart is the least part that is allotted.
	minPart = 1e-6
)

// Part is what a gateway holds. The zero value is no part.
type Part struct {
	size    float64
	expires time.Time
}

// NewPart returns a part of the given size that expires at the given time.
func NewPart(size float64, expires time.Time) Part { return Part{size, expires} }

// Size returns the size of the part, from 0 to 1.
func (p Part) Size(now time.Time) float64 {
	if !now.Before(p.expires) {
		return 0
	}
	return p.size
}

// Renewable returns the size of the part that a request may name: none if the part could expire
// before the leader has received the request.
func (p Part) Renewable(now time.Time) float64 { return p.Size(now.Add(renewalMargin)) }

// Table holds the parts that the leader of one term allotted.
type Table struct {
	opensAt time.Time
	held    map[uint64][]Part // held are the parts that each start of a gateway may still use.
	seen    map[uint64]time.Time
}

// NewTable returns the table of a leader whose term began at the given time.
func NewTable(began time.Time) *Table {
	return &Table{opensAt: began.Add(Lifetime), held: map[uint64][]Part{}, seen: map[uint64]time.Time{}}
}

// Request returns the size of the part for a start of a gateway that holds a part of the given
// size. It may be used until Lifetime after the gateway requested it.
func (t *Table) Request(start uint64, holds float64, now time.Time) float64 {
	t.expire(now)
	t.seen[start] = now
	size := t.next(start, holds, now)
	if size < minPart {
		return 0
	}
	t.held[start] = append(t.held[start], NewPart(size, now.Add(Lifetime)))
	return size
}

// next returns the size of the next part of a gateway.
func (t *Table) next(start uint64, holds float64, now time.Time) float64 {
	if now.Before(t.opensAt) {
		return holds
	}
	even := 1 / float64(len(t.seen))
	return min(even, max(0, 1-t.heldByOthers(start)))
}

// heldByOthers returns the sum of the parts that other gateways may use. Of several parts of one
// gateway, it may use the largest, because an answer can be lost.
func (t *Table) heldByOthers(start uint64) float64 {
	sum := 0.0
	for other, parts := range t.held {
		if other != start {
			sum += largest(parts)
		}
	}
	return sum
}

func largest(parts []Part) float64 {
	size := 0.0
	for _, p := range parts {
		size = max(size, p.size)
	}
	return size
}

// expire drops the parts that no gateway may use any more.
func (t *Table) expire(now time.Time) {
	for start, parts := range t.held {
		kept := parts[:0]
		for _, p := range parts {
			if p.Size(now) > 0 {
				kept = append(kept, p)
			}
		}
		t.held[start] = kept
		if len(kept) == 0 {
			delete(t.held, start)
		}
	}
	for start, at := range t.seen {
		if now.Sub(at) > Lifetime {
			delete(t.seen, start)
		}
	}
}
