package rollout

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/weldstream/weldstream/protocol"
)

// experimentSeeds is the number of seeds per scenario and analyzer.
const experimentSeeds = 40

// TestAnalyzersExperiment compares the two analyzers on the same synthetic scenarios: bad
// answers returned before the rollback, the new version's share of the requests, good
// versions rolled back, and bad versions completed.
func TestAnalyzersExperiment(t *testing.T) {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tanalyzer\tcompleted\tturned back\tbad answers, median\tmost\tshare, most\tseconds, median")
	for _, d := range scenarios() {
		for _, kind := range []struct {
			name string
			make func() Analyzer
		}{
			{"bounds", func() Analyzer { return &FixedThresholds{} }},
			{"sequential", func() Analyzer { return NewSequential() }},
		} {
			row := d.compare(kind.make)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.1f\n", d.name, kind.name, row.completed, row.rolledBack, row.medianBad, row.maxBad, row.maxShare, row.endedAt.Seconds())
			if kind.name != "sequential" {
				continue
			}
			if d.mustComplete && row.completed < experimentSeeds-2 {
				t.Errorf("%s: %d of %d good versions were completed", d.name, row.completed, experimentSeeds)
			}
			if !d.mustComplete && (row.completed > 0 || row.maxBad >= 50) {
				t.Errorf("%s: %d bad versions were completed, one gave %d bad answers", d.name, row.completed, row.maxBad)
			}
		}
	}
	_ = w.Flush() // Writes to memory.
	goldie.New(t).Assert(t, "analyzers", out.Bytes())
}

// comparison summarizes the runs of a scenario over all seeds.
type comparison struct {
	completed, rolledBack int
	medianBad, maxBad     int64
	maxShare              float64
	endedAt               time.Duration
}

func (d scenario) compare(make func() Analyzer) comparison {
	var c comparison
	var bad []int64
	var at []time.Duration
	for seed := range uint64(experimentSeeds) {
		o := d.simulate(seed+1, make())
		switch o.stage {
		case protocol.RolloutCompleted:
			c.completed++
		case protocol.RolloutRolledBack:
			c.rolledBack++
		}
		bad, at = append(bad, o.bad), append(at, o.endedAt)
		c.maxShare = max(c.maxShare, o.share)
	}
	slices.Sort(bad)
	slices.Sort(at)
	c.medianBad, c.maxBad, c.endedAt = bad[len(bad)/2], bad[len(bad)-1], at[len(at)/2]
	return c
}
