package group

import (
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// apply applies committed entries and answers those who wait for them.
func (g *Group) apply(entries []replicate.Entry) {
	for i := range entries {
		e := &entries[i]
		var result protocol.Result
		if e.Kind == replicate.EntryCommand {
			result = g.applyCommand(e)
		}
		g.applied = e.Index
		if w := g.atIndex[e.Index]; w != nil {
			delete(g.atIndex, e.Index)
			if w.term == e.Term {
				w.done <- outcome{result: result}
			} else {
				w.done <- outcome{err: ErrUnknown}
			}
		}
	}
	g.answerReads()
	g.reportChanges()
}

func (g *Group) applyCommand(e *replicate.Entry) protocol.Result {
	c, err := state.DecodeCommand(e.Data)
	if err != nil {
		// Every replica finds the same: the entry changes nothing.
		g.log.Error().Err(err).Uint64("index", e.Index).Msg("an entry cannot be read")
		return protocol.Result{}
	}
	return g.machine.Apply(c)
}

// reportChanges hands on what the commands applied last have changed.
func (g *Group) reportChanges() {
	number, config := g.machine.Revision()
	if number > g.reported {
		g.reported = number
		g.revision(number, config)
	}
	if number, data := g.machine.Document(); number > g.reportedDoc {
		g.reportedDoc = number
		g.document(number, data)
	}
	if changes := g.machine.RolloutChanges(); changes > g.reportedRollouts {
		g.reportedRollouts = changes
		g.rollouts(g.machine.RolloutLog())
	}
	if changes := g.machine.QuarantineChanges(); changes > g.reportedHeld {
		g.reportedHeld = changes
		g.quarantine(g.machine.QuarantineLog())
	}
}
