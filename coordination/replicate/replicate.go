// Package replicate is the pure step of the replicated log.
//
// A [Replica] follows Raft: a leader per term, elected by a quorum of voters,
// appends entries; an entry is committed once a quorum has it on disk. Beyond
// the basic protocol it has
//
//   - a pre-vote, so that a replica that was cut off does not raise the term
//     when it comes back;
//   - a quorum check, so that a leader that was cut off steps down;
//   - a lease: a voter grants no vote within the election timeout of hearing
//     from a leader, so a leader that heard from a quorum knows for how long no
//     other can have been elected; timing.go tells how long that is where round
//     trips are long;
//   - a leader that hands over to another replica, so that no time passes
//     without one; see handover.go;
//   - reads confirmed by a quorum;
//   - members changed one at a time, through learners;
//   - identities that do not outlive a disk. An [ID] is a name with the
//     incarnation of its data folder. A message is for one incarnation, so a
//     replica that lost its disk cannot vote, or count, for what it forgot. It
//     joins as a learner, catches up, replaces its former self in two changes.
//
// [Replica.Update] does no I/O and reads no clock. It mutates the replica and
// returns commands. The driver must carry out the commands of a batch in this
// order: write the [PersistCmd]s and sync; only then send what is marked as
// Durable, and tell the replica by [SyncedMsg].
package replicate

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/roundtrip"
	"github.com/weldstream/weldstream/protocol"
)

// Errors of proposals and reads.
var (
	// ErrNotLeader is returned when another replica leads, or none.
	ErrNotLeader = eris.New("this replica does not lead")
	// ErrBusy is returned when a change of members is still under way.
	ErrBusy = eris.New("a change of members is under way")
)

// The types that are also on disk and on the wire.
type (
	// ID is the identity of a replica.
	ID = protocol.ReplicaID
	// Members are the replicas of a group.
	Members = protocol.ReplicaMembers
	// HardState is what must be on disk before a vote or a term is made known.
	HardState = protocol.HardState
	// Entry is one position of the log.
	Entry = protocol.LogEntry
	// SnapshotMeta describes a snapshot of the state machine.
	SnapshotMeta = protocol.SnapshotMeta
)

// The kinds of entries.
const (
	EntryCommand = protocol.EntryCommand
	EntryMembers = protocol.EntryMembers
)

// Role is what a replica does at the moment.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

// Config tunes a replica.
type Config struct {
	Election  time.Duration // Election is the least election timeout; the most is twice that.
	Heartbeat time.Duration // Heartbeat is between two messages of a leader to a replica.
	Batch     int           // Batch is the most bytes of entries in one message.
	Window    int           // Window is how many messages with entries may be on the way.

	// Copies is on how many disks an entry must be before it is committed, also
	// while the group is smaller than it should be; 0 asks for a quorum only.
	Copies int
	// Voters is how many replicas vote at the most; further ones stay learners and
	// take the place of a voter that is gone. 0 means no such bound.
	Voters int
	// Wide says that the replicas lie in several regions: times follow the round trips
	// that are observed, and leadership moves to where a quorum's is least.
	Wide bool
	// Gone is how long a voter may be silent before a learner that has caught up
	// takes its place; 0 means never.
	Gone time.Duration
}

// Defaults of a Config.
const (
	DefaultBatch  = 256 << 10
	DefaultWindow = 16
)

// progress is what a leader knows of another replica.
type progress struct {
	match         uint64        // match is the last index known to be on its disk.
	next          uint64        // next is the index to send next.
	probing       bool          // probing says that next is a guess after a refusal.
	inflight      int           // inflight counts messages with entries on the way.
	heard         time.Duration // heard is when it last answered.
	round         uint64        // round is the last round that it answered.
	tripAt        time.Duration // tripAt is when its round trip was observed last.
	promisedUntil time.Duration // promisedUntil is until when it elects no other, by this replica's clock, as far as it answered.
	snapshot      time.Duration // snapshot is when a snapshot was sent; 0 if none is on the way.
}

// pendingRead waits for a quorum to confirm that this replica still leads.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// Replica is one member of a replication group.
type Replica struct {
	cfg    Config
	id     ID
	hard   HardState
	log    Log
	role   Role
	leader ID

	commit uint64
	stable uint64 // stable is the last index on this replica's disk.

	now           time.Duration
	heardAt       time.Duration // heardAt is when a leader was last heard from.
	promisedUntil time.Duration // promisedUntil is the end of the longest promise to a leader.
	electionAt    time.Duration
	beatAt        time.Duration
	spread        time.Duration // spread is the random part of the election timeout.

	votes        map[ID]bool
	peers        map[ID]*progress
	round        uint64
	sent         sentRounds
	place        roundtrip.Place
	placeCheckAt time.Duration        // placeCheckAt is when the leader looks for a better place next.
	busy         bool                 // busy says that something is under way that a move would break off.
	leadSince    time.Duration        // leadSince is when this replica began to lead, or last failed to hand over.
	wantPromise  time.Duration        // wantPromise is the promise that this replica asks for as the leader.
	trips        *roundtrip.Table     // trips are those of pings between any two replicas.
	rounds       *roundtrip.Table     // rounds are those of a leader's rounds, with the syncs of the others.
	pingAt       time.Duration        // pingAt is when the other voters are pinged next.
	pings        map[ID]time.Duration // pings are those that wait for an answer.
	handover     handover
	reads        []pendingRead
	renewUntil   time.Duration // renewUntil is how long a former leader campaigns often.
	void         uint64        // void is the term whose leader leads no more, as this replica knows: its own before a start or a step down, or that of the leader that handed over.
	lease        time.Duration // lease is until when no other leader can have been elected.
	broken       bool          // broken says that the disk failed; nothing is promised any more.

	cmds []Cmd
}

// Start is what a replica starts from.
type Start struct {
	ID       ID
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry // Entries follow the snapshot.
	Now      time.Duration
	Rand     uint64
}

// New returns a replica that continues from what is on its disk. Until it has
// heard from a leader it waits out an election timeout before it votes, since
// its former self may have promised that. One that led the term itself does not
// wait; see renew.go.
func New(cfg Config, s Start) *Replica {
	r := &Replica{cfg: cfg, id: s.ID, hard: s.Hard, log: NewLog(s.Snapshot, s.Entries)}
	r.commit = s.Snapshot.Index
	r.stable = r.log.Last()
	r.now, r.heardAt = s.Now, s.Now
	r.trips, r.rounds = roundtrip.New(), roundtrip.New()
	r.restorePromise()
	r.spread = r.turn()
	r.electionAt = r.now + r.timeout() + r.spread
	r.resume()
	return r
}

// Update applies a message and returns what to do.
func (r *Replica) Update(m Msg) []Cmd {
	r.cmds = nil
	switch m := m.(type) {
	case TickMsg:
		r.tick(m)
	case StepMsg:
		r.now = max(r.now, m.Now)
		r.step(m.Message)
	case ProposeMsg:
		r.propose(m)
	case ReadMsg:
		r.read(m)
	case JoinMsg:
		r.join(m)
	case RemoveMsg:
		r.remove(m)
	case HandoverMsg:
		r.handOver(m)
	case SyncedMsg:
		r.synced(m)
	case CompactedMsg:
		r.log.Compact(m.Snapshot)
	case DiskFailedMsg:
		r.diskFailed()
	}
	return r.cmds
}

func (r *Replica) do(c Cmd) { r.cmds = append(r.cmds, c) }

func (r *Replica) persist(entries []Entry) {
	r.do(PersistCmd{Hard: r.hard, Entries: entries})
}

// tick lets time pass.
func (r *Replica) tick(m TickMsg) {
	r.now = max(r.now, m.Now)
	r.busy = m.Busy
	r.spread = time.Duration(m.Rand % uint64(r.timeout()))
	if r.broken {
		return
	}
	r.ping()
	if r.role == Leader {
		r.leaderTick()
		return
	}
	if r.now >= r.electionAt && r.log.Members().IsVoter(r.id) {
		r.campaign(PreCandidate)
	}
}

// turnShare of an election timeout is between the first campaigns of two replicas
// that were started together: some round trips and syncs.
const turnShare = 20

// turn is by how much the first campaign after a start is put off. Replicas that were
// started together campaign in the order of the members, the first of them at once,
// so that no time is left for chance and two seldom split the votes; later campaigns
// are spread at random, as this order may be the reason why one failed.
func (r *Replica) turn() time.Duration {
	place := max(0, slices.Index(r.log.Members().Voters, r.id))
	return min(r.timeout(), time.Duration(place)*r.timeout()/turnShare)
}

// becomeFollower takes on a term. A new term has no vote yet.
func (r *Replica) becomeFollower(term uint64, leader ID) {
	if term > r.hard.Term {
		r.hard = HardState{Term: term, Promise: r.hard.Promise}
		r.persist(nil)
	}
	if r.role == Leader {
		r.stepDown()
	}
	r.role, r.leader = Follower, leader
	r.votes = nil
	r.electionAt = r.now + r.timeout() + r.spread
}

// stepDown gives up what only a leader holds. Proposals that are not committed
// have an unknown outcome.
func (r *Replica) stepDown() {
	r.peers, r.sent = nil, sentRounds{}
	r.lease = 0
	r.refuseHeld()
	for _, rd := range r.reads {
		r.do(ReadCmd{Token: rd.token, Err: ErrNotLeader})
	}
	r.reads = nil
	r.do(SteppedDownCmd{Term: r.hard.Term})
}

// diskFailed stops everything that would need the disk. The replica still
// learns who leads, but neither votes nor counts.
func (r *Replica) diskFailed() {
	r.broken = true
	if r.role == Leader {
		r.stepDown()
	}
	r.role, r.leader = Follower, ID{}
}

// Status is a replica's state for the dump.
type Status struct {
	ID       ID            `json:"id"`
	Role     string        `json:"role"`
	Term     uint64        `json:"term"`
	Leader   ID            `json:"leader"`
	Commit   uint64        `json:"commit"`
	Last     uint64        `json:"last"`
	Stable   uint64        `json:"stable"`
	Snapshot uint64        `json:"snapshot"`
	Members  Members       `json:"members"`
	Broken   bool          `json:"broken"`  // Broken says that the disk failed.
	Lease    time.Duration `json:"lease"`   // Lease is on the clock of TickMsg.Now.
	Timeout  time.Duration `json:"timeout"` // Timeout is the least election timeout that this replica goes by.
}

// Status returns the replica's state.
func (r *Replica) Status() Status {
	return Status{
		ID:       r.id,
		Role:     r.role.String(),
		Term:     r.hard.Term,
		Leader:   r.leader,
		Commit:   r.commit,
		Last:     r.log.Last(),
		Stable:   r.stable,
		Snapshot: r.log.Snapshot().Index,
		Members:  r.log.Members(),
		Broken:   r.broken,
		Lease:    r.lease,
		Timeout:  r.timeout(),
	}
}

// Lease returns until when no other leader can have been elected, on the clock of
// TickMsg.Now; 0 for a replica that does not lead.
func (r *Replica) Lease() time.Duration { return r.lease }

// Leads reports whether the replica leads, and its term, the fence of its
// orders.
func (r *Replica) Leads() (term uint64, ok bool) { return r.hard.Term, r.role == Leader }

// Settled reports whether this replica leads and a state machine that has
// applied up to an index has all that earlier leaders committed.
func (r *Replica) Settled(applied uint64) bool {
	term, ok := r.log.Term(applied)
	return r.role == Leader && ok && term == r.hard.Term
}

// SnapshotMetaAt describes a snapshot of the state machine at an applied index;
// ok is false when the log does not reach there.
func (r *Replica) SnapshotMetaAt(index uint64) (meta SnapshotMeta, ok bool) {
	term, ok := r.log.Term(index)
	if !ok || index > r.commit {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: index, Term: term, Members: r.log.MembersAt(index)}, true
}

// Tail returns the entries behind the snapshot.
func (r *Replica) Tail() []Entry {
	const all = 1 << 62
	return r.log.Slice(r.log.Snapshot().Index+1, r.log.Last(), all)
}
