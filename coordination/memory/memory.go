// Package memory accounts for the bytes that a process holds for its callers, and decides
// whether more may be held.
//
// Each request has a [Hold], which belongs to a workspace. Bytes are reserved for a [Cause]
// and released; the total never exceeds the bound. A workspace may hold as much as it
// leaves free (dynamic thresholds): a single one up to half of the bound, two busy ones a
// third each. So there is always room for one more workspace.
//
//	Reserve(hold, cause, bytes) ─► Granted, or who holds how much and when to retry
//	Release(hold, cause, bytes)
//	ReleaseAll(hold)
//
// The package reads no clock: the time is passed to each call.
package memory

import (
	"math"
	"time"
)

// Cause is the purpose for which bytes are held.
type Cause uint8

// The causes.
const (
	Body       Cause = iota // Body is a request body, until the request ends.
	Answer                  // Answer is an answer that is read completely before it is forwarded.
	Lag                     // Lag is the part of an answer that the caller has not received yet.
	Connection              // Connection is the fixed cost of a connection.
	causes
)

// Causes lists all causes in order.
var Causes = []Cause{Body, Answer, Lag, Connection}

// String implements fmt.Stringer.
func (c Cause) String() string {
	return [causes]string{"body", "answer", "lag", "connection"}[c]
}

const (
	// releaseAveraging is the time over which the release rate is averaged, about the
	// length of a few usual requests.
	releaseAveraging = 2 * time.Second
	// minWait and maxWait bound the advised time until a retry: after a shorter wait the
	// same bytes are still held, and over a longer one the release rate is outdated.
	minWait = 100 * time.Millisecond
	maxWait = 10 * time.Second
	// connectionShare is the share of the bound that connections may use. They belong to no
	// workspace, so no workspace share limits them.
	connectionShare = 0.5
)

// Account counts the bytes of one process.
type Account struct {
	bound       int64
	held        int64
	causes      [causes]int64
	workspaces  map[string]*workspaceBytes
	releaseRate rate
}

// workspaceBytes counts the bytes of one workspace.
type workspaceBytes struct {
	held        int64
	releaseRate rate
}

// Hold counts the bytes of one request or connection. The zero value holds nothing and
// belongs to no known workspace.
type Hold struct {
	Workspace string
	held      [causes]int64
}

// Held returns the bytes held for a cause.
func (h *Hold) Held(c Cause) int64 { return h.held[c] }

// Decision says whether bytes were reserved, and the figures behind it. Sizes are in bytes.
type Decision struct {
	Granted  bool
	TooLarge bool // TooLarge says that the size can never be granted, whatever else is held.
	// OverShare says that the workspace's share is exhausted, not the whole account.
	OverShare  bool
	Bytes      int64         // Bytes is the requested size.
	Workspace  int64         // Workspace is what the workspace held before.
	Held       int64         // Held is the total held before.
	Bound      int64         // Bound is the account's bound.
	RetryAfter time.Duration // RetryAfter is the advised time until a retry; 0 if granted.
}

// New returns an account with the given bound in bytes.
func New(bound int64) *Account {
	return &Account{bound: bound, workspaces: map[string]*workspaceBytes{}}
}

// MaxHold returns the most that one hold can ever get, which leaves the same amount to the
// others.
func (a *Account) MaxHold() int64 { return a.bound / 2 }

// Held returns the total of bytes held.
func (a *Account) Held() int64 { return a.held }

// Bound returns the maximum of bytes held.
func (a *Account) Bound() int64 { return a.bound }

// HeldFor returns the bytes held for a cause.
func (a *Account) HeldFor(c Cause) int64 { return a.causes[c] }

// HeldBy returns the bytes held by a workspace.
func (a *Account) HeldBy(workspace string) int64 {
	if w := a.workspaces[workspace]; w != nil {
		return w.held
	}
	return 0
}

// Workspaces returns the bytes of each workspace that holds any.
func (a *Account) Workspaces() map[string]int64 {
	out := make(map[string]int64, len(a.workspaces))
	for name, w := range a.workspaces {
		out[name] = w.held
	}
	return out
}

// Reserve reserves bytes for a cause, all of them or none.
func (a *Account) Reserve(h *Hold, c Cause, n int64, now time.Time) Decision {
	d := Decision{Bytes: n, Workspace: a.HeldBy(h.Workspace), Held: a.held, Bound: a.bound}
	free := a.bound - a.held - n
	missing := -free // missing is how many bytes must be released first.
	releaseRate := &a.releaseRate
	if c == Connection {
		missing = max(missing, a.causes[Connection]+n-int64(connectionShare*float64(a.bound)))
	} else if overShare := d.Workspace + n - free; overShare > missing {
		// Each byte that the workspace itself releases counts twice: the workspace holds
		// less, and more is free.
		missing, d.OverShare = (overShare+1)/2, d.Workspace > 0
		if d.OverShare {
			releaseRate = &a.workspaces[h.Workspace].releaseRate
		}
	}
	if missing > 0 {
		d.TooLarge = n > a.MaxHold()
		d.RetryAfter = releaseRate.wait(missing, now)
		return d
	}
	d.Granted = true
	a.add(h, c, n)
	return d
}

// add changes all sums by n, which is negative for released bytes.
func (a *Account) add(h *Hold, c Cause, n int64) {
	h.held[c] += n
	a.causes[c] += n
	a.held += n
	if c == Connection || n == 0 {
		return
	}
	w := a.workspaces[h.Workspace]
	if w == nil {
		w = &workspaceBytes{}
		a.workspaces[h.Workspace] = w
	}
	w.held += n
	if w.held == 0 {
		delete(a.workspaces, h.Workspace) // Workspace names come and go with the configuration.
	}
}

// Release releases bytes, at most those that the hold has for the cause.
func (a *Account) Release(h *Hold, c Cause, n int64, now time.Time) {
	n = min(n, h.held[c])
	if n <= 0 {
		return
	}
	a.releaseRate.add(n, now)
	if w := a.workspaces[h.Workspace]; w != nil && c != Connection {
		w.releaseRate.add(n, now)
	}
	a.add(h, c, -n)
}

// ReleaseAll releases all bytes of a hold.
func (a *Account) ReleaseAll(h *Hold, now time.Time) {
	for _, c := range Causes {
		a.Release(h, c, h.held[c], now)
	}
}

// rate is the exponentially averaged rate at which bytes are released.
type rate struct {
	bytes float64 // bytes is the sum of released bytes, decayed with releaseAveraging.
	at    time.Time
}

// decay applies the exponential decay since the last update.
func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.bytes *= math.Exp(-float64(d) / float64(releaseAveraging))
		r.at = now
	}
}

// add counts bytes released now.
func (r *rate) add(n int64, now time.Time) {
	r.decay(now)
	r.bytes += float64(n)
}

// wait returns how long it takes to release n bytes at the current rate.
func (r *rate) wait(n int64, now time.Time) time.Duration {
	r.decay(now)
	if r.bytes < 1 {
		return maxWait
	}
	wait := float64(n) / r.bytes * float64(releaseAveraging)
	return time.Duration(min(max(wait, float64(minWait)), float64(maxWait)))
}
