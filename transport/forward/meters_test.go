package forward

import (
	"fmt"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/protocol"
)

// TestOutcomesAreBounded checks that requests are counted by route, workspace and verdict,
// and that the number of counters is bounded: beyond the bound there is one more counter for
// each verdict.
func TestOutcomesAreBounded(t *testing.T) {
	r := metrics.NewRegistry()
	m := newMeters(r)
	m.countOutcome(outcome{"r", "w", protocol.Ran})
	m.countOutcome(outcome{"r", "w", protocol.Ran})
	if c, ok := r.Get(`requests.ended{route="r",workspace="w",verdict="ran"}`).(metrics.Counter); !ok || c.Count() != 2 {
		t.Errorf("counted as %v", c)
	}
	for i := range 2 * maxOutcomes {
		m.countOutcome(outcome{fmt.Sprint("route-", i), "w", protocol.NotRun})
	}
	total, names := int64(0), 0
	r.Each(func(name string, c any) {
		if strings.HasPrefix(name, "requests.ended") {
			total += c.(metrics.Counter).Count()
			names++
		}
	})
	if total != 2*maxOutcomes+2 || names != maxOutcomes+1 {
		t.Errorf("%d requests under %d names", total, names)
	}
}

// TestRequestsAreCountedByOutcome checks that an answer and a refusal are each counted once,
// with their verdicts.
func TestRequestsAreCountedByOutcome(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	if got := w.ask(); got.status != 503 {
		t.Fatalf("without a server: %+v", got)
	}
	w.backend("a", answerOK)
	if got := w.ask(); got.status != 200 {
		t.Fatalf("with a server: %+v", got)
	}
	got := map[protocol.Verdict]int64{}
	for o, c := range w.g.meters.ended {
		got[o.verdict] += c.Count()
	}
	if len(got) != 2 || got[protocol.NotRun] != 1 || got[protocol.Ran] != 1 {
		t.Errorf("counted %v", got)
	}
}

// TestRetriesAreCounted checks that decisions on the retry budget are counted by service and
// outcome, and that the number of counters is bounded.
func TestRetriesAreCounted(t *testing.T) {
	r := metrics.NewRegistry()
	m := newMeters(r)
	m.countRetry("s", true)
	m.countRetry("s", false)
	m.countRetry("s", false)
	for name, want := range map[string]int64{`retries.granted{service="s"}`: 1, `retries.refused{service="s"}`: 2} {
		if c, ok := r.Get(name).(metrics.Counter); !ok || c.Count() != want {
			t.Errorf("%s: %v, want %d", name, r.Get(name), want)
		}
	}
	for i := range 2 * maxOutcomes {
		m.countRetry(fmt.Sprint("service-", i), false)
	}
	names := 0
	r.Each(func(name string, _ any) {
		if strings.HasPrefix(name, "retries.") {
			names++
		}
	})
	if names != maxOutcomes+1 {
		t.Errorf("%d counters, want %d", names, maxOutcomes+1)
	}
}
