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
	// answerMemory is how long an answer speaks for the path to a server: a server under load
	// may reset new connections while it answers on others.
	answerMemory = 500 * time.Millisecond
	// minLost is the number of unreachable servers of one service from which the path is
	// suspected. One that fails alone is taken to have failed itself.
	minLost = 2
)

// Tracker keeps which servers one gateway does not reach.
type Tracker struct {
	lost     map[string]loss      // lost is keyed by server.
	answered map[string]time.Time // answered is when each server was last reached.
}

// loss is a server that could not be reached.
type loss struct {
	service string
	since   time.Time
	seen    time.Time // seen is when the server was last found unreachable.
}

// NewTracker returns a tracker that has seen no failure.
func NewTracker() *Tracker {
	return &Tracker{lost: map[string]loss{}, answered: map[string]time.Time{}}
}

// Lost records that a server could not be reached. It reports whether the server was reached
// before. A server that answered a moment ago is not lost, unless it refused the connection.
func (t *Tracker) Lost(server, service string, refused bool, now time.Time) (isNew bool) {
	if !refused && t.AnsweredWithin(server, answerMemory, now) {
		return false
	}
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
	t.answered[server] = now
	l, wasLost := t.lost[server]
	if !wasLost {
		return 0, false
	}
	delete(t.lost, server)
	return now.Sub(l.since), true
}

// AnsweredWithin reports whether a server was reached within the time before now.
func (t *Tracker) AnsweredWithin(server string, d time.Duration, now time.Time) bool {
	at, ok := t.answered[server]
	return ok && now.Sub(at) < d
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

// Servers returns the servers of a service that are not reached, if the path to them is suspected:
// requests should not be sent to them until a probe has succeeded.
func (t *Tracker) Servers(service string, now time.Time) (servers []string) {
	for server, l := range t.lost {
		if l.service == service && now.Sub(l.seen) < lossWindow {
			servers = append(servers, server)
		}
	}
	if len(servers) < minLost {
		return nil
	}
	return servers
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
	maps.DeleteFunc(t.answered, func(server string, _ time.Time) bool { return !listed(server) })
}
