package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var day = time.Unix(1_800_000_000, 0)

func named(name string) protocol.Fingerprint {
	return (&Request{Caller: "w", Host: "h", Path: "/p", Body: []byte(name)}).Fingerprint()
}

// story is a table with the log behind it, in a time of its own.
type story struct {
	table   *Table
	log     logState
	now     time.Time
	servers int
	trials  bool // trials has those of p and q end a server, and others end well.
}

func newStory() *story {
	return &story{table: NewTable(), log: logState{}, now: day}
}

// pass lets a time pass, in which the table is asked and the log follows.
func (s *story) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(min(end.Sub(s.now), 100*time.Millisecond))
		s.decide()
	}
}

func (s *story) decide() {
	m := s.table.Judge(s.now, s.now)
	s.log.take(&m, s.now)
	s.table.Update(LoggedMsg{Entries: s.log.entries()})
	for _, r := range m.Try {
		switch {
		case !s.trials:
		case r.Fingerprint == named("p"), r.Fingerprint == named("q"):
			s.ends(s.name(r.Fingerprint))
		default:
			s.ran(s.name(r.Fingerprint))
		}
	}
}

// name returns the name of a request.
func (s *story) name(f protocol.Fingerprint) string {
	for _, name := range []string{"p", "q", "x", "y"} {
		if named(name) == f {
			return name
		}
	}
	return ""
}

// logState is the quarantine of the log; trials come after half a minute, and only once.
type logState map[protocol.Fingerprint]protocol.Quarantined

func (l logState) take(m *protocol.QuarantineMsg, now time.Time) {
	for _, h := range m.Hold {
		l[h.Fingerprint] = protocol.Quarantined{Fingerprint: h.Fingerprint, Held: true, Servers: h.Servers, Until: now.Add(30 * time.Second).UnixMilli()}
	}
	for _, r := range m.Try {
		q := l[r.Fingerprint]
		q.Trial, q.Trials, q.Until = r.Gateway, q.Trials+1, now.Add(time.Hour).UnixMilli()
		l[r.Fingerprint] = q
	}
	for _, f := range m.Free {
		l[f] = protocol.Quarantined{Fingerprint: f}
	}
}

func (l logState) entries() []protocol.Quarantined {
	var list []protocol.Quarantined
	for _, q := range l {
		list = append(list, q)
	}
	return list
}

func (s *story) held(name string) bool { return s.log[named(name)].Held }

// ends has a server end under requests, each "NAME" sent a tenth of a second ago, or
// "NAME-MS" so many milliseconds ago.
func (s *story) ends(names ...string) {
	s.servers++
	s.endsAs(fmt.Sprint("server-", s.servers), names...)
}

func (s *story) endsAs(server string, names ...string) {
	var runs []protocol.ObservedRun
	for _, text := range names {
		name, ms := text, 100
		if n, _ := fmt.Sscanf(text, "%1s-%d", &name, &ms); n < 2 {
			name = text
		}
		runs = append(runs, protocol.ObservedRun{Fingerprint: named(name), Age: time.Duration(ms) * time.Millisecond})
	}
	s.table.Update(ObservedMsg{Now: s.now, Gateway: "g", Observation: protocol.Observation{Server: server, Runs: runs}})
}

// ran has a request end well.
func (s *story) ran(name string) {
	s.table.Update(ObservedMsg{Now: s.now, Observation: protocol.Observation{Runs: []protocol.ObservedRun{{Fingerprint: named(name)}}}})
}

// TestWhoIsHeld walks through what may be seen, and checks who is kept from servers.
func TestWhoIsHeld(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		play func(s *story)
		want string // want are the requests that are held, of p, q, x and y.
	}{
		"two servers": {func(s *story) { s.ends("p"); s.pass(second); s.ends("p"); s.pass(3 * second) }, ""},
		"three servers, one after the other": {func(s *story) {
			for range 3 {
				s.ends("p")
				s.pass(second)
			}
		}, "p"},
		"at once at three servers that end together": {func(s *story) {
			for range 3 {
				s.ends("p")
			}
			s.pass(second)
		}, "p"},
		"at once at three servers that end for another reason": {func(s *story) {
			for range 3 {
				s.ends("x")
			}
			s.pass(second) // It is held until it was tried.
		}, ""},
		"at once at three servers, and ends well elsewhere": {func(s *story) {
			for range 3 {
				s.ends("x")
			}
			s.pass(100 * time.Millisecond)
			s.ran("x")
			s.pass(second)
		}, ""},
		"ends well in between": {func(s *story) {
			s.ends("x")
			s.pass(second)
			s.ends("x")
			s.pass(second)
			s.ran("x")
			s.pass(second)
			s.ends("x")
			s.pass(3 * second)
		}, ""},
		"beside it at two of three": {func(s *story) {
			s.ends("p", "x-900")
			s.pass(second)
			s.ends("p", "x-900", "y")
			s.pass(second)
			s.ends("p", "y")
			s.pass(3 * second)
		}, "p"},
		"beside it at all three, then not": {func(s *story) {
			for range 3 {
				s.ends("p", "x-900")
				s.pass(second)
			}
			s.ends("p", "y")
			s.pass(3 * second)
		}, "p"},
		"beside it at all four, having run for longer": {func(s *story) {
			for range 4 {
				s.ends("p-50", "x-400")
				s.pass(second)
			}
		}, "p"},
		"beside it at all four, sent behind it": {func(s *story) {
			for range 4 {
				s.ends("p-400", "x-50")
				s.pass(second)
			}
			s.pass(second)
		}, "p"},
		"beside one and another": {func(s *story) {
			s.ends("p", "x-900")
			s.pass(second)
			s.ends("q", "x-900")
			s.pass(second)
			s.ends("p", "x-900")
			s.pass(50 * time.Millisecond)
			s.ends("p")
			s.ends("q")
			s.pass(200 * time.Millisecond)
			s.ends("q")
			s.ends("p")
			s.pass(3 * second)
		}, "pq"},
		"held, and a run that was under way ends well": {func(s *story) {
			for range 3 {
				s.ends("x")
				s.pass(second)
			}
			s.ran("x")
			s.pass(second)
		}, ""},
		"servers known to end for another reason": {func(s *story) {
			for i := range 3 {
				s.ends("x")
				s.table.Update(ExcusedMsg{Server: fmt.Sprint("server-", i+1)})
				s.pass(second)
			}
		}, ""},
		"the same server told by several gateways": {func(s *story) {
			for range 4 {
				s.endsAs("one", "x")
				s.pass(200 * time.Millisecond)
			}
			s.pass(3 * second)
		}, ""},
		"a server that starts again under its name": {func(s *story) {
			for range 3 {
				s.endsAs("one", "p")
				s.pass(3 * second)
			}
		}, "p"},
		"two such requests at the same servers": {func(s *story) {
			for range 3 {
				s.ends("p", "q")
				s.pass(second)
			}
			s.ends("p")
			s.pass(second)
			for range 2 {
				s.ends("q")
				s.pass(second)
			}
		}, "pq"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory()
			s.trials = true
			c.play(s)
			s.pass(2 * time.Second)
			got := ""
			for _, name := range []string{"p", "q", "x", "y"} {
				if s.held(name) {
					got += name
				}
			}
			if got != c.want {
				t.Errorf("held %q, want %q", got, c.want)
			}
		})
	}
}

// TestTrials checks that a request that is held is tried once by the gateway that sent it
// last, and what follows.
func TestTrials(t *testing.T) {
	for name, c := range map[string]struct {
		after func(s *story)
		held  bool
	}{
		"it ends well":            {func(s *story) { s.ran("p") }, false},
		"a server ends":           {func(s *story) { s.ends("p") }, true},
		"it does not come":        {func(s *story) {}, true},
		"it is told a long while": {func(s *story) { s.pass(10 * time.Minute); s.ran("p") }, false},
	} {
		s := newStory()
		for range holdAfter {
			s.ends("p", "x")
			s.pass(time.Second)
			s.ran("x")
		}
		s.pass(28 * time.Second)
		if q := s.log[named("p")]; !q.Held || q.Trial != "" {
			t.Fatalf("%s: %+v before the trial", name, q)
		}
		s.pass(2 * time.Second)
		if q := s.log[named("p")]; !q.Held || q.Trial != "g" || q.Trials != 1 {
			t.Fatalf("%s: %+v at the trial", name, q)
		}
		c.after(s)
		s.pass(time.Minute)
		if q := s.log[named("p")]; q.Held != c.held || q.Trials > 1 {
			t.Errorf("%s: %+v behind the trial", name, q)
		}
	}
}

// TestTrustedBefore checks that what had ended well a moment before servers ended under it
// is not held for that.
func TestTrustedBefore(t *testing.T) {
	for well, held := range map[time.Duration]bool{0: true, time.Second: false, time.Minute: true} {
		s := newStory()
		for i := range 4 {
			runs := []protocol.ObservedRun{{Fingerprint: named("x"), Age: 100 * time.Millisecond, Well: well}}
			s.table.Update(ObservedMsg{Now: s.now, Observation: protocol.Observation{Server: fmt.Sprint(i), Runs: runs}})
			s.pass(time.Second)
		}
		if s.held("x") != held {
			t.Errorf("ended well %v before: held %v", well, s.held("x"))
		}
	}
}

// TestDoubtfulTrialWaits checks that a doubtful request is tried only once what was under
// way when it was held must have ended.
func TestDoubtfulTrialWaits(t *testing.T) {
	s := newStory()
	for range holdAfter {
		s.ends("p", "x")
	}
	s.pass(proofTime - 100*time.Millisecond)
	if q := s.log[named("x")]; !q.Held || q.Trials != 0 {
		t.Errorf("shortly before: %+v", q)
	}
	s.pass(200 * time.Millisecond)
	if q := s.log[named("x")]; q.Trials != 1 {
		t.Errorf("behind it: %+v", q)
	}
}

// TestKeeperExcusesLeavingServers checks that the ends of servers which leave speak against
// nobody, whether that is known ahead of the observation or behind it.
func TestKeeperExcusesLeavingServers(t *testing.T) {
	for name, c := range map[string]struct {
		leaves func(string) bool
		excuse []string
		held   int
	}{
		"none":   {func(string) bool { return false }, nil, 1},
		"known":  {func(s string) bool { return s == "0" }, nil, 0},
		"behind": {func(string) bool { return false }, []string{"2"}, 0},
	} {
		k := NewCoordinator()
		for i := range holdAfter {
			o := protocol.Observation{Server: fmt.Sprint(i), Runs: []protocol.ObservedRun{{Fingerprint: named("x")}}}
			k.AddObservations("g", []protocol.Observation{o}, c.leaves, day)
		}
		for _, server := range c.excuse {
			k.IgnoreCrash(server)
		}
		if m := k.Decide(&protocol.QuarantineLog{}, day.Add(time.Second), day); len(m.Hold) != c.held {
			t.Errorf("%s: held %+v", name, m.Hold)
		}
	}
}

// endsOf tells a table of a server's end under some requests of its own.
func endsOf(table *Table, now time.Time, ago time.Duration, server string, from, to int) {
	var runs []protocol.ObservedRun
	for k := from; k < to; k++ {
		runs = append(runs, protocol.ObservedRun{Fingerprint: protocol.Fingerprint{Content: [2]uint64{uint64(k), 1}}})
	}
	table.Update(ObservedMsg{Now: now, Observation: protocol.Observation{Server: server, Ago: ago, Runs: runs}})
}

// TestTableIsBounded checks that no number of ends or of requests makes the table grow
// beyond its bounds, and that what is over is forgotten.
func TestTableIsBounded(t *testing.T) {
	for name, each := range map[string]int{"many ends": 1, "many requests": 40} {
		table, now := NewTable(), day
		for i := range 3000 {
			now = now.Add(time.Millisecond)
			endsOf(table, now, 0, fmt.Sprint(i), i*each, (i+1)*each)
			if len(table.crashes) > mostCrashes || table.runs > mostRuns || len(table.suspects) > mostRuns {
				t.Fatalf("%s: %d ends, %d runs, %d requests", name, len(table.crashes), table.runs, len(table.suspects))
			}
		}
		now = now.Add(forgetAfter + time.Second)
		endsOf(table, now, 0, "last", 0, 1)
		endsOf(table, now, forgetAfter+time.Second, "told late", 0, 1)
		if len(table.crashes) != 1 || table.runs != 1 || len(table.suspects) != 1 {
			t.Errorf("%s: %d ends, %d runs, %d requests are left", name, len(table.crashes), table.runs, len(table.suspects))
		}
	}
	table := NewTable()
	endsOf(table, day, 0, "one", 0, 2*mostRunsEach)
	if table.runs != mostRunsEach {
		t.Errorf("%d runs of one end", table.runs)
	}
	for i := range watchAfter {
		endsOf(table, day, 0, fmt.Sprint("watched-", i), 0, mostWatched+9)
	}
	if n := len(table.Watched()); n != mostWatched {
		t.Errorf("%d requests are watched", n)
	}
}

// TestFreedRequestsLeaveNothing checks that a good end of a held request, at no server that
// ended, is forgotten once the request is free.
func TestFreedRequestsLeaveNothing(t *testing.T) {
	s := newStory()
	s.log[named("p")] = protocol.Quarantined{Fingerprint: named("p"), Held: true, Servers: 3, Until: day.Add(time.Hour).UnixMilli()}
	s.table.Update(LoggedMsg{Entries: s.log.entries()})
	s.ran("p")
	s.pass(time.Second)
	if s.held("p") || len(s.table.suspects) != 0 {
		t.Errorf("held %v, %d requests are kept", s.held("p"), len(s.table.suspects))
	}
}

// TestObservationsReachEachLeader checks that what a gateway saw is told until the leader
// of a term has it, and again to the next one, and that it stays bounded.
func TestObservationsReachEachLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Observations
		now, term := day, uint64(1)
		known := map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"see": func(t *rapid.T) {
				runs := make([]protocol.ObservedRun, rapid.IntRange(1, 600).Draw(t, "runs"))
				o.Add(protocol.Observation{Server: "s", Runs: runs}, now)
			},
			"tell": func(t *rapid.T) {
				list := o.Report(term, now)
				if rapid.Bool().Draw(t, "lost") {
					return
				}
				for _, row := range list {
					if known[row.Number] {
						t.Fatalf("%d was told again", row.Number)
					}
					known[row.Number] = true
				}
				o.Acknowledged(term, list)
			},
			"next leader": func(*rapid.T) {
				term++
				clear(known)
			},
			"later": func(*rapid.T) { now = now.Add(time.Minute) },
			"": func(t *rapid.T) {
				if rows, runs := o.Len(); rows > mostKept || (runs > mostKeptRuns && rows > 1) {
					t.Fatalf("%d observations with %d runs are kept", rows, runs)
				}
			},
		})
		for range mostKept/mostTold + 1 {
			list := o.Report(term, now)
			for _, row := range list {
				known[row.Number] = true
			}
			o.Acknowledged(term, list)
		}
		for i := range o.rows {
			if !known[o.rows[i].Number] {
				t.Fatalf("%d was never told", o.rows[i].Number)
			}
		}
	})
}

// TestSameRequest checks what makes two sends the same request.
func TestSameRequest(t *testing.T) {
	base := Request{Caller: "w", Host: "h", Path: "/p?q", Body: []byte("body")}
	for name, other := range map[string]Request{
		"another caller": {Caller: "v", Host: "h", Path: "/p?q", Body: []byte("body")},
		"another host":   {Caller: "w", Host: "i", Path: "/p?q", Body: []byte("body")},
		"another path":   {Caller: "w", Host: "h", Path: "/p?r", Body: []byte("body")},
		"another body":   {Caller: "w", Host: "h", Path: "/p?q", Body: []byte("bodi")},
		"moved borders":  {Caller: "wh", Host: "", Path: "/p?q", Body: []byte("body")},
	} {
		if other.Fingerprint() == base.Fingerprint() {
			t.Errorf("%s has the same fingerprint", name)
		}
	}
	same := base
	same.Body = slices.Clone(base.Body)
	if same.Fingerprint() != base.Fingerprint() || same.Fingerprint().Quick != base.QuickHash() {
		t.Error("the same request has another fingerprint")
	}
}
