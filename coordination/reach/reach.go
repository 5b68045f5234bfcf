// Package reach tells a gateway which backend servers it reaches itself, and which other
// gateways reach more.
//
// A failed connect says nothing of the server alone: the server may have ended, or the path
// to it may be gone. The [Tracker] of a gateway keeps what the gateway saw; the [Directory]
// of the leader compares what all gateways report. A gateway that reaches fewer servers of a
// service than its peers passes on the same share of the service's requests ([Share]):
//
//	servers ──answers, failed connects──► Tracker ──counts──► Directory (leader)
//	callers ──requests──► gateway ──a share of them──► peer ──► servers
//
// A server that nobody reaches is missing at every gateway alike and so changes no share.
//
// All types are deterministic: the time is an argument of each call.
package reach

import (
	"maps"
	"time"
)

const (
	// lossWindow is how long a loss counts that was not seen again: probes repeat it far
	// more often.
	lossWindow = 10 * time.Second
	// minLost is the number of unreachable servers of one service from which the path is
	// suspected. One that fails alone is taken to have failed itself.
	minLost = 2
)

// Tracker keeps which servers one gateway does not reach.
type Tracker struct {
	lost map[string]loss // lost is keyed by server.
}

// loss is a server that could not be reached.
type loss struct {
	service string
	since   time.Time
	seen    time.Time // seen is when the server was last found unreachable.
}

// NewTracker returns a tracker that has seen no failure.
func NewTracker() *Tracker { return &Tracker{lost: map[string]loss{}} }

// Lost records that a server could not be reached. It reports whether the server was reached
// before.
func (t *Tracker) Lost(server, service string, now time.Time) (isNew bool) {
	l, known := t.lost[server]
	if !known {
		l = loss{service: service, since: now}
	}
	l.seen = now
	t.lost[server] = l
	return !known
}

// Reached records that a server was reached, and returns for how long it had not been; false
// if it was not lost.
func (t *Tracker) Reached(server string, now time.Time) (after time.Duration, wasLost bool) {
	l, wasLost := t.lost[server]
	if !wasLost {
		return 0, false
	}
	delete(t.lost, server)
	return now.Sub(l.since), true
}

// IsLost reports whether a server is not reached at present.
func (t *Tracker) IsLost(server string, now time.Time) bool {
	l, known := t.lost[server]
	return known && now.Sub(l.seen) < lossWindow
}

// Count returns how many servers of a service are not reached.
func (t *Tracker) Count(service string, now time.Time) (lost int) {
	for _, l := range t.lost {
		if l.service == service && now.Sub(l.seen) < lossWindow {
			lost++
		}
	}
	return lost
}

// Suspected reports whether so many servers of a service are unreachable that the path to
// them may be gone rather than the servers.
func (t *Tracker) Suspected(service string, now time.Time) bool {
	return t.Count(service, now) >= minLost
}

// Counts returns the number of unreachable servers of each service that has any.
func (t *Tracker) Counts(now time.Time) map[string]int {
	counts := map[string]int{}
	for _, l := range t.lost {
		if now.Sub(l.seen) < lossWindow {
			counts[l.service]++
		}
	}
	return counts
}

// Prune forgets the servers that are no longer listed, and losses that were not seen again.
func (t *Tracker) Prune(listed func(server string) bool, now time.Time) {
	maps.DeleteFunc(t.lost, func(server string, l loss) bool {
		return !listed(server) || now.Sub(l.seen) >= lossWindow
	})
}
