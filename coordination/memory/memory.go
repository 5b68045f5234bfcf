// Package memory keeps account of the bytes that a process holds for its callers,
// and decides what else may be held.
//
// Each request has a [Hold], which belongs to a workspace. Bytes are taken for a
// [Cause] and given back; what is held is never above the bound. A workspace may hold
// as much as it leaves free for the others (dynamic thresholds): one alone half of the
// bound, two that want more a third each. So there is always room for one more.
//
//	Take(hold, cause, bytes) ─► Taken, or who holds how much and when to come back
//	Give(hold, cause, bytes)
//	End(hold) gives all back
//
// It is pure: time comes in with each call.
package memory

import (
	"math"
	"time"
)

// Cause is what bytes are held for.
type Cause uint8

// The causes.
const (
	Body       Cause = iota // Body is a request's body, until the request ends.
	Answer                  // Answer is an answer that is read whole before it is passed on.
	Lag                     // Lag is what a caller has not taken yet of its answer.
	Connection              // Connection is what a connection costs by itself.
	causes
)

// Causes are all of them, in order.
var Causes = []Cause{Body, Answer, Lag, Connection}

// String implements fmt.Stringer.
func (c Cause) String() string {
	return [causes]string{"body", "answer", "lag", "connection"}[c]
}

const (
	// givenTime is the time over which the bytes that are given back are averaged: some
	// requests of a usual length.
	givenTime = 2 * time.Second
	// leastWait and mostWait bound when a caller may come back: a shorter time finds the
	// same bytes held, and behind a longer one the rate is no longer that of now.
	leastWait = 100 * time.Millisecond
	mostWait  = 10 * time.Second
	// connectionPart of the bound is the most for connections, which nobody owns.
	connectionPart = 0.5
)

// Account counts the bytes of one process.
type Account struct {
	bound  int64
	held   int64
	causes [causes]int64
	spaces map[string]*space
	given  rate
}

// space is what one workspace holds.
type space struct {
	held  int64
	given rate
}

// Hold is what one request, or connection, holds. The zero value holds nothing and
// belongs to no known workspace.
type Hold struct {
	Workspace string
	held      [causes]int64
}

// Held returns the bytes that are held for a cause.
func (h *Hold) Held(c Cause) int64 { return h.held[c] }

// Verdict says whether bytes were taken, and if not, by which figures.
type Verdict struct {
	Taken bool
	Never bool          // Never says that so much is never taken, whatever else is held.
	Own   bool          // Own says that the workspace's share is used up, not the whole.
	Bytes int64         // Bytes are those asked for.
	Space int64         // Space is what the workspace holds.
	Held  int64         // Held is what is held in all.
	Bound int64         // Bound is the most.
	Wait  time.Duration // Wait is when to come back; 0 where they were taken.
}

// New returns an account of at most some bytes.
func New(bound int64) *Account {
	return &Account{bound: bound, spaces: map[string]*space{}}
}

// Most is the most that one hold can ever take: what leaves as much to the others.
func (a *Account) Most() int64 { return a.bound / 2 }

// Held returns the bytes held in all.
func (a *Account) Held() int64 { return a.held }

// Bound returns the most that is held.
func (a *Account) Bound() int64 { return a.bound }

// Of returns the bytes held for a cause.
func (a *Account) Of(c Cause) int64 { return a.causes[c] }

// Space returns the bytes that a workspace holds.
func (a *Account) Space(workspace string) int64 {
	if s := a.spaces[workspace]; s != nil {
		return s.held
	}
	return 0
}

// Spaces returns what each workspace holds that holds anything.
func (a *Account) Spaces() map[string]int64 {
	out := make(map[string]int64, len(a.spaces))
	for name, s := range a.spaces {
		out[name] = s.held
	}
	return out
}

// Take takes bytes for a cause, all of them or none.
func (a *Account) Take(h *Hold, c Cause, n int64, now time.Time) Verdict {
	v := Verdict{Bytes: n, Space: a.Space(h.Workspace), Held: a.held, Bound: a.bound}
	free := a.bound - a.held - n
	lacks := -free // lacks are the bytes that have to be given back first.
	given := &a.given
	if c == Connection {
		lacks = max(lacks, a.causes[Connection]+n-int64(connectionPart*float64(a.bound)))
	} else if over := v.Space + n - free; over > lacks {
		// A byte of its own that it gives back counts twice: it has less, and there
		// is more free.
		lacks, v.Own = (over+1)/2, v.Space > 0
		if v.Own {
			given = &a.spaces[h.Workspace].given
		}
	}
	if lacks > 0 {
		v.Never = n > a.Most()
		v.Wait = given.wait(lacks, now)
		return v
	}
	v.Taken = true
	a.add(h, c, n)
	return v
}

func (a *Account) add(h *Hold, c Cause, n int64) {
	h.held[c] += n
	a.causes[c] += n
	a.held += n
	if c == Connection || n == 0 {
		return
	}
	s := a.spaces[h.Workspace]
	if s == nil {
		s = &space{}
		a.spaces[h.Workspace] = s
	}
	s.held += n
	if s.held == 0 {
		delete(a.spaces, h.Workspace) // Names come and go with the configuration.
	}
}

// Give gives bytes back; never more than the hold has for the cause.
func (a *Account) Give(h *Hold, c Cause, n int64, now time.Time) {
	n = min(n, h.held[c])
	if n <= 0 {
		return
	}
	a.given.add(n, now)
	if s := a.spaces[h.Workspace]; s != nil && c != Connection {
		s.given.add(n, now)
	}
	a.add(h, c, -n)
}

// End gives back all that a hold has.
func (a *Account) End(h *Hold, now time.Time) {
	for _, c := range Causes {
		a.Give(h, c, h.held[c], now)
	}
}

// rate is how many bytes a second were given back lately.
type rate struct {
	bytes float64 // bytes fade with givenTime.
	at    time.Time
}

func (r *rate) fade(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.bytes *= math.Exp(-float64(d) / float64(givenTime))
		r.at = now
	}
}

func (r *rate) add(n int64, now time.Time) {
	r.fade(now)
	r.bytes += float64(n)
}

// wait is how long it takes until so many bytes are given back at the rate.
func (r *rate) wait(n int64, now time.Time) time.Duration {
	r.fade(now)
	if r.bytes < 1 {
		return mostWait
	}
	wait := float64(n) / r.bytes * float64(givenTime)
	return time.Duration(min(max(wait, float64(leastWait)), float64(mostWait)))
}
