package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// maxObservations and maxObservedRuns bound what a gateway keeps for later leaders. A run
	// takes 32 bytes.
	maxObservations = 256
	maxObservedRuns = 2048
	// maxReported bounds the observations in one message, so that a message after many crashes
	// is at most some ten kilobytes larger than others.
	maxReported = 32
)

// Observations are those of one gateway. They are kept after the leader has them, because a
// new leader knows only the log and asks all gateways for their observations.
type Observations struct {
	rows       []observation
	runs       int
	lastNumber uint64
}

// observation is an observation with its time and the state of its report.
type observation struct {
	protocol.Observation
	at        time.Time
	ackedTerm uint64 // ackedTerm is the term of the last leader that acknowledged it; 0 for none.
}

// Add stores an observation, and removes the oldest ones beyond the bounds.
func (o *Observations) Add(row protocol.Observation, at time.Time) {
	o.dropEarlierSuccess(&row)
	o.lastNumber++
	row.Number = o.lastNumber
	o.rows = append(o.rows, observation{Observation: row, at: at})
	o.runs += len(row.Runs)
	for len(o.rows) > 1 && (len(o.rows) > maxObservations || o.runs > maxObservedRuns || at.Sub(o.rows[0].at) > retention) {
		o.runs -= len(o.rows[0].Runs)
		o.rows = slices.Delete(o.rows, 0, 1)
	}
}

// dropEarlierSuccess removes the earlier success of a part that a row repeats: only the last one counts.
func (o *Observations) dropEarlierSuccess(row *protocol.Observation) {
	if row.Server != "" || len(row.Runs) != 1 || !row.Runs[0].IsPart() {
		return
	}
	o.rows = slices.DeleteFunc(o.rows, func(r observation) bool {
		repeated := r.Server == "" && r.Runs[0].Fingerprint == row.Runs[0].Fingerprint
		if repeated {
			o.runs--
		}
		return repeated
	})
}

// Report returns the observations that the leader of a term does not have yet, the oldest
// first and at most maxReported. Term 0 stands for an unknown leader, which has none.
func (o *Observations) Report(term uint64, now time.Time) []protocol.Observation {
	var list []protocol.Observation
	for i := range o.rows {
		row := &o.rows[i]
		if row.ackedTerm == term && term != 0 {
			continue
		}
		next := row.Observation
		next.Ago = max(0, now.Sub(row.at))
		if list = append(list, next); len(list) == maxReported {
			break
		}
	}
	return list
}

// Acknowledged marks a report as received by the leader of a term.
func (o *Observations) Acknowledged(term uint64, list []protocol.Observation) {
	for i := range list {
		for k := range o.rows {
			if o.rows[k].Number == list[i].Number {
				o.rows[k].ackedTerm = term
			}
		}
	}
}

// Len returns the number of stored observations and of their runs.
func (o *Observations) Len() (rows, runs int) { return len(o.rows), o.runs }
