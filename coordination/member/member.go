// Package member keeps an instance's view of the cluster.
//
// It implements the SWIM protocol. At each tick an instance probes one other member; the
// members are probed round-robin in a random order. If the probed member does not answer,
// a few others are asked to probe it. If none of them reaches it, it is suspected, and
// declared dead after a timeout unless it refutes the suspicion by raising its version.
// So the load on an instance does not grow with the cluster.
//
// Updates (a member's record, a backend server that is leaving or new) spread by gossip
// in two ways: an instance that learns of one pushes it to a few random members at once,
// and updates are piggybacked on probes. A periodic full synchronization with one random
// member repairs what either side has missed.
//
// [State.Update] is deterministic: time and randomness come with the messages. A State
// does no I/O; it returns commands for the network layer.
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
	Fanout         int           // Fanout is the number of members to which updates are pushed at once.
	Indirect       int           // Indirect is the number of members asked to probe one that did not answer.
	SuspectTimeout time.Duration // SuspectTimeout is the time after which a suspected member is declared dead.
	SyncEvery      int           // SyncEvery is the minimum number of ticks between full synchronizations.
	DeadRetention  time.Duration // DeadRetention is how long the record of a dead member is kept.
}

// DefaultConfig returns the settings for ticks of 200 ms.
func DefaultConfig(suspect time.Duration) Config {
	return Config{Fanout: 3, Indirect: 2, SuspectTimeout: suspect, SyncEvery: 25, DeadRetention: time.Hour}
}

// row is a member's record with the state that is local to this instance.
type row struct {
	protocol.Member
	since     time.Time
	sendsLeft int // sendsLeft is how many more times the record is passed on.
}

// leavingRow is the record of a leaving server with the number of sends left.
type leavingRow struct {
	protocol.Leaving
	sendsLeft int
}

// joinedRow is the record of a new server with the number of sends left.
type joinedRow struct {
	protocol.Joined
	sendsLeft int
}

// State is one instance's view of the cluster.
type State struct {
	cfg        Config
	self       string
	seeds      []protocol.Member // seeds are contacted while no other member is known.
	rows       map[string]*row
	leaving    map[string]*leavingRow
	joined     map[string]*joinedRow
	probeOrder []string // probeOrder are the members not yet probed in this round.
	ticks      int
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

// Update applies a message and returns the commands to execute.
func (s *State) Update(m Msg) []Cmd {
	switch m := m.(type) {
	case TickMsg:
		return s.tick(m)
	case GossipMsg:
		return s.receive(m)
	case ProbedMsg:
		return s.probeDone(m)
	case SetSelfMsg:
		return s.setSelf(m)
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

// syncEvery returns the number of ticks between full synchronizations. Their size grows
// with the number of members, so the interval does too.
func (s *State) syncEvery() int { return max(s.cfg.SyncEvery, len(s.rows)) }

// expire declares suspects dead after the suspect timeout, and drops the records of dead
// members and of leaving and new servers after their retention.
func (s *State) expire(now time.Time) {
	for name, r := range s.rows {
		age := now.Sub(r.since)
		switch {
		case r.State == protocol.MemberSuspect && age >= s.cfg.SuspectTimeout:
			s.store(r, withState(r.Member, protocol.MemberDead), now)
		case r.State >= protocol.MemberDead && age >= s.cfg.DeadRetention:
			delete(s.rows, name)
		}
	}
	for server, l := range s.leaving {
		if leavingExpired(l.Leaving, now) {
			delete(s.leaving, server)
		}
	}
	for server, j := range s.joined {
		if now.Sub(j.Seen) > protocol.JoinedRetention {
			delete(s.joined, server)
		}
	}
}

// leavingExpired reports whether the retention of a leaving record is over. It counts from
// the time at which the record was created, so that a copy from another instance does not
// extend it.
func leavingExpired(l protocol.Leaving, now time.Time) bool {
	return now.Sub(l.Seen) > protocol.LeavingRetention
}

func withState(m protocol.Member, st protocol.MemberState) protocol.Member {
	m.State = st
	return m
}

// store stores a record and schedules it to be passed on.
func (s *State) store(r *row, m protocol.Member, now time.Time) {
	r.Member, r.since, r.sendsLeft = m, now, s.maxSends()
}

// maxSends returns how many times one instance passes a record on. It grows with the
// logarithm of the number of members, which reaches all of them with a wide margin.
func (s *State) maxSends() int {
	n := 3
	for size := len(s.rows); size > 0; size >>= 1 {
		n++
	}
	return n
}

// probe probes the next member of the round, and starts a new round after the last one.
func (s *State) probe(rnd *rand.Rand) []Cmd {
	for range len(s.probeOrder) + 1 {
		if len(s.probeOrder) == 0 {
			s.probeOrder = s.reachable()
			rnd.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
		}
		if len(s.probeOrder) == 0 {
			return s.contactSeeds()
		}
		name := s.probeOrder[0]
		s.probeOrder = s.probeOrder[1:]
		if r := s.rows[name]; r != nil && r.State < protocol.MemberDead {
			return []Cmd{ProbeCmd{Name: name, Address: r.Address, Gossip: s.pending(), Via: s.indirectProbers(name, rnd)}}
		}
	}
	return nil
}

// contactSeeds synchronizes with all seeds, while no other member is known.
func (s *State) contactSeeds() []Cmd {
	var cmds []Cmd
	for _, seed := range s.seeds {
		if seed.Name != s.self {
			cmds = append(cmds, SyncCmd{Address: seed.Address, Gossip: s.full()})
		}
	}
	return cmds
}

// indirectProbers returns the addresses of members that can probe the target for this one.
func (s *State) indirectProbers(target string, rnd *rand.Rand) []string {
	var addresses []string
	for _, name := range s.pickRandom(s.cfg.Indirect+1, rnd) {
		if name != target && len(addresses) < s.cfg.Indirect {
			addresses = append(addresses, s.rows[name].Address)
		}
	}
	return addresses
}

// sync synchronizes with one random member, with one random seed if that is not known to be
// alive, and with one random dead member: after a network partition, in which each side
// declared the other dead, the sides would otherwise never reconnect. Seeds alone do not
// suffice, since they may have ended for good meanwhile.
func (s *State) sync(rnd *rand.Rand) []Cmd {
	var cmds []Cmd
	for _, name := range s.pickRandom(1, rnd) {
		cmds = append(cmds, SyncCmd{Address: s.rows[name].Address, Gossip: s.full()})
	}
	if len(s.seeds) > 0 {
		seed := s.seeds[rnd.IntN(len(s.seeds))]
		if r := s.rows[seed.Name]; seed.Name != s.self && (r == nil || r.State >= protocol.MemberDead) {
			cmds = append(cmds, SyncCmd{Address: seed.Address, Gossip: s.full()})
		}
	}
	if dead := s.namesIn(protocol.MemberDead, protocol.MemberDead); len(dead) > 0 {
		cmds = append(cmds, SyncCmd{Address: s.rows[dead[rnd.IntN(len(dead))]].Address, Gossip: s.full()})
	}
	return cmds
}

// reachable returns the names of the other members that are alive or suspected, sorted.
func (s *State) reachable() []string {
	return s.namesIn(protocol.MemberAlive, protocol.MemberSuspect)
}

// namesIn returns the names of the other members in a range of states, sorted.
func (s *State) namesIn(first, last protocol.MemberState) []string {
	var names []string
	for name, r := range s.rows {
		if name != s.self && r.State >= first && r.State <= last {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pickRandom returns up to n reachable members at random.
func (s *State) pickRandom(n int, rnd *rand.Rand) []string {
	names := s.reachable()
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

// receive merges the records of another instance.
func (s *State) receive(m GossipMsg) []Cmd {
	var cmds []Cmd
	changed := false
	for _, rec := range m.Gossip.Members {
		if s.merge(rec, m.Now) {
			changed = true
			cmds = append(cmds, s.fetchNewer(rec)...)
		}
	}
	for _, l := range m.Gossip.Leaving {
		if _, ok := s.leaving[l.Server]; !ok && !leavingExpired(l, m.Now) {
			s.leaving[l.Server] = &leavingRow{Leaving: l, sendsLeft: s.maxSends()}
			changed = true
			cmds = append(cmds, ServerLeavingCmd{Leaving: l})
		}
	}
	for _, j := range m.Gossip.Joined {
		if _, ok := s.joined[j.Instance.ID]; !ok && m.Now.Sub(j.Seen) <= protocol.JoinedRetention {
			s.joined[j.Instance.ID] = &joinedRow{Joined: j, sendsLeft: s.maxSends()}
			changed = true
			cmds = append(cmds, ServerJoinedCmd{Joined: j})
		}
	}
	if changed && !m.Gossip.Full {
		cmds = append(cmds, s.push(m.Rand)...)
	}
	return cmds
}

// merge merges one member record and reports whether it changed this instance's view. A
// newer record of this instance itself is refuted.
func (s *State) merge(rec protocol.Member, now time.Time) bool {
	r := s.rows[rec.Name]
	if r == nil {
		if rec.State >= protocol.MemberDead {
			return false
		}
		r = &row{}
		s.rows[rec.Name] = r
		s.store(r, rec, now)
		return true
	}
	if !rec.Newer(r.Member) {
		return false
	}
	if rec.Name == s.self {
		return s.refute(r, rec, now)
	}
	s.store(r, rec, now)
	return true
}

// refute raises this instance's version above that of a record of it from elsewhere.
func (s *State) refute(r *row, rec protocol.Member, now time.Time) bool {
	if rec.Incarnation > r.Incarnation {
		return false // Another process with the same name; see the operators' page.
	}
	own := r.Member
	own.Version = rec.Version + 1
	s.store(r, own, now)
	return true
}

// fetchNewer fetches the configuration of another instance if it is newer.
func (s *State) fetchNewer(rec protocol.Member) []Cmd {
	if rec.Name == s.self || rec.Revision <= s.rows[s.self].Revision || rec.State >= protocol.MemberDead {
		return nil
	}
	return []Cmd{FetchConfigCmd{Address: rec.Address, Number: rec.Revision}}
}

// push sends the pending records to a few random members.
func (s *State) push(seed uint64) []Cmd {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var cmds []Cmd
	for _, name := range s.pickRandom(s.cfg.Fanout, rnd) {
		if n := s.pending(); len(n.Members)+len(n.Leaving)+len(n.Joined) > 0 {
			cmds = append(cmds, PushCmd{Address: s.rows[name].Address, Gossip: n})
		}
	}
	return cmds
}

// pending returns the records with sends left, and uses up one send of each.
func (s *State) pending() protocol.GossipMsg {
	n := protocol.GossipMsg{From: s.self}
	for _, name := range s.sortedNames() {
		if r := s.rows[name]; r.sendsLeft > 0 {
			r.sendsLeft--
			n.Members = append(n.Members, r.Member)
		}
	}
	for _, l := range s.sortedLeaving() {
		if l.sendsLeft > 0 {
			l.sendsLeft--
			n.Leaving = append(n.Leaving, l.Leaving)
		}
	}
	for _, j := range s.sortedJoined() {
		if j.sendsLeft > 0 {
			j.sendsLeft--
			n.Joined = append(n.Joined, j.Joined)
		}
	}
	return n
}

// Full returns all records, as sent in a full synchronization.
func (s *State) Full() protocol.GossipMsg { return s.full() }

func (s *State) full() protocol.GossipMsg {
	n := protocol.GossipMsg{From: s.self, Full: true}
	for _, name := range s.sortedNames() {
		n.Members = append(n.Members, s.rows[name].Member)
	}
	for _, l := range s.sortedLeaving() {
		n.Leaving = append(n.Leaving, l.Leaving)
	}
	for _, j := range s.sortedJoined() {
		n.Joined = append(n.Joined, j.Joined)
	}
	return n
}

func (s *State) sortedNames() []string {
	names := make([]string, 0, len(s.rows))
	for name := range s.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) sortedLeaving() []*leavingRow {
	rows := make([]*leavingRow, 0, len(s.leaving))
	for _, l := range s.leaving {
		rows = append(rows, l)
	}
	slices.SortFunc(rows, func(a, b *leavingRow) int { return strings.Compare(a.Server, b.Server) })
	return rows
}

func (s *State) sortedJoined() []*joinedRow {
	rows := make([]*joinedRow, 0, len(s.joined))
	for _, j := range s.joined {
		rows = append(rows, j)
	}
	slices.SortFunc(rows, func(a, b *joinedRow) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	return rows
}

// probeDone suspects a member that could be reached neither directly nor by others.
func (s *State) probeDone(m ProbedMsg) []Cmd {
	r := s.rows[m.Name]
	if m.Alive || r == nil || r.State != protocol.MemberAlive {
		return nil
	}
	s.store(r, withState(r.Member, protocol.MemberSuspect), m.Now)
	return s.push(m.Rand)
}

// setSelf updates this instance's own record, and pushes it if it changed.
func (s *State) setSelf(m SetSelfMsg) []Cmd {
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
	s.store(r, next, m.Now)
	return s.push(m.Rand)
}

func (s *State) serverLeaving(m ServerLeavingMsg) []Cmd {
	if _, ok := s.leaving[m.Leaving.Server]; ok {
		return nil
	}
	s.leaving[m.Leaving.Server] = &leavingRow{Leaving: m.Leaving, sendsLeft: s.maxSends()}
	return append([]Cmd{ServerLeavingCmd{Leaving: m.Leaving}}, s.push(m.Rand)...)
}

func (s *State) serverJoined(m ServerJoinedMsg) []Cmd {
	if _, ok := s.joined[m.Joined.Instance.ID]; ok {
		return nil
	}
	s.joined[m.Joined.Instance.ID] = &joinedRow{Joined: m.Joined, sendsLeft: s.maxSends()}
	return s.push(m.Rand)
}

// Rows returns the records of all members, sorted by name.
func (s *State) Rows() []state.MemberRow {
	rows := make([]state.MemberRow, 0, len(s.rows))
	for _, name := range s.sortedNames() {
		rows = append(rows, state.MemberRow{Member: s.rows[name].Member, Since: s.rows[name].since})
	}
	return rows
}
