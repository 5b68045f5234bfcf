package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/protocol"
)

// told has a gateway tell a leader of the first term all that it counted up to a time.
func told(t *testing.T, u *Uplink, gateway string, counted time.Time) {
	t.Helper()
	sync1(t, u, protocol.SyncMsg{Gateway: gateway, Lister: 1, Term: 1, Counted: counted})
}

// TestWindowSettlesOnceAllHaveTold checks that a window is settled as soon as all
// gateways have told their counts beyond its end, that it waits for one that is frozen
// over its end, and for that one no longer than its report allows.
func TestWindowSettlesOnceAllHaveTold(t *testing.T) {
	const length, due = 5 * time.Second, 10 * time.Second
	d := newDuties(newFakeGroup(), &fakeSource{}, "a")
	d.limits.UsageWindow, d.limits.UsageDue = length, due
	d.reports.enter(1)
	now := time.Now()
	window := usage.Window(now, length)
	end := usage.End(window, length)
	if d.settles(window, end) {
		t.Error("settled though no gateway was heard of")
	}
	told(t, d.uplink, "frozen", end.Add(-time.Second))
	told(t, d.uplink, "sound", end.Add(time.Second))
	if d.settles(window, end.Add(time.Second)) {
		t.Error("settled though a gateway had not told all")
	}
	if late := time.Duration(settleShare * float64(due)); d.settles(window, end.Add(late-time.Millisecond)) || !d.settles(window, end.Add(late)) {
		t.Errorf("not settled as late as the report allows, %v behind the window", late)
	}
	told(t, d.uplink, "frozen", end)
	if !d.settles(window, end.Add(time.Second)) {
		t.Error("not settled though all gateways had told")
	}
}

// TestNextLeaderWaitsForWhomItHasNotHeard checks that a new leader does not take a
// window for whole before as many gateways have told as the leader before counted, and
// before those have told whose counts the log names.
func TestNextLeaderWaitsForWhomItHasNotHeard(t *testing.T) {
	const length = 5 * time.Second
	u := newUplink(newFakeGroup())
	window := usage.Window(time.Now(), length)
	end := usage.End(window, length)
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Lister: 1, Term: 1, Counted: end, Gateways: 2})
	if _, whole := u.Missing(window, length); whole {
		t.Error("whole with one gateway of two")
	}
	told(t, u, "b", end)
	if _, whole := u.Missing(window, length); !whole {
		t.Error("not whole with both gateways")
	}
	u.Recall(1, length, []protocol.TallyRow{{Gateway: "c", Life: 1, Window: window, Workspace: "w", Count: 1}})
	if missing, whole := u.Missing(window, length); whole || len(missing) != 1 || missing[0] != "c" {
		t.Errorf("missing %v, whole %v, though the log names another gateway", missing, whole)
	}
}

// TestCountsForAnotherLeaderAreNotWhole checks that a gateway which left out what the
// leader before has does not count as one that told all.
func TestCountsForAnotherLeaderAreNotWhole(t *testing.T) {
	const length = 5 * time.Second
	g := newFakeGroup()
	u := newUplink(g)
	end := usage.End(usage.Window(time.Now(), length), length)
	g.set(2, true)
	told(t, u, "a", end)
	if _, whole := u.Missing(usage.Window(time.Now(), length), length); whole {
		t.Error("whole by what was told to the leader of another term")
	}
}

// silentOrders is a platform that leaves orders unanswered.
type silentOrders struct {
	fakeSource
	asked   chan struct{}
	release chan struct{}
	taken   chan struct{} // taken is closed with the first report.
	once    sync.Once
}

func (s *silentOrders) Order(context.Context, Duty, Order) error {
	select {
	case s.asked <- struct{}{}:
	default: // It has been asked before.
	}
	<-s.release
	return context.DeadlineExceeded
}

func (s *silentOrders) Report(context.Context, Duty, int64, map[string]int64) error {
	s.once.Do(func() { close(s.taken) })
	return nil
}

// TestReportsDoNotWaitForOrders checks that a usage report goes out while an order for
// servers gets no answer.
func TestReportsDoNotWaitForOrders(t *testing.T) {
	s := &silentOrders{asked: make(chan struct{}, 1), release: make(chan struct{}), taken: make(chan struct{})}
	g := newFakeGroup()
	u := NewUplink(g, noPeers, func(number uint64, _ []byte) (*protocol.Catalog, error) {
		scaling := &protocol.ScalingSpec{Min: 1, Max: 5, DomainPrices: map[string]float64{"a": 1}}
		return &protocol.Catalog{Number: number, Services: []protocol.ServiceSpec{{Name: "s", Slots: 1, Scaling: scaling}}}, nil
	}, 8*time.Second)
	u.Install(1, []byte("document"))
	u.ready()
	u.SetServers(1, []protocol.Instance{{ID: "i", Service: "s", Domain: "a"}})
	l := DutyConfig{UsageWindow: 20 * time.Millisecond, UsageDue: 40 * time.Millisecond, Usage: true, Fleet: true}
	d := NewDuties(l, "a", g, s, u, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = d.RunOrders(ctx) })
	limit := time.After(patience)
	select {
	case <-s.asked: // An order is under way.
	case <-limit:
		t.Fatal("nothing was ordered")
	}
	loops.Go(func() { _ = d.RunReports(ctx) })
	select {
	case <-s.taken:
	case <-limit:
		t.Error("the reports wait for the orders")
	}
	stop()
	close(s.release)
	loops.Wait()
}
