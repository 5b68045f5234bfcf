package group

import (
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// apply applies committed entries and answers the proposals at their indexes. Where the
// entry's term differs from the proposal's, a new leader has replaced the proposed entry
// at that index.
func (g *Group) apply(entries []replicate.Entry) {
	for i := range entries {
		e := &entries[i]
		var result protocol.Result
		if e.Kind == replicate.EntryCommand {
			result = g.applyCommand(e)
		}
		g.applied = e.Index
		if r := g.proposals[e.Index]; r != nil {
			delete(g.proposals, e.Index)
			if r.term == e.Term {
				r.done <- outcome{result: result}
			} else {
				r.done <- outcome{err: ErrOutcomeUnknown}
			}
		}
	}
	g.answerReads()
	g.reportChanges()
}

func (g *Group) applyCommand(e *replicate.Entry) protocol.Result {
	c, err := state.DecodeCommand(e.Data)
	if err != nil {
		// Decoding fails in the same way on every replica, so ignoring the entry keeps
		// their states equal.
		g.log.Error().Err(err).Uint64("index", e.Index).Msg("cannot decode a committed entry; ignoring it")
		return protocol.Result{}
	}
	return g.machine.Apply(c)
}

// reportChanges calls the callbacks for each part of the state that has changed since it
// was last reported.
func (g *Group) reportChanges() {
	number, config := g.machine.Revision()
	if number > g.reportedRevision {
		g.reportedRevision = number
		g.revision(number, config)
	}
	if number, data := g.machine.Document(); number > g.reportedDocument {
		g.reportedDocument = number
		g.document(number, data)
	}
	if changes := g.machine.RolloutChanges(); changes > g.reportedRollouts {
		g.reportedRollouts = changes
		g.rollouts(g.machine.RolloutLog())
	}
	if changes := g.machine.QuarantineChanges(); changes > g.reportedQuarantine {
		g.reportedQuarantine = changes
		g.quarantine(g.machine.QuarantineLog())
	}
	if changes := g.machine.BrittleChanges(); changes > g.reportedBrittle {
		g.reportedBrittle = changes
		g.brittle(g.machine.BrittleServices())
	}
}
