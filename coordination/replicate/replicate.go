// Package replicate implements a Raft replica as a deterministic state machine without
// I/O.
//
// A [Replica] follows Raft: a quorum of voters elects one leader per term, the leader
// appends entries, and an entry is committed once a quorum has it on disk. On top of the
// basic protocol it has
//
//   - a pre-vote, so that a replica that was partitioned does not raise the term
//     when it reconnects;
//   - a quorum check, so that a partitioned leader steps down;
//   - a leader lease: a voter grants no vote within the election timeout of hearing
//     from a leader, so a leader that heard from a quorum knows how long no other
//     leader can be elected; timing.go says how long that is when round trips are
//     long;
//   - leadership transfer (handover), so that a planned stop leaves no time
//     without a leader; see handover.go;
//   - linearizable reads confirmed by a quorum;
//   - membership changes one replica at a time, with learners;
//   - identities bound to a disk. An [ID] is a name with the incarnation of its
//     data folder, and a message is addressed to one incarnation. A replica that
//     lost its disk therefore cannot vote, or be counted, for what it no longer
//     has. It joins as a learner, catches up, and replaces its old incarnation in
//     two membership changes.
//
// [Replica.Update] does no I/O and reads no clock. It changes the replica and returns
// commands. The driver must execute the commands of a batch in this order: write the
// [PersistCmd]s and sync them; only then send the messages marked Durable and report the
// sync with a [SyncedMsg].
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
	// ErrNotLeader is returned by a replica that is not the leader.
	ErrNotLeader = eris.New("this replica does not lead")
	// ErrBusy is returned while a membership change or a handover is in progress, and for
	// a handover for which no replica answers or that is not complete by its deadline.
	ErrBusy = eris.New("a membership change or handover is in progress, or no replica could take over")
)

// Types that are also stored on disk and sent over the network.
type (
	// ID is the identity of a replica.
	ID = protocol.ReplicaID
	// Members are the replicas of a group.
	Members = protocol.ReplicaMembers
	// HardState is the state that must be on disk before a vote or a term is made known
	// to other replicas.
	HardState = protocol.HardState
	// Entry is one entry of the log.
	Entry = protocol.LogEntry
	// SnapshotMeta describes a snapshot of the state machine.
	SnapshotMeta = protocol.SnapshotMeta
)

// The kinds of entries.
const (
	EntryCommand = protocol.EntryCommand
	EntryMembers = protocol.EntryMembers
)

// Role is the current Raft role of a replica.
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

// Config configures a replica.
type Config struct {
	Election  time.Duration // Election is the minimum election timeout; the maximum is twice that.
	Heartbeat time.Duration // Heartbeat is the interval of a leader's messages to each replica.
	Batch     int           // Batch limits the bytes of entries in one message.
	Window    int           // Window limits the unacknowledged messages with entries per replica.

	// Copies is how many disks must have an entry before it is committed, even while the
	// group has fewer replicas than intended; 0 requires only a quorum.
	Copies int
	// Voters limits the number of voters. Further replicas stay learners and replace
	// voters that fail. 0 means no limit.
	Voters int
	// Wide says that the replicas are in several regions: timeouts adapt to observed
	// round-trip times, and leadership moves to the replica with the shortest round trip
	// to a quorum.
	Wide bool
	// Gone is how long a voter may be silent before a caught-up learner replaces it; 0
	// means that it is never replaced.
	Gone time.Duration
}

// Defaults of a Config.
const (
	DefaultBatch  = 256 << 10
	DefaultWindow = 16
)

// progress is the replication state that a leader keeps for another replica.
type progress struct {
	match             uint64        // match is the highest index known to be on its disk.
	next              uint64        // next is the index of the next entry to send.
	probing           bool          // probing says that next is a guess after a rejected append.
	inflight          int           // inflight counts unacknowledged messages with entries.
	lastContact       time.Duration // lastContact is when it last answered.
	answeredRound     uint64        // answeredRound is the latest heartbeat round that it answered.
	latencyObservedAt time.Duration // latencyObservedAt is when its round-trip time was last recorded.
	promisedUntil     time.Duration // promisedUntil is until when, on this replica's clock, it will vote for no other candidate, according to its answers.
	snapshotSentAt    time.Duration // snapshotSentAt is when the outstanding snapshot was sent; 0 if there is none.
}

// pendingRead is a read that waits for a quorum to confirm this replica's leadership.
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

	now              time.Duration
	leaderContactAt  time.Duration // leaderContactAt is when a leader was last heard from.
	promisedUntil    time.Duration // promisedUntil is the end of the longest promise to a leader.
	electionDeadline time.Duration
	nextHeartbeatAt  time.Duration
	electionJitter   time.Duration // electionJitter is the random part of the election timeout.

	votes                map[ID]bool
	voteRequestsAt       time.Duration // voteRequestsAt is when the votes that are missing are requested again.
	peers                map[ID]*progress
	round                uint64
	sentRounds           sentRounds
	placement            roundtrip.Placer
	nextPlacementCheckAt time.Duration        // nextPlacementCheckAt is when the leader next checks whether another replica is better placed to lead.
	busy                 bool                 // busy says that an operation is in progress that a change of leader would abort.
	firstLeader          bool                 // firstLeader is whether the log was empty when this replica last became the leader.
	leaderSince          time.Duration        // leaderSince is when this replica became the leader, or when its last handover failed.
	requestedPromise     time.Duration        // requestedPromise is the promise that this replica requests as the leader.
	pingTrips            *roundtrip.Table     // pingTrips are the ping round-trip times between any two replicas.
	roundLatencies       *roundtrip.Table     // roundLatencies are the latencies of a leader's heartbeat rounds, including the followers' syncs.
	nextPingAt           time.Duration        // nextPingAt is when the other voters are pinged next.
	pendingPings         map[ID]time.Duration // pendingPings holds the send times of unanswered pings.
	handover             handover
	offer                leadershipOffer
	retiring             bool // retiring says that this replica is about to end and does not campaign.
	reads                []pendingRead
	reelectionUntil      time.Duration // reelectionUntil is until when a restarted former leader campaigns at short intervals.
	voidTerm             uint64        // voidTerm is a term whose leader is known to have stopped leading: this replica's own before a restart or step-down, or that of a leader that handed over.
	leaseUntil           time.Duration // leaseUntil is until when no other leader can be elected.
	diskFailed           bool          // diskFailed says that the disk failed; the replica makes no further promises.

	cmds []Cmd
}

// Start is the state that a replica starts from.
type Start struct {
	ID       ID
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry // Entries are the entries after the snapshot.
	Now      time.Duration
	Rand     uint64
}

// New returns a replica that continues from its state on disk. It does not vote before an
// election timeout has passed, since it may have promised that to a leader before the
// restart. A replica that led the latest term itself does not wait; see renew.go.
func New(cfg Config, s Start) *Replica {
	r := &Replica{cfg: cfg, id: s.ID, hard: s.Hard, log: NewLog(s.Snapshot, s.Entries)}
	r.commit = s.Snapshot.Index
	r.stable = r.log.Last()
	r.now, r.leaderContactAt = s.Now, s.Now
	r.pingTrips, r.roundLatencies = roundtrip.New(), roundtrip.New()
	r.restorePromise()
	r.electionJitter = r.startStagger()
	r.electionDeadline = r.now + r.electionTimeout() + r.electionJitter
	r.startReelection()
	return r
}

// Update processes a message and returns the commands to execute.
func (r *Replica) Update(m Msg) []Cmd {
	r.cmds = nil
	switch m := m.(type) {
	case TickMsg:
		r.handleTick(m)
	case StepMsg:
		r.now = max(r.now, m.Now)
		r.step(m.Message)
	case ProposeMsg:
		r.propose(m)
	case ReadMsg:
		r.read(m)
	case JoinMsg:
		r.handleJoin(m)
	case RemoveMsg:
		r.handleRemove(m)
	case HandoverMsg:
		r.startHandover(m)
	case SyncedMsg:
		r.handleSynced(m)
	case CompactedMsg:
		r.log.Compact(m.Snapshot)
	case DiskFailedMsg:
		r.handleDiskFailure()
	}
	return r.cmds
}

func (r *Replica) emit(c Cmd) { r.cmds = append(r.cmds, c) }

func (r *Replica) persist(entries []Entry) {
	r.emit(PersistCmd{Hard: r.hard, Entries: entries})
}

// handleTick advances the clock.
func (r *Replica) handleTick(m TickMsg) {
	r.now = max(r.now, m.Now)
	r.busy = m.Busy
	r.electionJitter = time.Duration(m.Rand % uint64(r.electionTimeout()))
	if r.diskFailed {
		return
	}
	r.ping()
	if r.role == Leader {
		r.leaderTick()
		return
	}
	r.repeatOffer()
	r.repeatVoteRequests()
	if r.now >= r.electionDeadline && r.log.Members().IsVoter(r.id) && !r.retiring {
		r.campaign(PreCandidate)
	}
}

// Replicas that start together make their first campaigns 1/startStaggerDivisor of an
// election timeout apart, which is enough for a few round trips and syncs.
const startStaggerDivisor = 20

// startStagger returns the delay of the first campaign after the election timeout of a
// start. Replicas that start together campaign in the order of the member list, the first
// one without delay, so that no time is spent on a random delay and votes are seldom
// split. Later campaigns have a random delay, because this order may be the reason why
// one failed.
func (r *Replica) startStagger() time.Duration {
	position := max(0, slices.Index(r.log.Members().Voters, r.id))
	return min(r.electionTimeout(), time.Duration(position)*r.electionTimeout()/startStaggerDivisor)
}

// becomeFollower becomes a follower in the given term. A new term starts without a vote.
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
	r.electionDeadline = r.now + r.electionTimeout() + r.electionJitter
}

// stepDown discards the leader's state. The outcome of uncommitted proposals is unknown.
func (r *Replica) stepDown() {
	r.peers, r.sentRounds = nil, sentRounds{}
	r.leaseUntil = 0
	r.rejectHeldRequests()
	for _, rd := range r.reads {
		r.emit(ReadCmd{Token: rd.token, Err: ErrNotLeader})
	}
	r.reads = nil
	r.emit(SteppedDownCmd{Term: r.hard.Term})
}

// handleDiskFailure stops everything that needs the disk. The replica still learns who
// leads, but does not vote and is not counted towards a quorum.
func (r *Replica) handleDiskFailure() {
	r.diskFailed = true
	if r.role == Leader {
		r.stepDown()
	}
	r.role, r.leader = Follower, ID{}
}

// Status is a snapshot of a replica's state for diagnostics.
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
	First    bool          `json:"first"`   // First reports that this replica leads and that no earlier leader committed anything: its log was empty when it was elected.
	Broken   bool          `json:"broken"`  // Broken says that the disk failed.
	Joining  bool          `json:"joining"` // Joining says that this replica asks the group to add it.
	Health   Health        `json:"health"`
	Lease    time.Duration `json:"lease"`   // Lease is the end of the lease on the clock of TickMsg.Now.
	Timeout  time.Duration `json:"timeout"` // Timeout is the current minimum election timeout.
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
		First:    r.role == Leader && r.firstLeader,
		Broken:   r.diskFailed,
		Joining:  r.NeedsToJoin(),
		Health:   r.Health(),
		Lease:    r.leaseUntil,
		Timeout:  r.electionTimeout(),
	}
}

// Lease returns the time until which no other leader can be elected, on the clock of
// TickMsg.Now, or 0 if the replica is not the leader.
func (r *Replica) Lease() time.Duration { return r.leaseUntil }

// Leads reports whether the replica is the leader, and its term, which serves as the
// fencing token of its orders.
func (r *Replica) Leads() (term uint64, ok bool) { return r.hard.Term, r.role == Leader }

// Settled reports whether this replica is the leader and a state machine that has applied
// everything up to the given index has all that earlier leaders committed.
func (r *Replica) Settled(applied uint64) bool {
	term, ok := r.log.Term(applied)
	return r.role == Leader && ok && term == r.hard.Term
}

// SnapshotMetaAt returns the metadata of a snapshot of the state machine at an applied
// index; ok is false when the log does not contain that index.
func (r *Replica) SnapshotMetaAt(index uint64) (meta SnapshotMeta, ok bool) {
	term, ok := r.log.Term(index)
	if !ok || index > r.commit {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: index, Term: term, Members: r.log.MembersAt(index)}, true
}

// Tail returns the entries after the snapshot.
func (r *Replica) Tail() []Entry {
	const all = 1 << 62
	return r.log.Slice(r.log.Snapshot().Index+1, r.log.Last(), all)
}
