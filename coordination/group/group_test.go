package group

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// discardSender drops every message: the group of these tests has one replica.
type discardSender struct{}

// Send implements Sender.
func (discardSender) Send(uint64, replicate.Message) {}

func openSingle(t *testing.T) *Group {
	t.Helper()
	cfg := Config{
		Replica:         replicate.Config{Election: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, Batch: 1 << 20, Window: 8},
		SnapshotEntries: 1 << 20,
	}
	g, err := Open(cfg, t.TempDir(), "entry-1", discardSender{})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestRevisionCancelled cancels calls of Revision while the loop is blocked, as on an
// instance that was suspended, and unblocks it at the same moment. The race detector
// reports it if the loop still writes to variables that the caller reads.
func TestRevisionCancelled(t *testing.T) {
	g := openSingle(t)
	ctx, stop := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() {
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	for range 500 {
		gate := make(chan struct{})
		if err := g.submit(ctx, input{do: func() { <-gate }}); err != nil {
			t.Fatal(err)
		}
		ask, giveUp := context.WithCancel(ctx)
		var asker sync.WaitGroup
		asker.Go(func() {
			if number, config, err := g.Revision(ask); err == nil && (number != 0 || config != nil) {
				t.Errorf("got configuration %d %q before one was accepted", number, config)
			}
		})
		giveUp()
		close(gate)
		asker.Wait()
	}
	stop()
	loop.Wait()
}

// TestChangedSignalsLeadership checks that the channel of Changed signals each step until
// the replica is a settled leader, so that callers need not poll.
func TestChangedSignalsLeadership(t *testing.T) {
	g := openSingle(t)
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	var loop sync.WaitGroup
	loop.Go(func() {
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	if err := g.Bootstrap(ctx, 7, protocol.ReplicaMembers{Voters: []protocol.ReplicaID{g.ID()}}); err != nil {
		t.Fatal(err)
	}
	awaitLeadership(ctx, t, g)
	stop()
	loop.Wait()
}

// TestSinceLastCommand checks that a replica that becomes the leader after a restart
// reports the time since the latest command before it, and that commands of its own term
// do not change that.
func TestSinceLastCommand(t *testing.T) {
	const before = 5 * time.Second
	dir := t.TempDir()
	for _, again := range []bool{false, true} {
		later := time.Duration(0)
		if again {
			later = before
		}
		ctx, g, end := startSingle(t, dir, !again, WithTimeOfDay(func() time.Time { return time.Now().Add(later) }))
		first := g.Status().SinceLastCommand
		if again && (first < before || first > before+time.Minute) {
			t.Errorf("want SinceLastCommand of %v to a minute more, got %v", before, first)
		}
		if _, err := g.Propose(ctx, protocol.Command{Tally: &protocol.TallyMsg{Rows: []protocol.TallyRow{{Gateway: "g", Count: 1}}}}); err != nil {
			t.Fatal(err)
		}
		if got := g.Status().SinceLastCommand; got != first {
			t.Errorf("SinceLastCommand is %v after a command of the same term, was %v before", got, first)
		}
		end()
	}
}

// TestRolloutsAreReported checks that each change of a rollout is passed to the callback
// once, and that a replica that restarts from its data folder passes them on again.
func TestRolloutsAreReported(t *testing.T) {
	dir := t.TempDir()
	for _, again := range []bool{false, true} {
		var reported []protocol.RolloutStage // reported are the stages in the order of the callbacks.
		ctx, g, end := startSingle(t, dir, !again, WithRollouts(func(l protocol.RolloutLog) { reported = append(reported, l.Latest[0].Stage) }))
		want := []protocol.RolloutStage{protocol.RolloutMoving}
		if !again {
			for _, c := range []protocol.Command{
				{BeginRollout: &protocol.BeginRolloutMsg{Service: "s", Version: "v2", LimitMS: 1000}},
				{BeginRollout: &protocol.BeginRolloutMsg{Service: "s", Version: "v2", LimitMS: 1000}}, // Sent again.
				{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutMoving}},
			} {
				if _, err := g.Propose(ctx, c); err != nil {
					t.Fatal(err)
				}
			}
			want = []protocol.RolloutStage{protocol.RolloutTrial, protocol.RolloutMoving}
		}
		if list, err := g.Rollouts(ctx); err != nil || len(list) != 1 || list[0].Stage != protocol.RolloutMoving {
			t.Errorf("Rollouts returned %+v, %v; want one rollout in the last stage proposed", list, err)
		}
		end()
		if !slices.Equal(reported, want) {
			t.Errorf("reported %v, want %v", reported, want)
		}
	}
}

// TestQuarantineIsReported checks that each change of the quarantine is passed to the
// callback once, and that a replica that restarts from its data folder passes it on again.
func TestQuarantineIsReported(t *testing.T) {
	dir := t.TempDir()
	for _, again := range []bool{false, true} {
		var reported []int // reported are the numbers of entries, by callback.
		ctx, g, end := startSingle(t, dir, !again, WithQuarantine(func(l protocol.QuarantineLog) { reported = append(reported, len(l.Entries)) }))
		want := []int{2}
		if !again {
			for _, n := range []uint64{1, 1, 2} { // The first one is sent again.
				m := &protocol.QuarantineMsg{Hold: []protocol.HoldRequest{{Fingerprint: protocol.Fingerprint{Quick: n}}}}
				if _, err := g.Propose(ctx, protocol.Command{Quarantine: m}); err != nil {
					t.Fatal(err)
				}
			}
			want = []int{1, 2}
		}
		end()
		if !slices.Equal(reported, want) {
			t.Errorf("reported %v, want %v", reported, want)
		}
	}
}

// startSingle runs a replica on a data folder and waits until it is a settled leader. With
// found it bootstraps a group of one first. The returned func stops the replica.
func startSingle(t *testing.T, dir string, found bool, opts ...Option) (ctx context.Context, g *Group, end func()) {
	t.Helper()
	cfg := Config{Replica: replicate.Config{Election: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, Batch: 1 << 20, Window: 8}, SnapshotEntries: 1 << 20}
	g, err := Open(cfg, dir, "entry-1", discardSender{}, opts...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	var loop sync.WaitGroup
	loop.Go(func() {
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	if found {
		if err := g.Bootstrap(ctx, 7, protocol.ReplicaMembers{Voters: []protocol.ReplicaID{g.ID()}}); err != nil {
			t.Fatal(err)
		}
	}
	awaitLeadership(ctx, t, g)
	return ctx, g, func() {
		stop()
		loop.Wait()
	}
}

// awaitLeadership waits until a replica is a settled leader with a lease.
func awaitLeadership(ctx context.Context, t *testing.T, g *Group) {
	t.Helper()
	for {
		changed := g.Changed()
		if _, vouches := g.Vouches(); vouches {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("no further change was signaled; status %+v", g.Status())
		}
	}
}
