// Package group drives one replica of a replication group: it gives the pure
// step of package replicate its clock, its disk and its peers, and applies
// what is committed to the state machine.
//
// One goroutine owns the replica and the folder. It takes what waits in its
// inbox as one batch, runs the step over it, writes all that the batch has to
// persist as one frame with one sync (group commit), and only then sends the
// messages that depend on it. While it syncs, the next batch gathers.
//
// A group is founded once, when all founders are up and none of them belongs
// to a group yet. A replica whose folder is new while the others' are not is
// one whose disk was lost, or a new one: it joins as a learner.
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
	// ErrUnknown is returned when a proposal may or may not be committed.
	ErrUnknown = eris.New("the outcome of the proposal is not known")
	// ErrDisk is returned when this replica's disk failed.
	ErrDisk = eris.New("this replica's disk failed")
	// ErrFull is returned when the disk has no room for more.
	ErrFull = eris.New("this replica's disk is full")
	// ErrNoGroup is returned before the group is founded or joined.
	ErrNoGroup = eris.New("this replica belongs to no group yet")
)

const (
	inboxSize = 4096
	// DefaultBatch is how many inputs are committed together at most.
	DefaultBatch = 512
	ticks        = 4 // ticks are so many in a heartbeat interval.
)

// Sender sends messages to other replicas, without waiting, and may lose them.
type Sender interface {
	Send(group uint64, m replicate.Message)
}

// Config tunes a group.
type Config struct {
	Replica         replicate.Config
	SnapshotEntries int    // SnapshotEntries is how many entries are applied between two snapshots.
	Batch           int    // Batch is how many inputs are committed together; 0 means the default.
	Reserve         uint64 // Reserve is how many bytes of the disk are kept free for what must be finished.
	// Rejoin has a damaged folder set aside, and the replica join the group anew as
	// after a lost disk. Without it, as for a replica that is alone, damage stops
	// the start.
	Rejoin bool
}

// Option changes a new group.
type Option func(*Group)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(g *Group) { g.log = l } }

// WithRevision sets the func that is called with each accepted configuration.
func WithRevision(f func(number uint64, config []byte)) Option {
	return func(g *Group) { g.revision = f }
}

// WithDocument sets the func that is called with each opaque document that is accepted.
func WithDocument(f func(number uint64, data []byte)) Option {
	return func(g *Group) { g.document = f }
}

// WithRollouts sets the func that is called with the roll-outs whenever one changes.
func WithRollouts(f func(protocol.RolloutLog)) Option {
	return func(g *Group) { g.rollouts = f }
}

// WithQuarantine sets the func that is called with the quarantine whenever it changes.
func WithQuarantine(f func(protocol.QuarantineLog)) Option {
	return func(g *Group) { g.quarantine = f }
}

// WithTimeOfDay sets what tells the time of day, by which commands are stamped;
// without it the machine's clock does.
func WithTimeOfDay(f func() time.Time) Option { return func(g *Group) { g.timeOfDay = f } }

// Group is one replica of a replication group.
type Group struct {
	timeOfDay func() time.Time
	busy      func() bool

	meters   *meters
	document func(number uint64, data []byte)
	rollouts func(protocol.RolloutLog)

	quarantine func(protocol.QuarantineLog)

	dir      string
	cfg      Config
	id       protocol.ReplicaID
	folder   *wal.Folder
	loaded   *wal.Loaded
	sender   Sender
	log      zerolog.Logger
	revision func(number uint64, config []byte)
	inbox    chan input
	done     chan struct{}
	status   atomic.Pointer[Status]
	changed  atomic.Pointer[chan struct{}] // changed is closed and replaced when who leads, or whether it vouches, changes.
	began    time.Time

	// The loop's own.
	replica          *replicate.Replica
	machine          *state.Machine
	applied          uint64
	waiting          map[uint64]*waiter // waiting are proposals and reads, by token.
	atIndex          map[uint64]*waiter // atIndex are proposals, by index.
	reads            []*waiter          // reads wait for an index to be applied.
	token            uint64
	hard             replicate.HardState
	pending          []replicate.PersistCmd
	held             []replicate.Message
	reported         uint64 // reported is the number of the configuration last reported.
	reportedDoc      uint64 // reportedDoc is the number of the document last reported.
	reportedRollouts uint64 // reportedRollouts is the change of the roll-outs last reported.
	reportedHeld     uint64 // reportedHeld is the change of the quarantine last reported.
	snapshots        chan savedSnapshot
	saving           bool
	failed           bool
	failedAt         time.Duration // failedAt is when the disk failed last, or was tried again.
	full             bool
	trips            roundTrips
	campaignAt       time.Duration // campaignAt is when this replica began to campaign; 0 while it does not.
	spaceAt          time.Duration // spaceAt is when the free space is asked for next.
}

// input is what the inbox takes: a message for the replica, or a request that
// somebody waits for.
type input struct {
	msg  replicate.Msg
	wait *waiter
	do   func() // do runs in the loop.
}

type savedSnapshot struct {
	meta replicate.SnapshotMeta
	err  error
}

// Open opens the data folder of a replica. The group does nothing before Run.
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

		meters:    noMeters(),
		timeOfDay: time.Now,
		busy:      func() bool { return false },
		dir:       dir,
		inbox:     make(chan input, inboxSize),
		done:      make(chan struct{}),
		began:     clock.Now(),
		machine:   state.NewMachine(),
		waiting:   map[uint64]*waiter{},
		atIndex:   map[uint64]*waiter{},
		snapshots: make(chan savedSnapshot, 1),
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

// open opens the data folder, or a new one in place of a damaged one where the
// others of the group hold what it held.
func (g *Group) open(name string) (err error) {
	g.folder, g.loaded, err = wal.Open(g.dir, name)
	if errors.Is(err, wal.ErrDamaged) && g.cfg.Rejoin {
		g.log.Error().Err(err).Msg("the data folder is damaged: it is set aside, and the replica joins anew")
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

func (g *Group) restoreLoaded() error {
	if g.loaded.Torn > 0 {
		g.log.Warn().Int64("bytes", g.loaded.Torn).Msg("a torn write was cut off the log")
	}
	g.applied = g.loaded.Snapshot.Index
	if g.loaded.Data == nil {
		return nil
	}
	return g.machine.Restore(g.loaded.Data)
}

// start makes the replica from what the folder holds.
func (g *Group) start() {
	snap := g.loaded.Snapshot
	if snap.Index == 0 {
		snap.Members = g.folder.Founders()
	}
	g.hard = g.loaded.Hard
	g.replica = replicate.New(g.cfg.Replica, replicate.Start{
		ID:       g.folder.ID(),
		Hard:     g.hard,
		Snapshot: snap,
		Entries:  g.loaded.Entries,
		Now:      g.now(),
		Rand:     rand.Uint64(),
	})
	g.publish()
}

// now is on a monotonic clock.
func (g *Group) now() time.Duration { return clock.Since(g.began) }

// ID returns the replica's identity.
func (g *Group) ID() protocol.ReplicaID { return g.id }

// Run drives the replica until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	tick := time.NewTicker(max(g.cfg.Replica.Heartbeat/ticks, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			g.failAll(ErrUnknown)
			return g.folder.Close()
		case <-tick.C:
			g.update(replicate.TickMsg{Now: g.now(), Rand: rand.Uint64(), Busy: g.busy()})
		case in := <-g.inbox:
			g.take(in)
			g.drain()
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

// drain takes what else waits, up to a batch.
func (g *Group) drain() {
	for range g.cfg.Batch - 1 {
		select {
		case in := <-g.inbox:
			g.take(in)
		default:
			return
		}
	}
}

func (g *Group) take(in input) {
	switch {
	case in.do != nil:
		in.do()
	case in.wait == nil:
		if step, ok := in.msg.(replicate.StepMsg); ok {
			step.Now = g.now()
			in.msg = step
		}
		g.update(in.msg)
	case g.failed:
		in.wait.done <- outcome{err: ErrDisk}
	case g.folder.Group() == 0:
		in.wait.done <- outcome{err: ErrNoGroup}
	default:
		g.ask(in.wait)
	}
}

// update has the replica take a message and carries out what follows. A lease that was
// given up or cut is made known first: what is sent may let another replica lead before
// this batch is on disk.
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
		g.proposed(cmd)
	case replicate.ReadCmd:
		g.readable(cmd)
	case replicate.RemoveCmd:
		g.answer(cmd.Token, outcome{err: cmd.Err})
	case replicate.HandoverCmd:
		g.handedOver(cmd)
	case replicate.MoveCmd:
		g.moving(cmd)
	case replicate.ElectedCmd:
		g.log.Info().Uint64("term", cmd.Term).Msg("elected leader")
		g.publish() // Before the others hear of it: they may send here whoever asks.
	case replicate.SteppedDownCmd:
		g.log.Info().Uint64("term", cmd.Term).Msg("no longer leader")
		g.failProposals()
	}
}

func (g *Group) send(cmd replicate.SendCmd) {
	if cmd.Durable {
		g.held = append(g.held, cmd.Message)
		return
	}
	g.sender.Send(g.folder.Group(), cmd.Message)
}

// flush writes what the batch has to persist, with one sync, and then sends
// what depended on it. The sync can bring up more of both.
func (g *Group) flush() {
	for len(g.pending) > 0 && !g.failed {
		if err := g.write(); err != nil {
			g.fail(err)
			return
		}
	}
	for _, m := range g.held {
		g.sender.Send(g.folder.Group(), m)
	}
	g.held = g.held[:0]
}

func (g *Group) write() error {
	var entries []replicate.Entry
	for _, p := range g.pending {
		g.hard = p.Hard
		entries = append(entries, p.Entries...)
	}
	g.pending = g.pending[:0]
	began := time.Now()
	if err := g.folder.Write(g.hard, entries); err != nil {
		return err
	}
	g.meters.sync.UpdateSince(began)
	synced := replicate.SyncedMsg{}
	if n := len(entries); n > 0 {
		synced.Index, synced.Term = entries[n-1].Index, entries[n-1].Term
	}
	g.update(synced)
	return nil
}

// fail takes this replica out: it does not go on from memory.
func (g *Group) fail(err error) {
	g.failed, g.failedAt = true, g.now()
	g.pending, g.held = nil, nil
	g.log.Error().Err(err).Msg("the disk failed: this replica votes no more until its folder could be opened anew")
	g.update(replicate.DiskFailedMsg{})
	g.pending, g.held = nil, nil
	g.failAll(ErrDisk)
}
