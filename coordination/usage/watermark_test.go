package usage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const windowLength = 5 * time.Second

// inWindow returns the time at an offset from the start of a window.
func inWindow(window int64, after time.Duration) time.Time {
	return End(window-1, windowLength).Add(after)
}

func TestMissing(t *testing.T) {
	const window, standalone = 100, 4 * time.Second
	end := End(window, windowLength)
	for _, c := range []struct {
		name   string
		report func(w *Watermarks)
		want   []string
	}{
		{"reported past the end", func(w *Watermarks) { w.Record("g", end, end.Add(time.Second)) }, nil},
		{"frozen before the end", func(w *Watermarks) { w.Record("g", end.Add(-time.Millisecond), end) }, []string{"g"}},
		{"partitioned before the window, still in standalone mode", func(w *Watermarks) {
			at := inWindow(window, -standalone)
			w.Record("g", at, at)
		}, []string{"g"}},
		{"partitioned before the window, past standalone mode", func(w *Watermarks) {
			at := inWindow(window, -standalone-time.Millisecond)
			w.Record("g", at, at)
		}, nil},
		{"reconnected", func(w *Watermarks) {
			w.Record("g", inWindow(window, time.Second), inWindow(window, time.Second))
			w.Record("g", end.Add(time.Second), end.Add(time.Second))
		}, nil},
		{"known only from the log", func(w *Watermarks) { w.Expect("g", inWindow(window, 0)) }, []string{"g"}},
		{"known from the log, reported since", func(w *Watermarks) {
			w.Record("g", end, end)
			w.Expect("g", inWindow(window, 0))
		}, nil},
		{"forgotten", func(w *Watermarks) {
			w.Record("g", inWindow(window, 0), inWindow(window, 0))
			w.Forget(end)
		}, nil},
	} {
		w := NewWatermarks(standalone)
		c.report(w)
		if got := w.Missing(window, windowLength); !slices.Equal(got, c.want) {
			t.Errorf("%s: missing gateways %v, want %v", c.name, got, c.want)
		}
	}
}

// TestCountsAreCompleteOnceNoneIsMissing has gateways count, report, disconnect and
// reconnect at random. The ledger must have every request that started in a window once
// no gateway is missing from it.
func TestCountsAreCompleteOnceNoneIsMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const standalone = 3 * time.Second
		ledger, marks := NewLedger(), NewWatermarks(standalone)
		gateways := rapid.IntRange(1, 4).Draw(t, "gateways")
		counters := make([]*Counter, gateways)
		heard := make([]time.Time, gateways)
		now := inWindow(100, 0)
		for i := range counters {
			counters[i], heard[i] = NewCounter(windowLength, 2*windowLength), now
			marks.Record(fmt.Sprint(i), now, now)
		}
		started := map[int64]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if rapid.Bool().Draw(t, "tells") {
				ledger.Record(fmt.Sprint(i), 1, counters[i].Rows(1, now))
				marks.Record(fmt.Sprint(i), now, now)
				heard[i] = now
			} else if now.Sub(heard[i]) <= standalone {
				counters[i].RecordStart("w", now)
				started[Window(now, windowLength)]++
			}
			w := Window(now, windowLength) - 1
			if got := ledger.Total(w)["w"]; len(marks.Missing(w, windowLength)) == 0 && got != started[w] {
				t.Fatalf("%d of %d counts of window %d are reported although no gateway is missing", got, started[w], w)
			}
		}
	})
}
