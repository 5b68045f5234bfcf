// Package member keeps an instance's view of the cluster.
//
// It works as SWIM does. At each tick an instance probes one other, in a
// random order that reaches all of them in turn; if that one does not answer,
// a few others are asked to probe it; if none succeeds it is suspected, and
// after a while held dead unless it refutes this by raising its version. So the
// load on an instance does not grow with the cluster.
//
// What changed (a member's record, a backend server that leaves) spreads in two
// ways: at once, when it is learned, to a few random members, who pass on what
// is news to them; and with the probes. A full synchronization with one random
// member now and then mends what both have missed.
//
// [State.Update] is deterministic: time and randomness come with the messages.
// It owns its state, and what it returns are commands for the layer with the
// sockets.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Config tunes the membership.
type Config struct {
	Fanout    int           // Fanout is how many members get news at once.
	Indirect  int           // Indirect is how many members probe a silent one.
	Suspect   time.Duration // Suspect is how long a suspicion stands before death.
	SyncEvery int           // SyncEvery is the least number of ticks between synchronizations.
	Forget    time.Duration // Forget is when the record of a dead member is dropped.
}

// DefaultConfig returns the settings for ticks of 200 ms.
func DefaultConfig(suspect time.Duration) Config {
	return Config{Fanout: 3, Indirect: 2, Suspect: suspect, SyncEvery: 25, Forget: time.Hour}
}

// row is a member with what only this instance knows of it.
type row struct {
	protocol.Member
	since time.Time
	sends int // sends is how often the record is still passed on.
}

// leavingRow is a leaving mark with the number of sends left.
type leavingRow struct {
	protocol.Leaving
	sends int
}

// joinedRow is the record of a new server with the number of sends left.
type joinedRow struct {
	protocol.Joined
	sends int
}

// State is one instance's view of the cluster.
type State struct {
	cfg     Config
	self    string
	seeds   []protocol.Member // seeds are addresses to meet while nobody is known.
	rows    map[string]*row
	leaving map[string]*leavingRow
	joined  map[string]*joinedRow
	order   []string // order are the members still to be probed in this round.
	ticks   int
}

// New returns the view of an instance that knows only itself and the seeds.
func New(cfg Config, self protocol.Member, seeds []protocol.Member) *State {
	s := &State{
		cfg:     cfg,
		self:    self.Name,
		seeds:   seeds,
		rows:    map[string]*row{},
		leaving: map[string]*leavingRow{},
		joined:  map[string]*joinedRow{},
	}
	s.rows[self.Name] = &row{Member: self}
	return s
}

// Update applies a message and returns what to do.
func (s *State) Update(m Msg) []Cmd {
	switch m := m.(type) {
	case TickMsg:
		return s.tick(m)
	case GossipMsg:
		return s.news(m)
	case ProbedMsg:
		return s.probed(m)
	case SetSelfMsg:
		return s.change(m)
	case ServerLeavingMsg:
		return s.serverLeaving(m)
	case ServerJoinedMsg:
		return s.serverJoined(m)
	}
	return nil
}

func (s *State) tick(m TickMsg) []Cmd {
	s.ticks++
	s.expire(m.Now)
	rnd := rand.New(rand.NewPCG(m.Rand, 0))
	cmds := s.probe(rnd)
	if s.ticks%s.syncEvery() == 1 {
		cmds = append(cmds, s.sync(rnd)...)
	}
	return cmds
}

// syncEvery is the number of ticks between synchronizations. Their size grows
// with the members, so they come the more seldom the more there are.
func (s *State) syncEvery() int { return max(s.cfg.SyncEvery, len(s.rows)) }

// expire holds suspects dead, and forgets the dead, in their time.
func (s *State) expire(now time.Time) {
	for name, r := range s.rows {
		age := now.Sub(r.since)
		switch {
		case r.State == protocol.MemberSuspect && age >= s.cfg.Suspect:
			s.set(r, withState(r.Member, protocol.MemberDead), now)
		case r.State >= protocol.MemberDead && age >= s.cfg.Forget:
			delete(s.rows, name)
		}
	}
	for server, l := range s.leaving {
		if expired(l.Leaving, now) {
			delete(s.leaving, server)
		}
	}
	for server, j := range s.joined {
		if now.Sub(j.Seen) > protocol.JoinedRetention {
			delete(s.joined, server)
		}
	}
}

// expired reports whether a leaving record is to be dropped. It goes by the
// time of its origin, so that a copy from another instance does not revive it.
func expired(l protocol.Leaving, now time.Time) bool {
	return now.Sub(l.Seen) > protocol.LeavingRetention
}

func withState(m protocol.Member, st protocol.MemberState) protocol.Member {
	m.State = st
	return m
}

// set stores a record and gives it its number of sends.
func (s *State) set(r *row, m protocol.Member, now time.Time) {
	r.Member, r.since, r.sends = m, now, s.sends()
}

// sends is how often a record is passed on by one instance: enough to reach
// all with a wide margin, growing with the logarithm of their number.
func (s *State) sends() int {
	n := 3
	for size := len(s.rows); size > 0; size >>= 1 {
		n++
	}
	return n
}

// probe picks the next member of the round.
func (s *State) probe(rnd *rand.Rand) []Cmd {
	for range len(s.order) + 1 {
		if len(s.order) == 0 {
			s.order = s.reachable()
			rnd.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
		}
		if len(s.order) == 0 {
			return s.meet()
		}
		name := s.order[0]
		s.order = s.order[1:]
		if r := s.rows[name]; r != nil && r.State < protocol.MemberDead {
			return []Cmd{ProbeCmd{Name: name, Address: r.Address, Gossip: s.pending(), Via: s.via(name, rnd)}}
		}
	}
	return nil
}

// meet greets the seeds while nobody is known.
func (s *State) meet() []Cmd {
	var cmds []Cmd
	for _, seed := range s.seeds {
		if seed.Name != s.self {
			cmds = append(cmds, SyncCmd{Address: seed.Address, Gossip: s.full()})
		}
	}
	return cmds
}

// via returns the addresses of members that may probe another one.
func (s *State) via(target string, rnd *rand.Rand) []string {
	var addresses []string
	for _, name := range s.pick(s.cfg.Indirect+1, rnd) {
		if name != target && len(addresses) < s.cfg.Indirect {
			addresses = append(addresses, s.rows[name].Address)
		}
	}
	return addresses
}

// sync exchanges everything with one random member and with one seed, since
// two halves that hold each other dead would otherwise never meet again.
func (s *State) sync(rnd *rand.Rand) []Cmd {
	var cmds []Cmd
	for _, name := range s.pick(1, rnd) {
		cmds = append(cmds, SyncCmd{Address: s.rows[name].Address, Gossip: s.full()})
	}
	if len(s.seeds) > 0 {
		seed := s.seeds[rnd.IntN(len(s.seeds))]
		if r := s.rows[seed.Name]; seed.Name != s.self && (r == nil || r.State >= protocol.MemberDead) {
			cmds = append(cmds, SyncCmd{Address: seed.Address, Gossip: s.full()})
		}
	}
	return cmds
}

// reachable returns the other members that are not held dead, by name.
func (s *State) reachable() []string {
	var names []string
	for name, r := range s.rows {
		if name != s.self && r.State < protocol.MemberDead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *State) pick(n int, rnd *rand.Rand) []string {
	names := s.reachable()
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

// news takes in records from another instance.
func (s *State) news(m GossipMsg) []Cmd {
	var cmds []Cmd
	fresh := false
	for _, rec := range m.Gossip.Members {
		if s.merge(rec, m.Now) {
			fresh = true
			cmds = append(cmds, s.revision(rec)...)
		}
	}
	for _, l := range m.Gossip.Leaving {
		if _, ok := s.leaving[l.Server]; !ok && !expired(l, m.Now) {
			s.leaving[l.Server] = &leavingRow{Leaving: l, sends: s.sends()}
			fresh = true
			cmds = append(cmds, ServerLeavingCmd{Leaving: l})
		}
	}
	for _, j := range m.Gossip.Joined {
		if _, ok := s.joined[j.Instance.ID]; !ok && m.Now.Sub(j.Seen) <= protocol.JoinedRetention {
			s.joined[j.Instance.ID] = &joinedRow{Joined: j, sends: s.sends()}
			fresh = true
			cmds = append(cmds, ServerJoinedCmd{Joined: j})
		}
	}
	if fresh && !m.Gossip.Full {
		cmds = append(cmds, s.push(m.Rand)...)
	}
	return cmds
}

// merge takes in one record and reports whether it was news. A record that
// says of this instance what is not so is refuted.
func (s *State) merge(rec protocol.Member, now time.Time) bool {
	r := s.rows[rec.Name]
	if r == nil {
		if rec.State >= protocol.MemberDead {
			return false
		}
		r = &row{}
		s.rows[rec.Name] = r
		s.set(r, rec, now)
		return true
	}
	if !rec.Newer(r.Member) {
		return false
	}
	if rec.Name == s.self {
		return s.refute(r, rec, now)
	}
	s.set(r, rec, now)
	return true
}

// refute raises this instance's version above a record that others hold of it.
func (s *State) refute(r *row, rec protocol.Member, now time.Time) bool {
	if rec.Incarnation > r.Incarnation {
		return false // Another process uses this name; see the operators' page.
	}
	own := r.Member
	own.Version = rec.Version + 1
	s.set(r, own, now)
	return true
}

// revision asks for a configuration that another instance has in force.
func (s *State) revision(rec protocol.Member) []Cmd {
	if rec.Name == s.self || rec.Revision <= s.rows[s.self].Revision || rec.State >= protocol.MemberDead {
		return nil
	}
	return []Cmd{FetchConfigCmd{Address: rec.Address, Number: rec.Revision}}
}

// push sends what is news to a few random members at once.
func (s *State) push(seed uint64) []Cmd {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var cmds []Cmd
	for _, name := range s.pick(s.cfg.Fanout, rnd) {
		if n := s.pending(); len(n.Members)+len(n.Leaving)+len(n.Joined) > 0 {
			cmds = append(cmds, PushCmd{Address: s.rows[name].Address, Gossip: n})
		}
	}
	return cmds
}

// pending returns the records that are still to be passed on, and counts one
// send of each.
func (s *State) pending() protocol.GossipMsg {
	n := protocol.GossipMsg{From: s.self}
	for _, name := range s.names() {
		if r := s.rows[name]; r.sends > 0 {
			r.sends--
			n.Members = append(n.Members, r.Member)
		}
	}
	for _, l := range s.marks() {
		if l.sends > 0 {
			l.sends--
			n.Leaving = append(n.Leaving, l.Leaving)
		}
	}
	for _, j := range s.newcomers() {
		if j.sends > 0 {
			j.sends--
			n.Joined = append(n.Joined, j.Joined)
		}
	}
	return n
}

// Full returns all records, as a synchronization carries them.
func (s *State) Full() protocol.GossipMsg { return s.full() }

func (s *State) full() protocol.GossipMsg {
	n := protocol.GossipMsg{From: s.self, Full: true}
	for _, name := range s.names() {
		n.Members = append(n.Members, s.rows[name].Member)
	}
	for _, l := range s.marks() {
		n.Leaving = append(n.Leaving, l.Leaving)
	}
	for _, j := range s.newcomers() {
		n.Joined = append(n.Joined, j.Joined)
	}
	return n
}

func (s *State) names() []string {
	names := make([]string, 0, len(s.rows))
	for name := range s.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) marks() []*leavingRow {
	marks := make([]*leavingRow, 0, len(s.leaving))
	for _, l := range s.leaving {
		marks = append(marks, l)
	}
	slices.SortFunc(marks, func(a, b *leavingRow) int { return strings.Compare(a.Server, b.Server) })
	return marks
}

func (s *State) newcomers() []*joinedRow {
	rows := make([]*joinedRow, 0, len(s.joined))
	for _, j := range s.joined {
		rows = append(rows, j)
	}
	slices.SortFunc(rows, func(a, b *joinedRow) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	return rows
}

// probed suspects a member that neither this instance nor others reached.
func (s *State) probed(m ProbedMsg) []Cmd {
	r := s.rows[m.Name]
	if m.Alive || r == nil || r.State != protocol.MemberAlive {
		return nil
	}
	s.set(r, withState(r.Member, protocol.MemberSuspect), m.Now)
	return s.push(m.Rand)
}

// change sets what this instance says of itself.
func (s *State) change(m SetSelfMsg) []Cmd {
	r := s.rows[s.self]
	next := r.Member
	next.Ready, next.Leaving = m.Ready, m.Leaving
	next.Revision, next.Digest = m.Revision, m.Digest
	if m.Left {
		next.State = protocol.MemberLeft
	}
	if next == r.Member {
		return nil
	}
	next.Version++
	s.set(r, next, m.Now)
	return s.push(m.Rand)
}

func (s *State) serverLeaving(m ServerLeavingMsg) []Cmd {
	if _, ok := s.leaving[m.Leaving.Server]; ok {
		return nil
	}
	s.leaving[m.Leaving.Server] = &leavingRow{Leaving: m.Leaving, sends: s.sends()}
	return append([]Cmd{ServerLeavingCmd{Leaving: m.Leaving}}, s.push(m.Rand)...)
}

func (s *State) serverJoined(m ServerJoinedMsg) []Cmd {
	if _, ok := s.joined[m.Joined.Instance.ID]; ok {
		return nil
	}
	s.joined[m.Joined.Instance.ID] = &joinedRow{Joined: m.Joined, sends: s.sends()}
	return s.push(m.Rand)
}

// Rows returns the view as a table, by name.
func (s *State) Rows() []state.MemberRow {
	rows := make([]state.MemberRow, 0, len(s.rows))
	for _, name := range s.names() {
		rows = append(rows, state.MemberRow{Member: s.rows[name].Member, Since: s.rows[name].since})
	}
	return rows
}
