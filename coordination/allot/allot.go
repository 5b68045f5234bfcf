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
	RenewalInterval = 3 * time.Second
	// renewalMargin is more than a request takes.
	renewalMargin = time.Second
	// expiryInterval is the shortest time between two looks for expired parts, which visit all
	// gateways.
	expiryInterval = 250 * time.Millisecond
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
	opensAt   time.Time
	held      map[uint64][]Part // held are the parts that each start of a gateway may still use.
	total     float64           // total is the sum over all of them; see largest.
	seen      map[uint64]time.Time
	expiredAt time.Time // expiredAt is when expired parts were last looked for.
}

// TableOption configures a new table.
type TableOption func(*Table)

// WithoutPredecessor makes the table allot parts at once: there was no earlier leader.
func WithoutPredecessor() TableOption { return func(t *Table) { t.opensAt = time.Time{} } }

// NewTable returns the table of a leader whose term began at the given time.
func NewTable(began time.Time, opts ...TableOption) *Table {
	t := &Table{opensAt: began.Add(Lifetime), held: map[uint64][]Part{}, seen: map[uint64]time.Time{}}
	for _, opt := range opts {
		opt(t)
	}
	return t
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
	t.add(start, NewPart(size, now.Add(Lifetime)))
	return size
}

func (t *Table) add(start uint64, p Part) {
	before := largest(t.held[start])
	t.held[start] = append(t.held[start], p)
	t.total += max(before, p.size) - before
}

// next returns the size of the next part of a gateway.
func (t *Table) next(start uint64, holds float64, now time.Time) float64 {
	if now.Before(t.opensAt) {
		return holds
	}
	even := 1 / float64(len(t.seen))
	heldByOthers := t.total - largest(t.held[start])
	return min(even, max(0, 1-heldByOthers))
}

// largest returns the largest of the parts of one gateway. It is the one that counts, because the
// answers with the later ones may have been lost.
func largest(parts []Part) float64 {
	size := 0.0
	for _, p := range parts {
		size = max(size, p.size)
	}
	return size
}

// expire drops the parts that no gateway may use any more, some time after they expired.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt, t.total = now, 0
	for start, parts := range t.held {
		kept := parts[:0]
		for _, p := range parts {
			if p.Size(now) > 0 {
				kept = append(kept, p)
			}
		}
		if len(kept) == 0 {
			delete(t.held, start)
			continue
		}
		t.held[start] = kept
		t.total += largest(kept)
	}
	for start, at := range t.seen {
		if now.Sub(at) > Lifetime {
			delete(t.seen, start)
		}
	}
}
