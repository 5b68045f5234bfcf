package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Bounds is the analyzer with fixed limits on the failures of the new version and on
// its mean time, whatever the number of answers says of their certainty.
type Bounds struct {
	totals            Assessment
	newSlow, oldSlow  float64 // These are sums of the logarithms of times.
	newTimes, oldTime float64
}

const (
	// boundAnswers are waited for, then boundFailures more of them than of the others may
	// fail, and their geometric mean time may be boundTimes that of the others.
	boundAnswers  = 20
	boundFailures = 0.1
	boundTimes    = 2.5
)

// Observe implements Analyzer.
func (b *Bounds) Observe(rows []protocol.EvidenceRow, _ time.Time) {
	for i := range rows {
		a := &rows[i].Answers
		sum, n := 0.0, 0.0
		for k, c := range a.First {
			sum += float64(c) * float64(k) / 2
			n += float64(c)
		}
		if rows[i].New {
			b.totals.New, b.totals.NewFailed = b.totals.New+a.Good+a.Bad, b.totals.NewFailed+a.Bad
			b.newSlow, b.newTimes = b.newSlow+sum, b.newTimes+n
		} else {
			b.totals.Old, b.totals.OldFailed = b.totals.Old+a.Good+a.Bad, b.totals.OldFailed+a.Bad
			b.oldSlow, b.oldTime = b.oldSlow+sum, b.oldTime+n
		}
	}
}

// Assessment implements Analyzer.
func (b *Bounds) Assessment() Assessment {
	v := b.totals
	if v.New < boundAnswers || v.Old < boundAnswers {
		return v
	}
	more := float64(v.NewFailed)/float64(v.New) - float64(v.OldFailed)/float64(v.Old)
	slower := 0.0
	if b.newTimes > 0 && b.oldTime > 0 {
		slower = math.Exp2(b.newSlow/b.newTimes - b.oldSlow/b.oldTime)
	}
	v.Bad = more > boundFailures || slower > boundTimes
	v.Reason = fmt.Sprintf("%.2f more failures, %.1f times as long", more, slower)
	return v
}
