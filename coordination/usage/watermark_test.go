package usage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const windowLength = 5 * time.Second

// inWindow is a time so long after the start of a window.
func inWindow(window int64, after time.Duration) time.Time {
	return End(window-1, windowLength).Add(after)
}

func TestMissing(t *testing.T) {
	const window, alone = 100, 4 * time.Second
	end := End(window, windowLength)
	for _, c := range []struct {
		name string
		tell func(w *Watermarks)
		want []string
	}{
		{"told beyond the end", func(w *Watermarks) { w.Record("g", end, end.Add(time.Second)) }, nil},
		{"frozen before the end", func(w *Watermarks) { w.Record("g", end.Add(-time.Millisecond), end) }, []string{"g"}},
		{"cut off before the window, while it may serve alone", func(w *Watermarks) {
			at := inWindow(window, -alone)
			w.Record("g", at, at)
		}, []string{"g"}},
		{"cut off for longer than it serves alone", func(w *Watermarks) {
			at := inWindow(window, -alone-time.Millisecond)
			w.Record("g", at, at)
		}, nil},
		{"it comes back", func(w *Watermarks) {
			w.Record("g", inWindow(window, time.Second), inWindow(window, time.Second))
			w.Record("g", end.Add(time.Second), end.Add(time.Second))
		}, nil},
		{"known from the log alone", func(w *Watermarks) { w.Expect("g", inWindow(window, 0)) }, []string{"g"}},
		{"known from the log, and told since", func(w *Watermarks) {
			w.Record("g", end, end)
			w.Expect("g", inWindow(window, 0))
		}, nil},
		{"forgotten", func(w *Watermarks) {
			w.Record("g", inWindow(window, 0), inWindow(window, 0))
			w.Forget(end)
		}, nil},
	} {
		w := NewWatermarks(alone)
		c.tell(w)
		if got := w.Missing(window, windowLength); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v are missing, want %v", c.name, got, c.want)
		}
	}
}

// TestNothingIsLostOnceNoneIsMissing has gateways count, tell what they counted, fall
// silent and come back at random: a window of which no gateway is missing holds every
// request that began in it.
func TestNothingIsLostOnceNoneIsMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const alone = 3 * time.Second
		ledger, marks := NewLedger(), NewWatermarks(alone)
		gateways := rapid.IntRange(1, 4).Draw(t, "gateways")
		counters := make([]*Counter, gateways)
		heard := make([]time.Time, gateways)
		now := inWindow(100, 0)
		for i := range counters {
			counters[i], heard[i] = NewCounter(windowLength, 2*windowLength), now
			marks.Record(fmt.Sprint(i), now, now)
		}
		began := map[int64]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if rapid.Bool().Draw(t, "tells") {
				ledger.Record(fmt.Sprint(i), 1, counters[i].Rows(1, now))
				marks.Record(fmt.Sprint(i), now, now)
				heard[i] = now
			} else if now.Sub(heard[i]) <= alone {
				counters[i].RecordStart("w", now)
				began[Window(now, windowLength)]++
			}
			w := Window(now, windowLength) - 1
			if got := ledger.Total(w)["w"]; len(marks.Missing(w, windowLength)) == 0 && got != began[w] {
				t.Fatalf("%d of %d are told of window %d, and no gateway is missing", got, began[w], w)
			}
		}
	})
}
