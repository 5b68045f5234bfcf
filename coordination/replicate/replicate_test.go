package replicate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

var testConfig = Config{Election: 100 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Batch: 64, Window: 4}

// disk is what a replica wrote. What is pending was not synced: a crash keeps
// any first part of it.
type disk struct {
	hard     HardState
	snapshot SnapshotMeta
	data     []string // data is the state machine at the snapshot.
	entries  []Entry
	pending  []Cmd
}

func (d *disk) write(c Cmd) {
	switch c := c.(type) {
	case PersistCmd:
		d.hard = c.Hard
		if len(c.Entries) > 0 {
			keep := c.Entries[0].Index - d.snapshot.Index - 1
			d.entries = append(slices.Clone(d.entries[:keep]), c.Entries...)
		}
	case RestoreCmd:
		var data []string
		_ = json.Unmarshal(c.Data, &data)
		d.snapshot, d.data, d.entries = c.Snapshot, data, nil
	}
}

// node is a replica with its disk, its state machine and the messages that
// wait for a sync.
type node struct {
	r       *Replica
	id      ID
	disk    disk
	held    []Message // held are durable messages that wait for the sync.
	applied []string  // applied are the commands that the state machine saw.
	index   uint64    // index is the last that was applied.
	cfg     Config
	rate    float64 // rate is by how much the replica's clock runs faster than time goes on; 0 means evenly.
}

// reporter is what the simulation needs of a test.
type reporter interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// sim is a group in a bad network. Its checks are the log's promises.
type sim struct {
	t         reporter
	pick      func(n int) int // pick chooses one of n.
	nodes     map[string]*node
	net       []Message
	late      []Message       // late are messages that may still come, out of their time.
	cut       map[string]bool // cut holds "from>to" links that lose everything.
	now       time.Duration
	seq       int
	born      uint64
	leaders   map[uint64]ID     // leaders are the elected, by term.
	committed map[uint64]string // committed are the applied entries, by index.
	lost      map[ID]bool       // lost are incarnations whose disk is gone.
}

func newSim(t reporter, size int, pick func(n int) int) *sim {
	s := &sim{t: t, pick: pick, nodes: map[string]*node{}, cut: map[string]bool{}, leaders: map[uint64]ID{}, committed: map[uint64]string{}, lost: map[ID]bool{}}
	var m Members
	for i := range size {
		s.born++
		m.Voters = append(m.Voters, ID{Name: string(rune('a' + i)), Incarnation: s.born})
	}
	for _, id := range m.Voters {
		n := &node{id: id, cfg: testConfig, disk: disk{snapshot: SnapshotMeta{Members: m}}}
		s.nodes[id.Name] = n
		s.boot(n)
	}
	return s
}

func (s *sim) boot(n *node) {
	n.disk.pending, n.held = nil, nil
	n.applied, n.index = slices.Clone(n.disk.data), n.disk.snapshot.Index
	n.r = New(n.cfg, Start{ID: n.id, Hard: n.disk.hard, Snapshot: n.disk.snapshot, Entries: n.disk.entries, Now: s.clock(n), Rand: s.rand()})
}

// clock is what a replica's clock shows.
func (s *sim) clock(n *node) time.Duration { return s.now + time.Duration(n.rate*float64(s.now)) }

func (s *sim) rand() uint64 { return uint64(s.pick(1 << 30)) }

func (s *sim) names() []string {
	var names []string
	for name := range s.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *sim) draw() *node { return s.nodes[s.names()[s.pick(len(s.nodes))]] }

func (s *sim) update(n *node, m Msg) {
	for _, c := range n.r.Update(m) {
		s.execute(n, c)
	}
}

func (s *sim) execute(n *node, c Cmd) {
	switch c := c.(type) {
	case PersistCmd:
		n.disk.pending = append(n.disk.pending, c)
	case RestoreCmd:
		n.disk.pending = append(n.disk.pending, c)
		n.applied, n.index = nil, c.Snapshot.Index
		_ = json.Unmarshal(c.Data, &n.applied)
	case SendCmd:
		if c.Durable {
			n.held = append(n.held, c.Message)
		} else {
			s.net = append(s.net, c.Message)
		}
	case SendSnapshotCmd:
		data, _ := json.Marshal(n.disk.data)
		s.net = append(s.net, Message{Kind: Snapshot, From: n.id, To: c.To, Term: c.Term, Round: c.Round, Promise: c.Promise, Snapshot: n.disk.snapshot, Data: data})
	case ElectedCmd:
		s.elected(n, c.Term)
	case ApplyCmd:
		s.apply(n, c.Entries)
	}
}

func (s *sim) elected(n *node, term uint64) {
	if other, ok := s.leaders[term]; ok {
		s.t.Fatalf("two leaders in term %d: %v and %v", term, other, n.id)
	}
	s.leaders[term] = n.id
	for index, want := range s.committed {
		if index <= n.r.log.Snapshot().Index {
			continue
		}
		got, ok := n.r.log.Term(index)
		if !ok || fmt.Sprintf("%d:%s", got, n.r.log.at(index).Data) != want {
			s.t.Fatalf("leader %v of term %d lacks the committed entry %d", n.id, term, index)
		}
	}
}

func (s *sim) apply(n *node, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.index+1 {
			s.t.Fatalf("%v applies %d after %d", n.id, e.Index, n.index)
		}
		n.index = e.Index
		got := fmt.Sprintf("%d:%s", e.Term, e.Data)
		if want, ok := s.committed[e.Index]; ok && got != want {
			s.t.Fatalf("%v applies %q at %d, others %q", n.id, got, e.Index, want)
		}
		s.committed[e.Index] = got
		if e.Kind == EntryCommand {
			n.applied = append(n.applied, string(e.Data))
		}
	}
}

// sync writes what is pending and releases what waited for it.
func (s *sim) sync(n *node) {
	for _, c := range n.disk.pending {
		n.disk.write(c)
	}
	n.disk.pending = nil
	s.net = append(s.net, n.held...)
	n.held = nil
	last := n.disk.snapshot.Index + uint64(len(n.disk.entries))
	term := n.disk.snapshot.Term
	if len(n.disk.entries) > 0 {
		term = n.disk.entries[len(n.disk.entries)-1].Term
	}
	s.update(n, SyncedMsg{Index: last, Term: term})
}

// crash ends a process: any first part of what was not synced is on disk.
func (s *sim) crash(n *node) {
	keep := s.pick(len(n.disk.pending) + 1)
	for _, c := range n.disk.pending[:keep] {
		n.disk.write(c)
	}
	s.boot(n)
}

func (s *sim) deliver(m Message) {
	n := s.nodes[m.To.Name]
	if !s.cut[m.From.Name+">"+m.To.Name] && n != nil {
		s.update(n, StepMsg{Message: m, Now: s.clock(n)})
	}
}

func (s *sim) take(i int) { s.net = slices.Delete(s.net, i, i+1) }

// loseDisk replaces a replica by a new incarnation with an empty disk. One at a
// time: not while a lost incarnation is still a voter anywhere.
func (s *sim) loseDisk(n *node) {
	if len(s.nodes) == 1 {
		return
	}
	for _, o := range s.nodes {
		for _, v := range o.r.log.Members().Voters {
			if s.lost[v] {
				return
			}
		}
		if len(o.r.log.Members().Voters) < 3 && o != n {
			return
		}
	}
	s.lost[n.id] = true
	s.born++
	fresh := &node{id: ID{Name: n.id.Name, Incarnation: s.born}, cfg: n.cfg, rate: n.rate}
	s.nodes[n.id.Name] = fresh
	s.boot(fresh)
}

func (s *sim) joinAll() {
	for _, name := range s.names() {
		for _, leader := range s.names() {
			s.update(s.nodes[leader], JoinMsg{ID: s.nodes[name].id})
		}
	}
}

// check holds after every action: no two replicas may both act on a lease.
func (s *sim) check() {
	holders := 0
	for _, n := range s.nodes {
		if _, leads := n.r.Leads(); leads && n.r.lease > s.clock(n) {
			holders++
		}
	}
	if holders > 1 {
		s.t.Fatalf("%d replicas hold a lease at once", holders)
	}
}

func (s *sim) tick() {
	s.now += time.Duration(1+s.pick(12)) * time.Millisecond
	n := s.draw()
	s.update(n, TickMsg{Now: s.clock(n), Rand: s.rand()})
}

// deliverAny delivers a message on the way: mostly the oldest, so that the
// group makes progress, else any. Some come again, much later.
func (s *sim) deliverAny() {
	if len(s.net) == 0 {
		return
	}
	i := 0
	if s.pick(3) == 0 {
		i = s.pick(len(s.net))
	}
	if s.pick(8) == 0 {
		s.late = append(s.late, s.net[i])
	}
	s.deliver(s.net[i])
	s.take(i)
}

// deliverLate delivers a message that was delivered, or lost, long ago.
func (s *sim) deliverLate() {
	if len(s.late) == 0 {
		return
	}
	i := s.pick(len(s.late))
	s.deliver(s.late[i])
	s.late = slices.Delete(s.late, i, i+1)
}

func (s *sim) drop() {
	if len(s.net) > 0 {
		i := s.pick(len(s.net))
		s.late = append(s.late, s.net[i])
		s.take(i)
	}
}

func (s *sim) propose() {
	s.seq++
	s.update(s.draw(), ProposeMsg{Token: uint64(s.seq), Data: fmt.Appendf(nil, "command %d", s.seq)})
}

func (s *sim) cutLink() {
	from, to := s.draw(), s.draw()
	link := from.id.Name + ">" + to.id.Name
	s.cut[link] = !s.cut[link]
}

// bereave has all replicas but one crash at once, that one cut off from the rest for
// as long as cuts last, and lets the rest try to go on: a leader that was spared
// still has its lease.
func (s *sim) bereave() {
	spared := s.draw()
	for _, name := range s.names() {
		if n := s.nodes[name]; n != spared {
			s.cut[spared.id.Name+">"+name], s.cut[name+">"+spared.id.Name] = true, true
			s.crash(n)
		}
	}
	for range 4 {
		s.now += time.Duration(1+s.pick(4)) * time.Millisecond
		for _, name := range s.names() {
			if n := s.nodes[name]; n != spared {
				s.update(n, TickMsg{Now: s.clock(n), Rand: s.rand()})
				s.sync(n)
			}
		}
		for range 40 {
			s.deliverAny()
			s.sync(s.draw())
		}
		s.check()
	}
}

// action is something that happens, with its weight in the long runs.
type action struct {
	name   string
	weight int
	do     func()
}

func (s *sim) actions() []action {
	return []action{
		{"deliver", 300, s.deliverAny},
		{"late", 20, s.deliverLate},
		{"sync", 150, func() { s.sync(s.draw()) }},
		{"tick", 200, s.tick},
		{"propose", 30, s.propose},
		{"drop", 6, s.drop},
		{"crash", 3, func() { s.crash(s.draw()) }},
		{"lose", 1, func() { s.loseDisk(s.draw()) }},
		{"join", 10, s.joinAll},
		{"cut", 3, s.cutLink},
		{"heal", 3, func() { clear(s.cut) }},
		{"compact", 3, func() { s.compact(s.draw()) }},
		{"run", 1, func() { s.run(1 + s.pick(12)) }},
		{"bereave", 2, s.bereave},
	}
}

// compact takes a snapshot of what is applied and on disk.
func (s *sim) compact(n *node) {
	if n.index > n.disk.snapshot.Index+uint64(len(n.disk.entries)) || n.index <= n.disk.snapshot.Index || len(n.disk.pending) > 0 {
		return
	}
	term, ok := n.r.log.Term(n.index)
	if !ok {
		return
	}
	meta := SnapshotMeta{Index: n.index, Term: term, Members: n.r.log.MembersAt(n.index)}
	n.disk.entries = slices.Clone(n.disk.entries[n.index-n.disk.snapshot.Index:])
	n.disk.snapshot, n.disk.data = meta, slices.Clone(n.applied)
	s.update(n, CompactedMsg{Snapshot: meta})
}

// run lets the group work well for some rounds.
func (s *sim) run(rounds int) {
	for range rounds {
		s.now += 10 * time.Millisecond
		for _, name := range s.names() {
			s.update(s.nodes[name], TickMsg{Now: s.clock(s.nodes[name]), Rand: s.rand()})
			s.sync(s.nodes[name])
		}
		for range 2 {
			batch := s.net
			s.net = nil
			for _, m := range batch {
				if n := s.nodes[m.To.Name]; n != nil && !s.cut[m.From.Name+">"+m.To.Name] {
					s.update(n, StepMsg{Message: m, Now: s.clock(n)})
				}
			}
			for _, name := range s.names() {
				s.sync(s.nodes[name])
			}
		}
	}
}

// TestPromises drives groups through everything at once, in any order.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		s := newSim(t, []int{1, 3, 5}[pick(3)], pick)
		steps := map[string]func(*rapid.T){"": func(*rapid.T) { s.check() }}
		for _, a := range s.actions() {
			steps[a.name] = func(*rapid.T) { a.do() }
		}
		t.Repeat(steps)
		s.recovers()
	})
}

// Long runs weigh the actions so that elections, changes of members and
// crashes meet each other often.
const (
	longSeeds = 600
	longSteps = 6000
)

// TestPromisesLong is TestPromises over fixed seeds and long runs.
func TestPromisesLong(t *testing.T) {
	for seed := range uint64(longSeeds) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		s := newSim(seedTB{TB: t, seed: seed}, []int{3, 5, 3, 1}[seed%4], rnd.IntN)
		s.long(rnd, s.actions())
		s.recovers()
	}
}

// long has the actions happen in turns drawn by their weights.
func (s *sim) long(rnd *rand.Rand, actions []action) {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	for range longSteps {
		n := rnd.IntN(total)
		for _, a := range actions {
			if n -= a.weight; n < 0 {
				a.do()
				break
			}
		}
		s.check()
	}
}

// seedTB prints the seed with a failure.
type seedTB struct {
	testing.TB
	seed uint64
}

// Fatalf implements testing.TB.
func (t seedTB) Fatalf(format string, args ...any) {
	t.Helper()
	t.TB.Fatalf("seed %d: "+format, append([]any{t.seed}, args...)...)
}

// recovers heals everything: the group must elect a leader, take in the
// replicas whose disk was lost, commit, and agree.
func (s *sim) recovers() {
	clear(s.cut)
	for range 60 {
		s.joinAll()
		s.run(10)
		if s.settled() {
			return
		}
	}
	for _, name := range s.names() {
		s.t.Logf("%s: %+v", name, s.nodes[name].r.Status())
	}
	s.t.Fatalf("the group does not recover")
}

// settled reports whether one command more reaches every replica, all of which vote.
func (s *sim) settled() bool {
	for _, n := range s.nodes {
		if _, leads := n.r.Leads(); !leads {
			continue
		}
		s.seq++
		last := fmt.Sprintf("command %d", s.seq)
		s.update(n, ProposeMsg{Token: uint64(s.seq), Data: []byte(last)})
		s.run(15)
		return s.agree(last)
	}
	return false
}

func (s *sim) agree(last string) bool {
	var first []string
	for _, name := range s.names() {
		n := s.nodes[name]
		if !n.r.log.Members().IsVoter(n.id) || len(n.applied) == 0 || n.applied[len(n.applied)-1] != last {
			return false
		}
		if first == nil {
			first = n.applied
		}
		if !slices.Equal(first, n.applied) {
			s.t.Fatalf("%s applied %v, another %v", name, n.applied, first)
		}
	}
	return true
}

// TestOldIncarnationDoesNotVote is the trap of a lost disk: a replica comes
// back empty under its old name. It must not help to elect a leader that lacks
// what it had promised.
func TestOldIncarnationDoesNotVote(t *testing.T) {
	fresh := New(testConfig, Start{ID: ID{Name: "b", Incarnation: 9}})
	old := ID{Name: "b", Incarnation: 2}
	cmds := fresh.Update(StepMsg{Now: time.Hour, Message: Message{Kind: Vote, From: ID{Name: "c", Incarnation: 3}, To: old, Term: 7}})
	if len(cmds) > 0 {
		t.Errorf("an empty replica answered a message for its former self: %v", cmds)
	}
	if cmds := fresh.Update(TickMsg{Now: 2 * time.Hour}); len(cmds) > 0 {
		t.Errorf("an empty replica campaigned: %v", cmds)
	}
}

// TestBrokenDiskStopsVoting fails the disk of a leader and of a follower.
func TestBrokenDiskStopsVoting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		s.run(60)
		n := s.draw()
		s.update(n, DiskFailedMsg{})
		if _, leads := n.r.Leads(); leads {
			t.Fatal("a replica with a broken disk leads")
		}
		n.held = nil
		s.update(n, StepMsg{Now: s.now + time.Hour, Message: Message{Kind: Vote, From: ID{Name: "z"}, To: n.id, Term: 99, Index: 99, LogTerm: 99}})
		if len(n.held) > 0 {
			t.Fatalf("a replica with a broken disk answered %v", n.held)
		}
	})
}

func TestSliceBounds(t *testing.T) {
	l := NewLog(SnapshotMeta{Index: 3}, nil)
	for i := range 5 {
		l.Append([]Entry{{Index: uint64(4 + i), Term: 1, Data: bytes.Repeat([]byte("x"), 10)}})
	}
	for _, tt := range []struct {
		first, last uint64
		bytes, want int
	}{{4, 8, 1000, 5}, {4, 8, 25, 2}, {4, 8, 1, 1}, {3, 8, 1000, 0}, {9, 9, 1000, 0}, {6, 99, 1000, 3}} {
		if got := len(l.Slice(tt.first, tt.last, tt.bytes)); got != tt.want {
			t.Errorf("Slice(%d, %d, %d) has %d entries, want %d", tt.first, tt.last, tt.bytes, got, tt.want)
		}
	}
}
