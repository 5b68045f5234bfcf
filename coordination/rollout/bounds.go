package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// FixedThresholds is an [Analyzer] with fixed limits on the difference in failure rates and
// on the ratio of mean times. It ignores how certain these are at the given number of
// answers. It serves as the reference for [Sequential] in TestAnalyzersExperiment.
type FixedThresholds struct {
	totals               Assessment
	newLogSum, oldLogSum float64 // Sums of binary logarithms of times.
	newTimed, oldTimed   float64
}

const (
	// thresholdAnswers are required of either side. Beyond that, a version is rolled back
	// if its failure rate exceeds that of the others by failureThreshold, or its geometric
	// mean time exceeds slowdownThreshold times theirs.
	thresholdAnswers  = 20
	failureThreshold  = 0.1
	slowdownThreshold = 2.5
)

// Observe implements [Analyzer].
func (b *FixedThresholds) Observe(rows []protocol.EvidenceRow, _ time.Time) {
	for i := range rows {
		a := &rows[i].Answers
		logSum, n := 0.0, 0.0
		for k, c := range a.First {
			logSum += float64(c) * float64(k) / 2
			n += float64(c)
		}
		if rows[i].New {
			b.totals.New, b.totals.NewFailed = b.totals.New+a.Good+a.Bad, b.totals.NewFailed+a.Bad
			b.newLogSum, b.newTimed = b.newLogSum+logSum, b.newTimed+n
		} else {
			b.totals.Old, b.totals.OldFailed = b.totals.Old+a.Good+a.Bad, b.totals.OldFailed+a.Bad
			b.oldLogSum, b.oldTimed = b.oldLogSum+logSum, b.oldTimed+n
		}
	}
}

// Assessment implements [Analyzer].
func (b *FixedThresholds) Assessment() Assessment {
	v := b.totals
	if v.New < thresholdAnswers || v.Old < thresholdAnswers {
		return v
	}
	difference := float64(v.NewFailed)/float64(v.New) - float64(v.OldFailed)/float64(v.Old)
	slowdown := 0.0
	if b.newTimed > 0 && b.oldTimed > 0 {
		slowdown = math.Exp2(b.newLogSum/b.newTimed - b.oldLogSum/b.oldTimed)
	}
	v.RollBack = difference > failureThreshold || slowdown > slowdownThreshold
	v.Reason = fmt.Sprintf("%.2f more failures, %.1f times as long", difference, slowdown)
	return v
}
