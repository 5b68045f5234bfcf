package group

import (
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// request is a proposal, read, removal or handover whose caller waits for the outcome.
type request struct {
	command    *protocol.Command // command is set for a proposal.
	removeName string            // removeName is set for a removal.
	handover   bool              // handover is set for a handover.
	index      uint64
	term       uint64
	done       chan outcome
}

type outcome struct {
	result protocol.Result
	err    error
}

// startRequest passes a request to the replica.
func (g *Group) startRequest(r *request) {
	g.token++
	g.requests[g.token] = r
	switch {
	case g.full && r.command != nil && r.command.Finish == nil:
		g.startWithoutSpace(r)
	case r.command != nil:
		r.command.At = g.timeOfDay().UnixMilli()
		data, err := state.EncodeCommand(r.command)
		if err != nil {
			g.answer(g.token, outcome{err: err})
			return
		}
		g.update(replicate.ProposeMsg{Token: g.token, Data: data})
	case r.handover:
		g.update(replicate.HandoverMsg{Token: g.token, Retire: true})
	case r.removeName != "":
		g.update(replicate.RemoveMsg{Token: g.token, Name: r.removeName})
	default:
		g.update(replicate.ReadMsg{Token: g.token})
	}
}

// answer completes the request with a token, if it still waits.
func (g *Group) answer(token uint64, o outcome) {
	if r := g.requests[token]; r != nil {
		delete(g.requests, token)
		r.done <- o
	}
}

// failAll fails all requests that are waiting.
func (g *Group) failAll(err error) {
	g.failProposals()
	for token := range g.requests {
		g.answer(token, outcome{err: err})
	}
}

// failProposals answers the proposals that are in the log and not yet applied, whose
// outcome is unknown, and the reads that wait for an index.
func (g *Group) failProposals() {
	for index, r := range g.proposals {
		delete(g.proposals, index)
		r.done <- outcome{err: ErrOutcomeUnknown}
	}
	for _, r := range g.reads {
		r.done <- outcome{err: replicate.ErrNotLeader}
	}
	g.reads = nil
}

// handleProposed tracks a proposal by the index it got in the log, or answers it if it
// was rejected.
func (g *Group) handleProposed(cmd replicate.ProposedCmd) {
	if cmd.Err != nil {
		g.answer(cmd.Token, outcome{err: cmd.Err})
		return
	}
	r := g.requests[cmd.Token]
	delete(g.requests, cmd.Token)
	r.index, r.term = cmd.Index, cmd.Term
	g.proposals[cmd.Index] = r
}

// handleRead answers a confirmed read once its index is applied.
func (g *Group) handleRead(cmd replicate.ReadCmd) {
	if cmd.Err != nil {
		g.answer(cmd.Token, outcome{err: cmd.Err})
		return
	}
	r := g.requests[cmd.Token]
	if r == nil {
		return
	}
	delete(g.requests, cmd.Token)
	r.index = cmd.Index
	g.reads = append(g.reads, r)
	g.answerReads()
}

// answerReads answers the reads whose index is applied.
func (g *Group) answerReads() {
	rest := g.reads[:0]
	for _, r := range g.reads {
		if r.index > g.applied {
			rest = append(rest, r)
			continue
		}
		r.done <- outcome{result: g.readResult(r)}
	}
	g.reads = rest
}
