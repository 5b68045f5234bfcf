package usage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

const length = 5 * time.Second

// TestCountsSurviveLeaderChanges checks that the ledger has every count in the
// end, despite lost answers, repeated messages and leader changes.
func TestCountsSurviveLeaderChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		names := []string{"a", "b"}
		counters := map[string]*Counter{}
		for _, name := range names {
			counters[name] = NewCounter(length, 10*time.Second)
		}
		want := map[string]int64{}
		ledger, term := NewLedger(), uint64(1)
		report := func(name string, lost bool, now time.Time) {
			rows := counters[name].Rows(term, now)
			ledger.Record(name, 1, rows)
			if !lost {
				counters[name].Acknowledged(term, rows)
			}
		}
		now := start
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "gateway")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				workspace := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace")
				counters[name].RecordStart(workspace, now)
				want[workspace]++
			case 2:
				report(name, rapid.Bool().Draw(t, "answer lost"), now)
			case 3:
				ledger, term = NewLedger(), term+1
			}
		}
		for _, name := range names {
			report(name, false, now)
		}
		if diff := cmp.Diff(want, ledger.Total(Window(now, length))); diff != "" {
			t.Fatal(diff)
		}
		for _, name := range names {
			if rows := counters[name].Rows(term, now); len(rows) > 0 {
				t.Fatalf("counts are sent again after they were acknowledged: %v", rows)
			}
		}
	})
}

// TestIncarnationsAddUp checks that the counts of a restarted gateway are added
// to those from before the restart.
func TestIncarnationsAddUp(t *testing.T) {
	l := NewLedger()
	l.Record("a", 1, []protocol.UsageRow{{Window: 3, Workspace: "x", Count: 5}})
	l.Record("a", 2, []protocol.UsageRow{{Window: 3, Workspace: "x", Count: 2}})
	l.Record("a", 1, []protocol.UsageRow{{Window: 3, Workspace: "x", Count: 4}}) // Delayed and stale.
	if got := l.Total(3)["x"]; got != 7 {
		t.Errorf("counted %d, want 7", got)
	}
}

// TestWindow checks the boundaries of a window.
func TestWindow(t *testing.T) {
	at := time.Unix(25, 0)
	if w := Window(at, length); w != 5 || !End(w, length).Equal(time.Unix(30, 0)) {
		t.Errorf("window %d ends at %v", w, End(w, length))
	}
}

// TestOldCountsAreForgotten checks that a counter keeps the windows whose report
// is not due yet, and no others.
func TestOldCountsAreForgotten(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := NewCounter(length, 2*length)
	c.RecordStart("w", now)
	if rows := c.Rows(1, now.Add(3*length)); len(rows) != 1 {
		t.Errorf("%d counts before the report is due, want 1", len(rows))
	}
	c.Rows(1, now.Add(9*length))
	if len(c.counts) > 0 {
		t.Errorf("%d counts are still kept after the report", len(c.counts))
	}
}

// TestNewLeaderGetsAcknowledgedCounts checks that counts which only the previous leader
// has acknowledged are sent to the new one, although the first message to it, built
// before its term was known, left them out.
func TestNewLeaderGetsAcknowledgedCounts(t *testing.T) {
	c := NewCounter(time.Second, time.Second)
	now := time.Unix(1_700_000_000, 0)
	c.RecordStart("w", now)
	c.Acknowledged(1, c.Rows(1, now))
	c.Acknowledged(2, c.Rows(1, now))
	if rows := c.Rows(2, now); len(rows) != 1 || rows[0].Count != 1 {
		t.Errorf("the new leader is sent %v, want one count of 1", rows)
	}
	c.Acknowledged(2, c.Rows(2, now))
	if rows := c.Rows(2, now); len(rows) != 0 {
		t.Errorf("counts are sent again after they were acknowledged: %v", rows)
	}
}

// TestLeaderOfUnknownTermGetsAllCounts checks that a leader whose term the gateway learns
// only from its answer still gets the counts that an earlier leader has acknowledged,
// although the message was built for the earlier one.
func TestLeaderOfUnknownTermGetsAllCounts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := NewCounter(length, 10*time.Second)
	report := func(l *Ledger, asked, answers uint64) {
		rows := c.Rows(asked, now)
		l.Record("g", 1, rows)
		c.Acknowledged(answers, rows)
	}
	c.RecordStart("x", now)
	first, second := NewLedger(), NewLedger()
	report(first, 0, 1)
	c.RecordStart("y", now)
	report(second, 1, 2)
	c.RecordStart("z", now)
	report(second, 2, 2)
	want := map[string]int64{"x": 1, "y": 1, "z": 1}
	if diff := cmp.Diff(want, second.Total(Window(now, length))); diff != "" {
		t.Errorf("counts of the leader of the next term differ: %s", diff)
	}
}
