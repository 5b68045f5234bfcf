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

// noSender loses every message: the group of these tests is alone.
type noSender struct{}

// Send implements Sender.
func (noSender) Send(uint64, replicate.Message) {}

func openAlone(t *testing.T) *Group {
	t.Helper()
	cfg := Config{
		Replica:         replicate.Config{Election: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, Batch: 1 << 20, Window: 8},
		SnapshotEntries: 1 << 20,
	}
	g, err := Open(cfg, t.TempDir(), "entry-1", noSender{})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestRevisionGivenUp gives up questions while the loop is held up, as it is on
// an instance that was frozen, and lets the loop go on at the same moment. The
// race detector tells whether the loop still writes into what the caller reads.
func TestRevisionGivenUp(t *testing.T) {
	g := openAlone(t)
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
				t.Errorf("number %d, configuration %q before there is any", number, config)
			}
		})
		giveUp()
		close(gate)
		asker.Wait()
	}
	stop()
	loop.Wait()
}

// TestChangedTellsOfLeadership checks that whoever waits for a leader learns of each
// step up to one that vouches, without asking again and again.
func TestChangedTellsOfLeadership(t *testing.T) {
	g := openAlone(t)
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
	awaitVouching(ctx, t, g)
	stop()
	loop.Wait()
}

// TestQuietTellsOfTheOutage checks that a replica that leads anew knows how long
// before the latest command was logged, and that its own commands do not change that.
func TestQuietTellsOfTheOutage(t *testing.T) {
	const before = 5 * time.Second
	dir := t.TempDir()
	for _, again := range []bool{false, true} {
		later := time.Duration(0)
		if again {
			later = before
		}
		ctx, g, end := startAlone(t, dir, !again, WithTimeOfDay(func() time.Time { return time.Now().Add(later) }))
		first := g.Status().SinceLastCommand
		if again && (first < before || first > before+time.Minute) {
			t.Errorf("the latest command was logged %v ago, and it says %v", before, first)
		}
		if _, err := g.Propose(ctx, protocol.Command{Tally: &protocol.TallyMsg{Rows: []protocol.TallyRow{{Gateway: "g", Count: 1}}}}); err != nil {
			t.Fatal(err)
		}
		if got := g.Status().SinceLastCommand; got != first {
			t.Errorf("after a command of its own it says %v, before %v", got, first)
		}
		end()
	}
}

// TestRolloutsAreReported checks that each change of a roll-out is reported once, and all of
// them again by a replica that starts from its folder.
func TestRolloutsAreReported(t *testing.T) {
	dir := t.TempDir()
	for _, again := range []bool{false, true} {
		var reported []protocol.RolloutStage // reported are the stages, in the order in which the loop reported them.
		ctx, g, end := startAlone(t, dir, !again, WithRollouts(func(l protocol.RolloutLog) { reported = append(reported, l.Latest[0].Stage) }))
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
			t.Errorf("read %+v, %v", list, err)
		}
		end()
		if !slices.Equal(reported, want) {
			t.Errorf("reported %v, want %v", reported, want)
		}
	}
}

// TestQuarantineIsReported checks that each change of the quarantine is reported once, and
// all of it again by a replica that starts from its folder.
func TestQuarantineIsReported(t *testing.T) {
	dir := t.TempDir()
	for _, again := range []bool{false, true} {
		var reported []int // reported are how many entries there were.
		ctx, g, end := startAlone(t, dir, !again, WithQuarantine(func(l protocol.QuarantineLog) { reported = append(reported, len(l.Entries)) }))
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

// startAlone runs a replica on a folder until it leads and vouches, at first as the
// founder of a group of one. The func that it returns ends it.
func startAlone(t *testing.T, dir string, found bool, opts ...Option) (ctx context.Context, g *Group, end func()) {
	t.Helper()
	cfg := Config{Replica: replicate.Config{Election: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, Batch: 1 << 20, Window: 8}, SnapshotEntries: 1 << 20}
	g, err := Open(cfg, dir, "entry-1", noSender{}, opts...)
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
	awaitVouching(ctx, t, g)
	return ctx, g, func() {
		stop()
		loop.Wait()
	}
}

// awaitVouching waits until a group leads and vouches.
func awaitVouching(ctx context.Context, t *testing.T, g *Group) {
	t.Helper()
	for {
		changed := g.Changed()
		if _, vouches := g.Vouches(); vouches {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("nothing more was told; it is %+v", g.Status())
		}
	}
}
