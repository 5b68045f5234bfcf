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
	// givenTime is the time over which the rate of bytes given back is averaged: some
	// requests of a usual length.
	givenTime = 2 * time.Second
	// leastWait and mostWait bound when a caller may come back: a shorter time finds the
	// same bytes held, and behind a longer one the rate is no longer that of now.
	leastWait = 100 * time.Millisecond
	mostWait  = 10 * time.Second
	// connectionPart is the part of the bound that connections may have: they belong to no
	// workspace, whose share would bound them.
	connectionPart = 0.5
)

// Account counts the bytes of one process.
type Account struct {
	bound      int64
	held       int64
	causes     [causes]int64
	workspaces map[string]*workspaceBytes
	given      rate
}

// workspaceBytes is what one workspace holds.
type workspaceBytes struct {
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

// Decision says whether bytes were taken, and by which figures. Sizes are in bytes.
type Decision struct {
	Granted  bool
	TooLarge bool // Never says that so much is never taken, whatever else is held.
	// OverShare says that the workspace's share is used up, and not the whole account.
	OverShare  bool
	Bytes      int64         // Bytes are those asked for.
	Workspace  int64         // Workspace is what the workspace holds.
	Held       int64         // Held is what is held in all.
	Bound      int64         // Bound is the most.
	RetryAfter time.Duration // Wait is when to come back; 0 where they were taken.
}

// New returns an account of at most some bytes.
func New(bound int64) *Account {
	return &Account{bound: bound, workspaces: map[string]*workspaceBytes{}}
}

// MaxHold is the most that one hold can ever take: what leaves as much to the others.
func (a *Account) MaxHold() int64 { return a.bound / 2 }

// Held returns the bytes held in all.
func (a *Account) Held() int64 { return a.held }

// Bound returns the most that is held.
func (a *Account) Bound() int64 { return a.bound }

// HeldFor returns the bytes held for a cause.
func (a *Account) HeldFor(c Cause) int64 { return a.causes[c] }

// HeldBy returns the bytes that a workspace holds.
func (a *Account) HeldBy(workspace string) int64 {
	if s := a.workspaces[workspace]; s != nil {
		return s.held
	}
	return 0
}

// Workspaces returns the bytes of each workspace that holds any.
func (a *Account) Workspaces() map[string]int64 {
	out := make(map[string]int64, len(a.workspaces))
	for name, s := range a.workspaces {
		out[name] = s.held
	}
	return out
}

// Reserve takes bytes for a cause, all of them or none.
func (a *Account) Reserve(h *Hold, c Cause, n int64, now time.Time) Decision {
	v := Decision{Bytes: n, Workspace: a.HeldBy(h.Workspace), Held: a.held, Bound: a.bound}
	free := a.bound - a.held - n
	missing := -free // missing is how many bytes have to be given back first.
	given := &a.given
	if c == Connection {
		missing = max(missing, a.causes[Connection]+n-int64(connectionPart*float64(a.bound)))
	} else if over := v.Workspace + n - free; over > missing {
		// A byte of its own that it gives back counts twice: it has less, and there
		// is more free.
		missing, v.OverShare = (over+1)/2, v.Workspace > 0
		if v.OverShare {
			given = &a.workspaces[h.Workspace].given
		}
	}
	if missing > 0 {
		v.TooLarge = n > a.MaxHold()
		v.RetryAfter = given.wait(missing, now)
		return v
	}
	v.Granted = true
	a.add(h, c, n)
	return v
}

// add changes all sums by n, which is negative for bytes given back.
func (a *Account) add(h *Hold, c Cause, n int64) {
	h.held[c] += n
	a.causes[c] += n
	a.held += n
	if c == Connection || n == 0 {
		return
	}
	s := a.workspaces[h.Workspace]
	if s == nil {
		s = &workspaceBytes{}
		a.workspaces[h.Workspace] = s
	}
	s.held += n
	if s.held == 0 {
		delete(a.workspaces, h.Workspace) // Names come and go with the configuration.
	}
}

// Release gives bytes back; never more than the hold has for the cause.
func (a *Account) Release(h *Hold, c Cause, n int64, now time.Time) {
	n = min(n, h.held[c])
	if n <= 0 {
		return
	}
	a.given.add(n, now)
	if s := a.workspaces[h.Workspace]; s != nil && c != Connection {
		s.given.add(n, now)
	}
	a.add(h, c, -n)
}

// ReleaseAll gives back all that a hold has.
func (a *Account) ReleaseAll(h *Hold, now time.Time) {
	for _, c := range Causes {
		a.Release(h, c, h.held[c], now)
	}
}

// rate is how many bytes a second were given back lately.
type rate struct {
	bytes float64 // bytes fade with givenTime.
	at    time.Time
}

// fade forgets bytes by the time since they were added (exponential decay).
func (r *rate) fade(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.bytes *= math.Exp(-float64(d) / float64(givenTime))
		r.at = now
	}
}

// add counts bytes that were given back now.
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
