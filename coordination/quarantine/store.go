package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// crashStore holds crashes with what ran on the crashed servers, and the successes of these suspects.
// R is what is known of one run.
type crashStore[R any] struct {
	crashes  []*crash[R] // crashes are in the order in which they were first reported.
	suspects map[protocol.Fingerprint]*suspect[R]
	held     map[protocol.Fingerprint]*protocol.Quarantined // held are the entries of the log that are held.
	released map[protocol.Fingerprint]time.Time             // released is when entries of the log were released.
	runs     int
}

// crash is the unannounced end of a server.
type crash[R any] struct {
	server     string
	start      int64 // start is when the server had started, in ms since 1970 by its own clock; 0 if not reported.
	at         time.Time
	reportedAt time.Time // reportedAt is when it was first reported.
	begun      bool      // begun reports that an answer at the server had begun and got no event; set for parts alone.
	trial      string    // trial is the gateway that tried a held part at the server; empty for none; set for parts alone.
	runs       map[protocol.Fingerprint]R
}

// suspect is what ran on servers that crashed.
type suspect[R any] struct {
	crashes     []*crash[R] // crashes are ordered by time.
	succeededAt time.Time   // succeededAt is when it last succeeded; zero for never.
}

func newCrashStore[R any]() crashStore[R] {
	return crashStore[R]{
		suspects: map[protocol.Fingerprint]*suspect[R]{},
		held:     map[protocol.Fingerprint]*protocol.Quarantined{},
		released: map[protocol.Fingerprint]time.Time{},
	}
}

// HasCrashes reports whether any crash is recorded.
func (s *crashStore[R]) HasCrashes() bool { return len(s.crashes) > 0 }

// recordSuccess records a success of a suspect or of what is held.
func (s *crashStore[R]) recordSuccess(f protocol.Fingerprint, at time.Time) {
	one := s.suspects[f]
	if one == nil && s.held[f] == nil {
		return
	}
	if one == nil {
		one = &suspect[R]{}
		s.suspects[f] = one
	}
	if at.After(one.succeededAt) {
		one.succeededAt = at
	}
}

// findOrAddCrash returns the crash that an observation belongs to.
func (s *crashStore[R]) findOrAddCrash(o *protocol.Observation, at, now time.Time) *crash[R] {
	for _, c := range slices.Backward(s.crashes) {
		if c.server == o.Server && c.start == o.Start && c.at.Sub(at).Abs() <= mergeWindow {
			return c
		}
	}
	c := &crash[R]{server: o.Server, start: o.Start, at: at, reportedAt: now, runs: map[protocol.Fingerprint]R{}}
	s.crashes = append(s.crashes, c)
	return c
}

// addRun adds a run to a crash, or replaces what is known of it.
func (s *crashStore[R]) addRun(c *crash[R], f protocol.Fingerprint, run R) {
	_, known := c.runs[f]
	if !known && len(c.runs) >= maxRunsPerCrash {
		return
	}
	c.runs[f] = run
	if known {
		return
	}
	s.runs++
	one := s.suspects[f]
	if one == nil {
		one = &suspect[R]{succeededAt: s.released[f]}
		s.suspects[f] = one
	}
	one.crashes = append(one.crashes, c)
	slices.SortStableFunc(one.crashes, func(a, b *crash[R]) int { return a.at.Compare(b.at) })
}

// ignoreCrash removes the crashes of a server that are known to have another reason.
func (s *crashStore[R]) ignoreCrash(m IgnoreCrashMsg) {
	for _, c := range slices.Clone(s.crashes) {
		if c.server == m.Server && c.start == m.Start {
			s.dropCrash(c)
		}
	}
}

// setLogState replaces what is held and released by those entries in the log that concern this store.
// What was known before a release does not count any more.
func (s *crashStore[R]) setLogState(m LogStateMsg, concerns func(protocol.Fingerprint) bool) {
	s.held = map[protocol.Fingerprint]*protocol.Quarantined{}
	s.released = map[protocol.Fingerprint]time.Time{}
	for i := range m.Entries {
		e := &m.Entries[i]
		switch {
		case !concerns(e.Fingerprint):
		case e.Held:
			s.held[e.Fingerprint] = e
		case e.Since > 0:
			at := m.Now.Add(-m.TimeOfDay.Sub(time.UnixMilli(e.Since)))
			s.released[e.Fingerprint] = at
			s.recordSuccess(e.Fingerprint, at)
		}
	}
	for f, one := range s.suspects {
		if len(one.crashes) == 0 && s.held[f] == nil {
			delete(s.suspects, f)
		}
	}
}

// enforceBounds removes crashes that are too old, and the oldest ones beyond the bounds.
func (s *crashStore[R]) enforceBounds(now time.Time) {
	for len(s.crashes) > 0 && (now.Sub(s.crashes[0].at) > retention || len(s.crashes) > maxCrashes || s.runs > maxRuns) {
		s.dropCrash(s.crashes[0])
	}
}

// dropCrash removes a crash, and the suspects that have no other crash.
func (s *crashStore[R]) dropCrash(c *crash[R]) {
	s.crashes = slices.DeleteFunc(s.crashes, func(other *crash[R]) bool { return other == c })
	s.runs -= len(c.runs)
	for f := range c.runs {
		one := s.suspects[f]
		one.crashes = slices.DeleteFunc(one.crashes, func(other *crash[R]) bool { return other == c })
		if len(one.crashes) == 0 {
			delete(s.suspects, f)
		}
	}
}

// mostCrashes returns the keys of counts from a least count on, those with the highest counts first and
// at most limit. The order is deterministic.
func mostCrashes(counts map[protocol.Fingerprint]int, least, limit int) []protocol.Fingerprint {
	var list []protocol.Fingerprint
	for f, n := range counts {
		if n >= least {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b protocol.Fingerprint) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return compare(a, b)
	})
	return list[:min(len(list), limit)]
}

// compare orders fingerprints, so that equal tables make equal decisions.
func compare(a, b protocol.Fingerprint) int {
	return slices.Compare(a.Content[:], b.Content[:])
}
