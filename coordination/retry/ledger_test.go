package retry

import (
	"testing"
	"time"
)

// TestLedgerLendsExtraOncePerWindow checks that a ledger lends the extra of each service once, and
// again when no window can contain both.
func TestLedgerLendsExtraOncePerWindow(t *testing.T) {
	const span = testWindow + testWindow/leaseDivisor
	l := NewLedger(testExtra, testWindow, testStart.Add(-time.Hour))
	if count, lasts, wait := l.Lend("s", 50, testStart); count != 50 || lasts != testWindow/leaseDivisor || wait != 0 {
		t.Errorf("lent %d for %v, wait %v", count, lasts, wait)
	}
	second := testStart.Add(time.Second)
	if count, _, wait := l.Lend("s", 50, second); count != testExtra-50 || wait != span-time.Second {
		t.Errorf("lent %d more, wait %v", count, wait)
	}
	if count, _, _ := l.Lend("other", 50, second); count != 50 {
		t.Errorf("lent %d at another service", count)
	}
	if count, _, wait := l.Lend("s", 1, testStart.Add(span)); count != 0 || wait != 0 {
		t.Errorf("lent %d as the first loan ends, wait %v", count, wait)
	}
	if count, _, _ := l.Lend("s", 60, testStart.Add(span+time.Millisecond)); count != 50 {
		t.Errorf("lent %d after the first loan, want 50", count)
	}
	if count, _, _ := l.Lend("s", -1, testStart.Add(time.Hour)); count != 0 {
		t.Errorf("lent %d of -1", count)
	}
	if len(l.services) > 0 {
		t.Errorf("%d services are kept without loans", len(l.services))
	}
}

// TestNewLedgerWaits checks that the ledger of a new leader lends nothing while retries that its
// predecessor lent may be in the same window, and one without an extra never does.
func TestNewLedgerWaits(t *testing.T) {
	const span = testWindow + testWindow/leaseDivisor
	l := NewLedger(testExtra, testWindow, testStart)
	if count, _, wait := l.Lend("s", 1, testStart.Add(time.Second)); count != 0 || wait != span-time.Second {
		t.Errorf("lent %d after a second, wait %v", count, wait)
	}
	if count, _, _ := l.Lend("s", 1, testStart.Add(span)); count != 1 {
		t.Errorf("lent %d after the wait", count)
	}
	if count, _, _ := NewLedger(testExtra, testWindow, testStart, WithoutPredecessor()).Lend("s", 1, testStart); count != 1 {
		t.Errorf("the first leader lent %d at once", count)
	}
	if count, _, wait := NewLedger(0, testWindow, testStart).Lend("s", 1, testStart.Add(time.Hour)); count != 0 || wait != span {
		t.Errorf("without an extra: lent %d, wait %v", count, wait)
	}
}
