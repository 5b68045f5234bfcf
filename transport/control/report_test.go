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

// reportCounts makes a gateway report to the leader of the first term all counts up to a time.
func reportCounts(t *testing.T, u *Uplink, gateway string, counted time.Time) {
	t.Helper()
	mustSync(t, u, protocol.SyncMsg{Gateway: gateway, Lister: 1, Term: 1, Counted: counted})
}

// TestWindowSettlesOnceComplete checks that a window is settled as soon as all gateways have
// reported their counts up to its end, that it waits for a gateway that is frozen at its end,
// and that it waits no longer than the report's due time allows.
func TestWindowSettlesOnceComplete(t *testing.T) {
	const length, due = 5 * time.Second, 10 * time.Second
	d := newDuties(newFakeGroup(), &fakeSource{}, "a")
	d.config.UsageWindow, d.config.UsageDue = length, due
	d.reports.enter(1)
	now := time.Now()
	window := usage.Window(now, length)
	end := usage.End(window, length)
	if d.canSettle(window, end) {
		t.Error("settled without any gateway")
	}
	reportCounts(t, d.uplink, "frozen", end.Add(-time.Second))
	reportCounts(t, d.uplink, "sound", end.Add(time.Second))
	if d.canSettle(window, end.Add(time.Second)) {
		t.Error("settled before a gateway reported all its counts")
	}
	if late := time.Duration(settleFraction * float64(due)); d.canSettle(window, end.Add(late-time.Millisecond)) || !d.canSettle(window, end.Add(late)) {
		t.Errorf("not settled exactly %v after the window, the latest time that the report allows", late)
	}
	reportCounts(t, d.uplink, "frozen", end)
	if !d.canSettle(window, end.Add(time.Second)) {
		t.Error("not settled after all gateways reported")
	}
}

// TestNewLeaderWaitsForMissingGateways checks that a new leader does not consider a window
// complete before as many gateways have reported as its predecessor counted, and before those
// with counts in the log have.
func TestNewLeaderWaitsForMissingGateways(t *testing.T) {
	const length = 5 * time.Second
	u := newUplink(newFakeGroup())
	window := usage.Window(time.Now(), length)
	end := usage.End(window, length)
	mustSync(t, u, protocol.SyncMsg{Gateway: "a", Lister: 1, Term: 1, Counted: end, Gateways: 2})
	if _, whole := u.MissingGateways(window, length); whole {
		t.Error("complete with one gateway of two")
	}
	reportCounts(t, u, "b", end)
	if _, whole := u.MissingGateways(window, length); !whole {
		t.Error("incomplete with both gateways")
	}
	u.RestoreCounts(1, length, []protocol.TallyRow{{Gateway: "c", Life: 1, Window: window, Workspace: "w", Count: 1}})
	if missing, whole := u.MissingGateways(window, length); whole || len(missing) != 1 || missing[0] != "c" {
		t.Errorf("missing %v, complete %v, although the log contains counts of another gateway", missing, whole)
	}
}

// TestCountsForAnotherTermAreIncomplete checks that a gateway whose report omits the counts
// that the former leader holds does not count as having reported all.
func TestCountsForAnotherTermAreIncomplete(t *testing.T) {
	const length = 5 * time.Second
	g := newFakeGroup()
	u := newUplink(g)
	end := usage.End(usage.Window(time.Now(), length), length)
	g.set(2, true)
	reportCounts(t, u, "a", end)
	if _, whole := u.MissingGateways(usage.Window(time.Now(), length), length); whole {
		t.Error("complete with counts reported to the leader of another term")
	}
}

// hangingOrders is a platform that does not answer orders.
type hangingOrders struct {
	fakeSource
	asked   chan struct{}
	release chan struct{}
	taken   chan struct{} // taken is closed with the first report.
	once    sync.Once
}

func (s *hangingOrders) Order(context.Context, Duty, Order) error {
	select {
	case s.asked <- struct{}{}:
	default: // It has been called before.
	}
	<-s.release
	return context.DeadlineExceeded
}

func (s *hangingOrders) Report(context.Context, Duty, int64, map[string]int64) error {
	s.once.Do(func() { close(s.taken) })
	return nil
}

// TestReportsDoNotWaitForOrders checks that a usage report is sent while an order for servers
// is not answered.
func TestReportsDoNotWaitForOrders(t *testing.T) {
	s := &hangingOrders{asked: make(chan struct{}, 1), release: make(chan struct{}), taken: make(chan struct{})}
	g := newFakeGroup()
	u := NewUplink(g, noPeers, func(number uint64, _ []byte) (*protocol.Catalog, error) {
		scaling := &protocol.ScalingSpec{Min: 1, Max: 5, DomainPrices: map[string]float64{"a": 1}}
		return &protocol.Catalog{Number: number, Services: []protocol.ServiceSpec{{Name: "s", Slots: 1, Scaling: scaling}}}, nil
	}, 8*time.Second)
	u.Install(1, []byte("document"))
	u.prepareDocument()
	u.SetServers(1, []protocol.Instance{{ID: "i", Service: "s", Domain: "a"}})
	l := DutyConfig{UsageWindow: 20 * time.Millisecond, UsageDue: 40 * time.Millisecond, Usage: true, Fleet: true}
	d := NewDuties(l, "a", g, s, u, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = d.RunOrders(ctx) })
	limit := time.After(testTimeout)
	select {
	case <-s.asked: // An order is in progress.
	case <-limit:
		t.Fatal("no order was sent")
	}
	loops.Go(func() { _ = d.RunReports(ctx) })
	select {
	case <-s.taken:
	case <-limit:
		t.Error("reports are blocked by an order")
	}
	stop()
	close(s.release)
	loops.Wait()
}
