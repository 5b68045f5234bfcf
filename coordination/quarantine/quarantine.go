// Package quarantine decides which requests are kept from servers because servers end
// under them.
//
// A request may end each server that begins to run it, and come again with another id.
// Gateways observe which requests were at a server when it ended unannounced, and tell
// the leader. A [Table] holds these observations together: [Table.Update] takes a message,
// [Table.Judge] returns what is to change. It reads no clock and does no I/O.
//
// Most requests at such a server are harmless and ran beside the one that ended it. A
// request is held once [holdAfter] servers ended under it, and neither of these speaks for
// it:
//
//   - It ran to a good end a short time before, or at any time after.
//   - The servers are known to have ended for another reason.
//
// That holds harmless ones too, that were beside such a request each time. So a request
// that is held is tried: one gateway may send it once more. Where others explain the same
// servers as well as it does, that is at once, and else after a while. A good end frees it.
// Until then nobody else sends it, so that a wrong guess costs one server and not as many
// as there are gateways.
package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// holdAfter is the number of servers that end under a request before it is held. It is
	// what the users allow; fewer would hold more of the harmless ones.
	holdAfter = 3
	// settleTime is for how long the observations of several gateways of one server are
	// gathered: a gateway asks the leader at once, and else each 150 to 450 ms.
	settleTime = 300 * time.Millisecond
	// proofTime is how long behind the last server that ended a doubtful request is tried:
	// what was under way then has ended, and the trial is over within the 3 s in which all
	// gateways are to know.
	proofTime = time.Second
	// trustTime is for how long a request is trusted that ended well: requests that many
	// send do so many times in it, also while few servers are left.
	trustTime = 10 * time.Second
	// mergeTime is within what observations of one server are of the same end: a server
	// takes longer to start again and to be given requests.
	mergeTime = 1500 * time.Millisecond
	// forgetAfter is for how long a server's end is remembered.
	forgetAfter = time.Hour
	// mostCrashes and mostRuns bound the table. A run takes some 130 bytes in it.
	mostCrashes = 2048
	mostRuns    = 32 << 10
	// mostRunsEach bounds the runs of one server's end: more than a server runs at once.
	mostRunsEach = 512
	// watchAfter is the number of servers from which on a good end of a request is reported.
	watchAfter = 2
	// mostWatched bounds the requests whose good ends are reported.
	mostWatched = 256
)

// Table holds what gateways observed.
type Table struct {
	crashes  []*crash // crashes are in the order in which they were reported.
	suspects map[protocol.Fingerprint]*suspect
	held     map[protocol.Fingerprint]*protocol.Quarantined // held are those of the log.
	runs     int
}

// crash is a server that ended unannounced.
type crash struct {
	server     string
	start      int64
	at         time.Time
	reportedAt time.Time // reportedAt is when it was reported first.
	runs       map[protocol.Fingerprint]runAt
}

// runAt is a request at a server that ended.
type runAt struct {
	gateway string    // gateway is the one that sent it,
	sent    time.Time // and sent is when it did, the last time where there were several.
}

// suspect is a request that was at servers which ended.
type suspect struct {
	crashes []*crash
	ranAt   time.Time // ranAt is when it last ended well; zero for never.
}

// NewTable returns a table of no observations.
func NewTable() *Table {
	return &Table{suspects: map[protocol.Fingerprint]*suspect{}, held: map[protocol.Fingerprint]*protocol.Quarantined{}}
}

// Update takes a message.
func (t *Table) Update(m Msg) {
	switch m := m.(type) {
	case ObservedMsg:
		t.observe(m)
	case ExcusedMsg:
		t.excuse(m)
	case LoggedMsg:
		t.logged(m)
	}
}

// observe takes what a gateway saw.
func (t *Table) observe(m ObservedMsg) {
	at := m.Now.Add(-m.Observation.Ago)
	if m.Now.Sub(at) > forgetAfter {
		return
	}
	if m.Observation.Server == "" {
		for i := range m.Observation.Runs {
			t.ran(m.Observation.Runs[i].Fingerprint, at)
		}
		return
	}
	c := t.crash(&m.Observation, at, m.Now)
	for i := range m.Observation.Runs {
		r := &m.Observation.Runs[i]
		t.add(c, r.Fingerprint, runAt{gateway: m.Gateway, sent: at.Add(-r.Age)})
		if r.Well > 0 {
			t.ran(r.Fingerprint, at.Add(-r.Well))
		}
	}
	t.bound(m.Now)
}

// ran notes a good end.
func (t *Table) ran(f protocol.Fingerprint, at time.Time) {
	s := t.suspects[f]
	if s == nil && t.held[f] == nil {
		return
	}
	if s == nil {
		s = &suspect{}
		t.suspects[f] = s
	}
	if at.After(s.ranAt) {
		s.ranAt = at
	}
}

// crash returns the server's end that an observation is of.
func (t *Table) crash(o *protocol.Observation, at, now time.Time) *crash {
	for _, c := range slices.Backward(t.crashes) {
		if c.server == o.Server && c.start == o.Start && c.at.Sub(at).Abs() <= mergeTime {
			return c
		}
	}
	c := &crash{server: o.Server, start: o.Start, at: at, reportedAt: now, runs: map[protocol.Fingerprint]runAt{}}
	t.crashes = append(t.crashes, c)
	return c
}

// add notes a request at a server that ended.
func (t *Table) add(c *crash, f protocol.Fingerprint, run runAt) {
	before, known := c.runs[f]
	if !known && len(c.runs) >= mostRunsEach {
		return
	}
	if !known || run.sent.After(before.sent) {
		c.runs[f] = run
	}
	if known {
		return
	}
	t.runs++
	s := t.suspects[f]
	if s == nil {
		s = &suspect{}
		t.suspects[f] = s
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// excuse forgets the ends of servers that are known to have another reason.
func (t *Table) excuse(m ExcusedMsg) {
	for _, c := range slices.Clone(t.crashes) {
		if c.server == m.Server && c.start == m.Start {
			t.drop(c)
		}
	}
}

// logged takes the quarantine of the log.
func (t *Table) logged(m LoggedMsg) {
	t.held = map[protocol.Fingerprint]*protocol.Quarantined{}
	for i := range m.Entries {
		if m.Entries[i].Held {
			t.held[m.Entries[i].Fingerprint] = &m.Entries[i]
		}
	}
	for f, s := range t.suspects {
		if len(s.crashes) == 0 && t.held[f] == nil {
			delete(t.suspects, f)
		}
	}
}

// bound forgets what is too old, and the oldest of what is too much.
func (t *Table) bound(now time.Time) {
	for len(t.crashes) > 0 && (now.Sub(t.crashes[0].at) > forgetAfter || len(t.crashes) > mostCrashes || t.runs > mostRuns) {
		t.drop(t.crashes[0])
	}
}

// drop forgets a server's end, and the requests that were only there.
func (t *Table) drop(c *crash) {
	t.crashes = slices.DeleteFunc(t.crashes, func(other *crash) bool { return other == c })
	t.runs -= len(c.runs)
	for f := range c.runs {
		s := t.suspects[f]
		s.crashes = slices.DeleteFunc(s.crashes, func(other *crash) bool { return other == c })
		if len(s.crashes) == 0 {
			delete(t.suspects, f)
		}
	}
}

// Watched returns the requests whose good ends are to be reported, those with most servers
// first. It says the same until something changes.
func (t *Table) Watched() []protocol.Fingerprint {
	var list []protocol.Fingerprint
	ends := map[protocol.Fingerprint]int{}
	for f, s := range t.suspects {
		if n := len(s.since()); n >= watchAfter {
			list, ends[f] = append(list, f), n
		}
	}
	slices.SortFunc(list, func(a, b protocol.Fingerprint) int {
		if ends[a] != ends[b] {
			return ends[b] - ends[a]
		}
		return compare(a, b)
	})
	return list[:min(len(list), mostWatched)]
}

// compare orders fingerprints, so that equal tables decide alike.
func compare(a, b protocol.Fingerprint) int {
	return slices.Compare(a.Content[:], b.Content[:])
}

// since returns the servers that ended under the request since it last ended well, and
// trustTime later at the least.
func (s *suspect) since() []*crash {
	if s.ranAt.IsZero() {
		return s.crashes
	}
	for i, c := range s.crashes {
		if c.at.Sub(s.ranAt) > trustTime {
			return s.crashes[i:]
		}
	}
	return nil
}
