package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

const (
	testRatio  = 0.2
	testExtra  = 56
	testWindow = 10 * time.Second
)

var testStart = time.Unix(1_700_000_000, 0)

// budgetSim simulates the gateways and leaders of one service whose servers reject every request.
type budgetSim struct {
	t          *rapid.T
	now        time.Time
	allowances []*Allowance
	ledger     *Ledger // ledger is nil while no leader is running.
	requests   []time.Time
	retries    []time.Time
}

// step lets some time pass and one thing happen.
func (s *budgetSim) step() {
	s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 400, 2000}).Draw(s.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 11).Draw(s.t, "event") {
	case 0:
		s.restartSome()
	case 1:
		s.ledger = nil
	case 2:
		s.ledger = NewLedger(testExtra, testWindow, s.now)
	default:
		s.serve(rapid.IntRange(0, len(s.allowances)-1).Draw(s.t, "gateway"), rapid.SampledFrom([]int{1, 3, 40}).Draw(s.t, "requests"))
	}
}

// restartSome starts all gateways, or one of them, again.
func (s *budgetSim) restartSome() {
	first, last := 0, len(s.allowances)
	if rapid.Bool().Draw(s.t, "one") {
		first = rapid.IntRange(0, last-1).Draw(s.t, "restarted")
		last = first + 1
	}
	for i := first; i < last; i++ {
		s.allowances[i] = NewAllowance(testRatio, testWindow)
	}
}

// serve handles requests at a gateway, each of which is retried twice if the budget allows.
func (s *budgetSim) serve(gateway, requests int) {
	a := s.allowances[gateway]
	for range requests {
		a.RecordRequest(s.now)
		s.requests = append(s.requests, s.now.Add(-s.drawDelay("unread", testWindow/4)))
		s.retry(a)
		s.retry(a)
	}
}

func (s *budgetSim) retry(a *Allowance) {
	source, sendBy := a.Spend(s.now)
	if source == None && s.ledger != nil && a.Request(s.now) {
		count, lasts, wait := s.ledger.Lend("s", a.TakeWanted(), s.now)
		a.AddLease(count, lasts, wait, s.now.Add(-s.drawDelay("asked", time.Second)), s.now)
		source, sendBy = a.Spend(s.now)
	}
	if source != None {
		s.retries = append(s.retries, s.now.Add(s.drawDelay("sent", sendBy.Sub(s.now))))
	}
}

// drawDelay returns no delay, the longest one, or half of it.
func (s *budgetSim) drawDelay(name string, longest time.Duration) time.Duration {
	return longest * time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(s.t, name)) / 2
}

// check compares the retries of each window with what the budget allows for its requests, those
// of the window before it, or those of the window half a window before it.
func (s *budgetSim) check() {
	for _, from := range s.retries {
		requests := max(within(s.requests, from), within(s.requests, from.Add(-testWindow)), within(s.requests, from.Add(-testWindow/2)))
		if n := within(s.retries, from); float64(n) > testRatio*float64(requests)+testExtra {
			s.t.Fatalf("%d retries in a window for %d requests exceed the budget", n, requests)
		}
	}
}

// within counts the times in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if d := t.Sub(from); d >= 0 && d < testWindow {
			n++
		}
	}
	return n
}

// TestRetryBudgetHoldsByConstruction guards against gateways that together exceed the retry budget
// of a window: any number of them that start at once or again and again, with a leader, with a new
// one and with none, and retries that are sent as late as they may be.
func TestRetryBudgetHoldsByConstruction(t *testing.T) {
	for _, gateways := range []int{1, 8, 80} {
		t.Run(fmt.Sprint(gateways), rapid.MakeCheck(func(t *rapid.T) {
			s := &budgetSim{t: t, now: testStart}
			for range gateways {
				s.allowances = append(s.allowances, NewAllowance(testRatio, testWindow))
			}
			if rapid.Bool().Draw(t, "leader") {
				s.ledger = NewLedger(testExtra, testWindow, s.now.Add(-time.Hour))
			}
			for range 60 {
				s.step()
			}
			s.check()
		}))
	}
}

// TestCalmFailureIsRetried checks that a single failure is retried at a gateway with next to no
// requests while a leader lends, and by its own requests without one.
func TestCalmFailureIsRetried(t *testing.T) {
	now := testStart
	l := NewLedger(testExtra, testWindow, now.Add(-time.Hour))
	for range 80 { // Each failure is at another gateway, which has just started.
		now = now.Add(2 * time.Second)
		a := NewAllowance(testRatio, testWindow)
		a.RecordRequest(now)
		if s, _ := a.Spend(now); s != None || !a.Request(now) {
			t.Fatalf("source %v before the leader was asked, or it may not be asked", s)
		}
		count, lasts, wait := l.Lend("s", a.TakeWanted(), now)
		a.AddLease(count, lasts, wait, now, now)
		if s, _ := a.Spend(now); s != Lent {
			t.Fatalf("source %v after the leader lent %d", s, count)
		}
	}
	a := NewAllowance(testRatio, testWindow)
	for range 10 {
		a.RecordRequest(now)
	}
	if s, _ := a.Spend(now); s != Credit {
		t.Errorf("source %v after 10 requests, want credit", s)
	}
	if s, _ := a.Spend(now); s != None {
		t.Errorf("source %v for a second retry, want none", s)
	}
}

// TestCreditExpires checks that credit is not available half a window later, and that the retry
// taken before has to be sent within three quarters of a window.
func TestCreditExpires(t *testing.T) {
	a := NewAllowance(testRatio, testWindow)
	for range 1000 {
		a.RecordRequest(testStart)
	}
	almost := testStart.Add(testWindow/2 - time.Millisecond)
	if s, sendBy := a.Spend(almost); s != Credit || !sendBy.Equal(testStart.Add(testWindow*3/4)) {
		t.Errorf("source %v, to be sent %v after the requests", s, sendBy.Sub(testStart))
	}
	if s, _ := a.Spend(testStart.Add(testWindow / 2)); s != None {
		t.Errorf("source %v half a window later, want none", s)
	}
	if len(a.credits) > 0 {
		t.Errorf("%d periods are kept", len(a.credits))
	}
}

// TestLeaderIsNotAskedInVain checks that the leader is not asked again before it may lend more, or
// while none answers, and that a lent retry expires.
func TestLeaderIsNotAskedInVain(t *testing.T) {
	a := NewAllowance(testRatio, testWindow)
	a.Request(testStart)
	if n := a.TakeWanted(); n != 1 || a.TakeWanted() != 0 {
		t.Errorf("%d retries wanted, want 1 once", n)
	}
	a.RequestFailed(testStart)
	if a.Request(testStart.Add(requestPause - time.Millisecond)) {
		t.Error("the leader is asked while none answers")
	}
	later := testStart.Add(requestPause)
	if !a.Request(later) {
		t.Error("the leader is not asked after the pause")
	}
	a.AddLease(2, 2*time.Second, 3*time.Second, later, later.Add(100*time.Millisecond))
	if s, sendBy := a.Spend(later.Add(900 * time.Millisecond)); s != Lent || !sendBy.Equal(later.Add(2*time.Second)) {
		t.Errorf("source %v, to be sent %v after the request", s, sendBy.Sub(later))
	}
	if a.Request(later.Add(3*time.Second - time.Millisecond)) {
		t.Error("the leader is asked before it may lend more")
	}
	if s, _ := a.Spend(later.Add(time.Second)); s != None {
		t.Errorf("source %v after half of the lease, want none", s)
	}
}
