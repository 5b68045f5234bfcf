package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// mostKept and mostKeptRuns bound what a gateway keeps to tell further leaders. A run
	// takes 32 bytes.
	mostKept     = 256
	mostKeptRuns = 2048
	// mostTold bounds the observations in one message, so that one behind a storm of ends
	// is no larger than others by more than some ten kilobytes.
	mostTold = 32
)

// Observations are what one gateway saw, until all leaders that may need it have a report of it: a
// new one knows nothing but the log, and asks all gateways for theirs.
type Observations struct {
	rows []observation
	runs int
	next uint64
}

// observation is one row.
type observation struct {
	protocol.Observation
	at      time.Time
	ackedBy uint64 // ackedBy is the term of the leader that has it; 0 for none.
}

// Add keeps an observation.
func (o *Observations) Add(row protocol.Observation, at time.Time) {
	o.next++
	row.Number = o.next
	o.rows = append(o.rows, observation{Observation: row, at: at})
	o.runs += len(row.Runs)
	for len(o.rows) > 1 && (len(o.rows) > mostKept || o.runs > mostKeptRuns || at.Sub(o.rows[0].at) > forgetAfter) {
		o.runs -= len(o.rows[0].Runs)
		o.rows = slices.Delete(o.rows, 0, 1)
	}
}

// Report returns what the leader of a term lacks, the oldest first.
func (o *Observations) Report(term uint64, now time.Time) []protocol.Observation {
	var list []protocol.Observation
	for i := range o.rows {
		row := &o.rows[i]
		if row.ackedBy == term && term != 0 {
			continue
		}
		next := row.Observation
		next.Ago = max(0, now.Sub(row.at))
		if list = append(list, next); len(list) == mostTold {
			break
		}
	}
	return list
}

// Acknowledged notes that the leader of a term has a report.
func (o *Observations) Acknowledged(term uint64, list []protocol.Observation) {
	for i := range list {
		for k := range o.rows {
			if o.rows[k].Number == list[i].Number {
				o.rows[k].ackedBy = term
			}
		}
	}
}

// Len returns how many observations and runs are kept.
func (o *Observations) Len() (rows, runs int) { return len(o.rows), o.runs }
