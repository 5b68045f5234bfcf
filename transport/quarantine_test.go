package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// quarantinePatience bounds what a test waits for.
const quarantinePatience = 10 * time.Second

// crashing is a request under which servers end.
var crashing = &protocol.Request{Key: protocol.Key{Workspace: "w", ID: "1"}, Route: "r", Kind: protocol.KindCompletion, Body: []byte("bad")}

// noted is an observer that keeps what it is told.
type noted struct {
	mu    sync.Mutex
	told  []protocol.ObserveMsg
	reply protocol.ObserveReply
	err   error
}

func (n *noted) Observe(_ context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told = append(n.told, m)
	return n.reply, n.err
}

func newQuarantineOf(o Observer) *Quarantine {
	return NewQuarantine("entry-1", o, time.Second, zerolog.Nop())
}

// listening returns a server that is listening, and one that listens no more.
func listening(t *testing.T) (up, ended *state.Server) {
	t.Helper()
	for _, server := range []**state.Server{&up, &ended} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		*server = &state.Server{Instance: protocol.Instance{ID: ln.Addr().String(), Address: ln.Addr().String()}}
		if server == &ended {
			_ = ln.Close()
		}
	}
	return up, ended
}

// TestEntryTellsWhatEnded checks that an entry instance takes a server for ended only where
// its port refuses behind a connection that the other side ended.
func TestEntryTellsWhatEnded(t *testing.T) {
	up, ended := listening(t)
	for name, c := range map[string]struct {
		server *state.Server
		err    error
		told   int
	}{
		"ended":          {ended, io.EOF, 1},
		"still up":       {up, io.EOF, 0},
		"closed by us":   {ended, net.ErrClosed, 0},
		"out of time":    {ended, os.ErrDeadlineExceeded, 0},
		"reset, and up":  {up, errors.New("reset"), 0},
		"reset, and not": {ended, errors.New("reset"), 1},
	} {
		o := &noted{reply: protocol.ObserveReply{Leads: true, Term: 1}}
		q := newQuarantineOf(o)
		q.broke(crashing, c.server, time.Now(), c.err)
		pending := func() bool {
			q.mu.Lock()
			defer q.mu.Unlock()
			return q.broken.Len() > 0
		}
		for end := time.Now().Add(quarantinePatience); pending(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the server was not probed")
			}
		}
		q.mu.Lock()
		told := q.gate.Report(1, clock.Now())
		q.mu.Unlock()
		if len(told) != c.told {
			t.Errorf("%s: told %+v", name, told)
		}
	}
}

// TestEntryKeepsToTheLeader checks that an instance tells each leader what that lacks, once
// it answered no more, refuses what is held and tells the good end of a trial.
func TestEntryKeepsToTheLeader(t *testing.T) {
	f := sameRequest(crashing).Fingerprint()
	o := &noted{err: ErrNoQuorum}
	q := newQuarantineOf(o)
	q.gate.RecordCrash("server", []protocol.ObservedRun{{Fingerprint: f}}, clock.Now())
	told := func() int { return len(o.told[len(o.told)-1].Observations) }
	q.ask(t.Context())
	q.ask(t.Context())
	if told() != 1 {
		t.Error("what no leader has was not told again")
	}
	o.err, o.reply = nil, protocol.ObserveReply{Leads: true, Term: 3, Quarantine: &protocol.QuarantineUpdate{
		Changes: 1, Held: []protocol.HeldRequest{{Fingerprint: f, Servers: 3, Trials: 1, Trial: "entry-1"}},
	}}
	q.ask(t.Context())
	o.reply.Quarantine = nil
	q.ask(t.Context())
	if told() != 0 || o.told[len(o.told)-1].Quarantined != 1 {
		t.Errorf("told again: %+v", o.told[len(o.told)-1])
	}
	if first, again := q.check(crashing), q.check(crashing); first.Held || !again.Held || q.Held() != 1 {
		t.Errorf("the trial: %+v, behind it: %+v", first, again)
	}
	q.endedWell(crashing)
	q.ask(t.Context())
	if told() != 1 || o.told[len(o.told)-1].Observations[0].Server != "" {
		t.Errorf("told of the good end: %+v", o.told[len(o.told)-1])
	}
}

// TestEntryAlone checks that an instance whose leader has not answered for a while goes by
// what it saw itself.
func TestEntryAlone(t *testing.T) {
	q := newQuarantineOf(&noted{err: ErrNoQuorum})
	for i := range 3 {
		q.gate.RecordCrash(fmt.Sprint("server-", i), []protocol.ObservedRun{{Fingerprint: sameRequest(crashing).Fingerprint()}}, clock.Now())
	}
	if q.check(crashing).Held {
		t.Error("held though a leader may still decide")
	}
	clock.Skip(2 * observeAlone)
	defer clock.Skip(-2 * observeAlone)
	if p := q.check(crashing); !p.Held || heldMsg(1, p).Verdict != protocol.NotRun {
		t.Errorf("alone: %+v", p)
	}
}

// keepingGroup is a group of one whose log is a state machine.
type keepingGroup struct {
	term    uint64
	leads   bool
	machine *state.Machine
}

func (g *keepingGroup) Vouches() (uint64, bool) { return g.term, g.leads }

func (g *keepingGroup) Propose(_ context.Context, c protocol.Command) (protocol.Result, error) {
	return g.machine.Apply(&c), nil
}

// threeEnds are observations of three servers that ended under a request, the last one a
// second ago.
func threeEnds() []protocol.Observation {
	var list []protocol.Observation
	for i := range 3 {
		o := protocol.Observation{Number: uint64(i + 1), Ago: time.Duration(3-i) * time.Second, Server: fmt.Sprint(i)}
		o.Runs = []protocol.ObservedRun{{Fingerprint: sameRequest(crashing).Fingerprint(), Age: time.Millisecond}}
		list = append(list, o)
	}
	return list
}

// TestReplicaThatLeadsDecides checks that a replica answers and decides only while it leads,
// by what it was told in its term, and not by servers that leave.
func TestReplicaThatLeadsDecides(t *testing.T) {
	for name, c := range map[string]struct {
		leads  bool
		leaves string
		next   bool // next has the last end be told in the next term.
		held   int
	}{
		"leads":           {true, "", false, 1},
		"follows":         {false, "", false, 0},
		"a server leaves": {true, "1", false, 0},
		"the next term":   {true, "", true, 0},
	} {
		g := &keepingGroup{term: 1, leads: c.leads, machine: state.NewMachine()}
		s := NewQuarantineService(g, func(server string) bool { return server == c.leaves }, zerolog.Nop())
		var reply protocol.ObserveReply
		seen := threeEnds()
		if c.next {
			if err := s.Observe(protocol.ObserveMsg{Instance: "a", Observations: seen[:2]}, &reply); err != nil {
				t.Fatal(err)
			}
			g.term, seen = 2, seen[2:]
		}
		if err := s.Observe(protocol.ObserveMsg{Instance: "a", Observations: seen}, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Leads != c.leads {
			t.Errorf("%s: the answer says leads %v", name, reply.Leads)
		}
		clock.Skip(time.Second) // All have had the time to tell.
		s.decide(t.Context())
		clock.Skip(-time.Second)
		if l := g.machine.QuarantineLog(); len(l.Entries) != c.held {
			t.Errorf("%s: held %+v", name, l.Entries)
		}
	}
}

// TestInstanceWithoutGroupDecides checks that an instance alone holds a request by itself.
func TestInstanceWithoutGroupDecides(t *testing.T) {
	q := newQuarantineOf(NewLocalQuarantine(func(string) bool { return false }))
	for _, o := range threeEnds() {
		q.gate.RecordCrash(o.Server, o.Runs, clock.Now())
	}
	q.ask(t.Context())
	if q.check(crashing).Held {
		t.Error("held at once")
	}
	clock.Skip(time.Second)
	defer clock.Skip(-time.Second)
	q.ask(t.Context())
	if !q.check(crashing).Held {
		t.Error("not held")
	}
}

// TestEntryLeavingServers checks that an exchange tells of no server that leaves, and that a
// request which was answered counts as one that ended well.
func TestEntryLeavingServers(t *testing.T) {
	_, ended := listening(t)
	for _, leaving := range []bool{true, false} {
		tables := state.NewTables()
		row := ended.Instance
		row.Kind, row.Leaving = protocol.InstanceEngine, leaving
		tables.Backends.SetList([]protocol.Instance{row}, clock.Now())
		g := NewGateway(settings.New(), tables)
		x := g.newExchange(crashing, "x")
		x.broke(&call{server: ended, sent: time.Now()}, io.EOF)
		g.quarantine.mu.Lock()
		suspected := g.quarantine.broken.Len() > 0
		g.quarantine.mu.Unlock()
		if suspected == leaving {
			t.Errorf("leaving %v: suspected %v", leaving, suspected)
		}
		q := g.quarantine
		q.mu.Lock()
		q.gate.ApplyUpdate(nil, &protocol.WatchUpdate{Requests: []protocol.Fingerprint{sameRequest(crashing).Fingerprint()}}, clock.Now())
		q.mu.Unlock()
		x.end(attempt.FinishCmd{})
		q.mu.Lock()
		told := q.gate.Report(1, clock.Now())
		q.mu.Unlock()
		if !slices.ContainsFunc(told, func(o protocol.Observation) bool { return o.Server == "" }) {
			t.Errorf("leaving %v: told %+v of a request that was answered", leaving, told)
		}
	}
}

// TestSameRequestOfEntries checks that two sends with other keys are the same request, and
// that those of another workspace, route or path are not.
func TestSameRequestOfEntries(t *testing.T) {
	same := func(change func(r *protocol.Request)) bool {
		r := *crashing
		change(&r)
		return sameRequest(&r).Fingerprint() == sameRequest(crashing).Fingerprint()
	}
	if !same(func(r *protocol.Request) { r.Key.ID = "2" }) {
		t.Error("another key makes it another request")
	}
	for name, change := range map[string]func(r *protocol.Request){
		"workspace": func(r *protocol.Request) { r.Key.Workspace = "v" },
		"route":     func(r *protocol.Request) { r.Route = "s" },
		"kind":      func(r *protocol.Request) { r.Kind = protocol.KindChat },
		"service":   func(r *protocol.Request) { r.Kind, r.Path = protocol.KindService, "/x" },
		"body":      func(r *protocol.Request) { r.Body = []byte("other") },
	} {
		if same(change) {
			t.Errorf("another %s makes it no other request", name)
		}
	}
}
