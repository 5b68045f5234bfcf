// Package group runs one replica of a replication group: it supplies the deterministic
// state machine of package replicate with a clock, a disk and peers, and applies
// committed entries to the replicated state.
//
// One goroutine, the loop, owns the replica and the data folder. It processes the inputs
// queued in its inbox as one batch, writes everything that the batch has to persist as
// one frame with one sync (group commit), and only then sends the messages that depend
// on it. Inputs that arrive during the sync form the next batch.
//
// A group is bootstrapped once, when all founders are up and none of them belongs to a
// group yet. A replica whose folder is new while those of the others are not is either
// new or has lost its disk: it joins as a learner.
package group

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/state/wal"
)

// Errors of proposals and reads.
var (
	// ErrOutcomeUnknown is returned when a proposal may or may not be committed.
	ErrOutcomeUnknown = eris.New("the outcome of the proposal is not known")
	// ErrDisk is returned after a write to this replica's disk has failed.
	ErrDisk = eris.New("this replica's disk failed")
	// ErrFull is returned when the disk has only its reserve left.
	ErrFull = eris.New("this replica's disk is full")
	// ErrNoGroup is returned before the group is bootstrapped or joined.
	ErrNoGroup = eris.New("this replica belongs to no group yet")
)

const (
	inboxSize = 4096
	// slowSyncDivisor is the part of an election timeout from which on a sync is logged: a
	// leader that syncs for the rest as well loses its lease.
	slowSyncDivisor = 2
	// DefaultBatch is the default of Config.Batch.
	DefaultBatch      = 512
	ticksPerHeartbeat = 4 // ticksPerHeartbeat is the number of ticks per heartbeat interval.
)

// Sender sends messages to other replicas. It must not block, and may drop messages.
type Sender interface {
	Send(group uint64, m replicate.Message)
}

// Config tunes a group.
type Config struct {
	Replica         replicate.Config
	SnapshotEntries int    // SnapshotEntries is the number of applied entries between two snapshots.
	Batch           int    // Batch is the maximum number of inputs per batch; 0 means DefaultBatch.
	Reserve         uint64 // Reserve is the disk space in bytes that is kept free to finish claims that were begun.
	// Rejoin moves a damaged data folder aside and lets the replica rejoin the group as
	// after the loss of its disk. Without it, as for the only replica of a group, Open
	// fails on a damaged folder.
	Rejoin bool
}

// Option configures a new group.
type Option func(*Group)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(l zerolog.Logger) Option { return func(g *Group) { g.log = l } }

// WithRevision sets the callback for each accepted configuration.
func WithRevision(f func(number uint64, config []byte)) Option {
	return func(g *Group) { g.revision = f }
}

// WithDocument sets the callback for each accepted opaque document.
func WithDocument(f func(number uint64, data []byte)) Option {
	return func(g *Group) { g.document = f }
}

// WithRollouts sets the callback that gets all rollouts whenever one changes.
func WithRollouts(f func(protocol.RolloutLog)) Option {
	return func(g *Group) { g.rollouts = f }
}

// WithQuarantine sets the callback that gets the quarantine whenever it changes.
func WithQuarantine(f func(protocol.QuarantineLog)) Option {
	return func(g *Group) { g.quarantine = f }
}

// WithBrittleServices sets the callback that gets the services with brittle servers whenever they change.
func WithBrittleServices(f func([]protocol.BrittleService)) Option {
	return func(g *Group) { g.brittle = f }
}

// WithTimeOfDay sets the wall clock that commands are timestamped with; the default is
// the system clock.
func WithTimeOfDay(f func() time.Time) Option { return func(g *Group) { g.timeOfDay = f } }

// Group is one replica of a replication group.
type Group struct {
	timeOfDay   func() time.Time
	moveBlocked func() bool

	meters   *meters
	document func(number uint64, data []byte)
	rollouts func(protocol.RolloutLog)

	quarantine func(protocol.QuarantineLog)
	brittle    func([]protocol.BrittleService)

	dir       string
	cfg       Config
	id        protocol.ReplicaID
	folder    *wal.Folder
	loaded    *wal.Loaded
	sender    Sender
	log       zerolog.Logger
	revision  func(number uint64, config []byte)
	inbox     chan input
	done      chan struct{}
	status    atomic.Pointer[Status]
	changed   atomic.Pointer[chan struct{}] // changed is closed and replaced whenever leadership changes.
	startedAt time.Time

	// The fields below are owned by the loop.
	replica            *replicate.Replica
	machine            *state.Machine
	applied            uint64
	requests           map[uint64]*request // requests are those that the replica has not answered yet, by token.
	proposals          map[uint64]*request // proposals are in the log and not yet applied, by index.
	reads              []*request          // reads are confirmed, and wait until their index is applied.
	token              uint64
	hardState          replicate.HardState
	pending            []replicate.PersistCmd
	afterSync          []replicate.Message // afterSync are sent after the next sync.
	reportedRevision   uint64              // reportedRevision is the number of the latest configuration passed to the callback.
	reportedDocument   uint64              // reportedDocument is the same for the opaque document.
	reportedRollouts   uint64              // reportedRollouts is the count of rollout changes at the latest callback.
	reportedQuarantine uint64              // reportedQuarantine is the same for the quarantine.
	reportedBrittle    uint64              // reportedBrittle is the same for the services with brittle servers.
	snapshots          chan savedSnapshot
	savingSnapshot     bool
	failed             bool
	failedAt           time.Duration // failedAt is when the disk last failed, or reopening was last tried.
	full               bool
	trips              roundTrips
	campaignStart      time.Duration // campaignStart is when this replica began to campaign; 0 if it is not campaigning.
	nextSpaceCheck     time.Duration // nextSpaceCheck is when the free space is checked next.
}

// input is an item of the inbox: a message for the replica, a request whose caller waits
// for the outcome, or a func to run.
type input struct {
	msg     replicate.Msg
	request *request
	do      func() // do is run in the loop.
}

// savedSnapshot is the outcome of writing a snapshot.
type savedSnapshot struct {
	meta replicate.SnapshotMeta
	err  error
}

// Open opens the data folder of a replica. The replica is inactive until Run is called.
func Open(cfg Config, dir, name string, sender Sender, opts ...Option) (*Group, error) {
	if cfg.Batch == 0 {
		cfg.Batch = DefaultBatch
	}
	g := &Group{
		cfg:      cfg,
		sender:   sender,
		log:      zerolog.Nop(),
		revision: func(uint64, []byte) {},
		document: func(uint64, []byte) {},
		rollouts: func(protocol.RolloutLog) {},

		quarantine: func(protocol.QuarantineLog) {},
		brittle:    func([]protocol.BrittleService) {},

		meters:      discardMeters(),
		timeOfDay:   time.Now,
		moveBlocked: func() bool { return false },
		dir:         dir,
		inbox:       make(chan input, inboxSize),
		done:        make(chan struct{}),
		startedAt:   clock.Now(),
		machine:     state.NewMachine(),
		requests:    map[uint64]*request{},
		proposals:   map[uint64]*request{},
		snapshots:   make(chan savedSnapshot, 1),
	}
	first := make(chan struct{})
	g.changed.Store(&first)
	for _, opt := range opts {
		opt(g)
	}
	if err := g.open(name); err != nil {
		return nil, err
	}
	if err := g.restoreLoaded(); err != nil {
		return nil, err
	}
	g.start()
	return g, nil
}

// open opens the data folder. With Config.Rejoin a damaged folder is moved aside and
// replaced by a new one, since the other members of the group hold its data.
func (g *Group) open(name string) (err error) {
	g.folder, g.loaded, err = wal.Open(g.dir, name)
	if errors.Is(err, wal.ErrDamaged) && g.cfg.Rejoin {
		g.log.Error().Err(err).Msg("data folder is damaged; moving it aside and rejoining the group as a learner")
		if err := wal.SetAside(g.dir); err != nil {
			return err
		}
		g.folder, g.loaded, err = wal.Open(g.dir, name)
	}
	if err != nil {
		return err
	}
	g.id = g.folder.ID()
	return nil
}

// restoreLoaded restores the state from the snapshot in the data folder.
func (g *Group) restoreLoaded() error {
	if g.loaded.Torn > 0 {
		g.log.Warn().Int64("bytes", g.loaded.Torn).Msg("truncated an incomplete write at the end of the log")
	}
	g.applied = g.loaded.Snapshot.Index
	if g.loaded.Data == nil {
		return nil
	}
	return g.machine.Restore(g.loaded.Data)
}

// start creates the replica from the contents of the data folder.
func (g *Group) start() {
	snap := g.loaded.Snapshot
	if snap.Index == 0 {
		snap.Members = g.folder.Founders()
	}
	g.hardState = g.loaded.Hard
	g.replica = replicate.New(g.cfg.Replica, replicate.Start{
		ID:       g.folder.ID(),
		Hard:     g.hardState,
		Snapshot: snap,
		Entries:  g.loaded.Entries,
		Now:      g.now(),
		Rand:     rand.Uint64(),
	})
	g.publish()
}

// now returns the time since the start on a monotonic clock.
func (g *Group) now() time.Duration { return clock.Since(g.startedAt) }

// ID returns the replica's identity.
func (g *Group) ID() protocol.ReplicaID { return g.id }

// Run runs the loop until ctx ends, and closes the data folder.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	tick := time.NewTicker(max(g.cfg.Replica.Heartbeat/ticksPerHeartbeat, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			g.failAll(ErrOutcomeUnknown)
			return g.folder.Close()
		case <-tick.C:
			g.update(replicate.TickMsg{Now: g.now(), Rand: rand.Uint64(), Busy: g.moveBlocked()})
		case in := <-g.inbox:
			g.handleInput(in)
			g.drainInbox()
		case s := <-g.snapshots:
			g.rotate(s)
		}
		g.flush()
		g.reopenIfDue()
		g.snapshotIfDue()
		g.checkSpace()
		g.publish()
	}
}

// drainInbox handles the inputs that are already queued, up to the size of a batch.
func (g *Group) drainInbox() {
	for range g.cfg.Batch - 1 {
		select {
		case in := <-g.inbox:
			g.handleInput(in)
		default:
			return
		}
	}
}

func (g *Group) handleInput(in input) {
	switch {
	case in.do != nil:
		in.do()
	case in.request == nil:
		if step, ok := in.msg.(replicate.StepMsg); ok {
			step.Now = g.now()
			in.msg = step
		}
		g.update(in.msg)
	case g.failed:
		in.request.done <- outcome{err: ErrDisk}
	case g.folder.Group() == 0:
		in.request.done <- outcome{err: ErrNoGroup}
	default:
		g.startRequest(in.request)
	}
}

// update passes a message to the replica and executes the commands that it returns. A
// lease that was released or shortened is published first: the messages sent here may
// let another replica become leader before this batch is on disk.
func (g *Group) update(m replicate.Msg) {
	cmds := g.replica.Update(m)
	if g.replica.Lease() < g.status.Load().Lease {
		g.publish()
	}
	for _, cmd := range cmds {
		g.execute(cmd)
	}
}

func (g *Group) execute(cmd replicate.Cmd) {
	switch cmd := cmd.(type) {
	case replicate.PersistCmd:
		g.pending = append(g.pending, cmd)
	case replicate.SendCmd:
		g.send(cmd)
	case replicate.SendSnapshotCmd:
		g.sendSnapshot(cmd)
	case replicate.RestoreCmd:
		g.restore(cmd)
	case replicate.ApplyCmd:
		g.apply(cmd.Entries)
	case replicate.ProposedCmd:
		g.handleProposed(cmd)
	case replicate.ReadCmd:
		g.handleRead(cmd)
	case replicate.RemoveCmd:
		g.answer(cmd.Token, outcome{err: cmd.Err})
	case replicate.HandoverCmd:
		g.handoverDone(cmd)
	case replicate.MoveCmd:
		g.logMove(cmd)
	case replicate.ElectedCmd:
		g.log.Info().Uint64("term", cmd.Term).Msg("elected leader")
		g.publish() // Before the others learn of it, since they may then redirect clients here.
	case replicate.CampaignCmd, replicate.VoteRefusedCmd, replicate.HandoverReceivedCmd:
		g.logElection(cmd)
	case replicate.SteppedDownCmd:
		g.log.Info().Uint64("term", cmd.Term).Msg("no longer leader")
		g.failProposals()
	}
}

// send sends a message now, or after the next sync if it depends on durable state.
func (g *Group) send(cmd replicate.SendCmd) {
	if cmd.Durable {
		g.afterSync = append(g.afterSync, cmd.Message)
		return
	}
	g.sender.Send(g.folder.Group(), cmd.Message)
}

// flush persists the batch with one sync and then sends the messages that depend on it.
// Reporting the sync to the replica can add further writes and messages, so it repeats
// until there are no more.
func (g *Group) flush() {
	for len(g.pending) > 0 && !g.failed {
		if err := g.write(); err != nil {
			g.failDisk(err)
			return
		}
	}
	for _, m := range g.afterSync {
		g.sender.Send(g.folder.Group(), m)
	}
	g.afterSync = g.afterSync[:0]
}

// write writes all pending entries and the latest hard state with one sync, and reports
// the sync to the replica.
func (g *Group) write() error {
	var entries []replicate.Entry
	for _, p := range g.pending {
		g.hardState = p.Hard
		entries = append(entries, p.Entries...)
	}
	g.pending = g.pending[:0]
	began := time.Now()
	if err := g.folder.Write(g.hardState, entries); err != nil {
		return err
	}
	g.meters.sync.UpdateSince(began)
	if took := time.Since(began); took > g.cfg.Replica.Election/slowSyncDivisor {
		g.log.Warn().Dur("took", took).Int("entries", len(entries)).Str("role", g.status.Load().Role).Msg("slow disk sync delayed this replica's messages")
	}
	synced := replicate.SyncedMsg{}
	if n := len(entries); n > 0 {
		synced.Index, synced.Term = entries[n-1].Index, entries[n-1].Term
	}
	g.update(synced)
	return nil
}

// failDisk takes this replica out of service after a failed write: its state in memory
// may be ahead of the disk, so it must not go on from that.
func (g *Group) failDisk(err error) {
	g.failed, g.failedAt = true, g.now()
	g.pending, g.afterSync = nil, nil
	g.log.Error().Err(err).Msg("disk write failed; this replica does not vote until its data folder is reopened")
	g.update(replicate.DiskFailedMsg{})
	g.pending, g.afterSync = nil, nil
	g.failAll(ErrDisk)
}
