package group

import (
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// waiter is somebody who waits for a proposal or a read.
type waiter struct {
	command  *protocol.Command // command is set for a proposal.
	name     string            // name is set for a removal.
	handover bool              // handover is set for a hand-over.
	index    uint64
	term     uint64
	done     chan outcome
}

type outcome struct {
	result protocol.Result
	err    error
}

// ask hands a proposal, a read or a removal to the replica.
func (g *Group) ask(w *waiter) {
	g.token++
	g.waiting[g.token] = w
	switch {
	case g.full && w.command != nil && w.command.Finish == nil:
		g.askFull(w)
	case w.command != nil:
		w.command.At = g.timeOfDay().UnixMilli()
		data, err := state.EncodeCommand(w.command)
		if err != nil {
			g.answer(g.token, outcome{err: err})
			return
		}
		g.update(replicate.ProposeMsg{Token: g.token, Data: data})
	case w.handover:
		g.update(replicate.HandoverMsg{Token: g.token})
	case w.name != "":
		g.update(replicate.RemoveMsg{Token: g.token, Name: w.name})
	default:
		g.update(replicate.ReadMsg{Token: g.token})
	}
}

func (g *Group) answer(token uint64, o outcome) {
	if w := g.waiting[token]; w != nil {
		delete(g.waiting, token)
		w.done <- o
	}
}

func (g *Group) failAll(err error) {
	g.failProposals()
	for token := range g.waiting {
		g.answer(token, outcome{err: err})
	}
}

// failProposals answers proposals that are in the log but not committed.
func (g *Group) failProposals() {
	for index, w := range g.atIndex {
		delete(g.atIndex, index)
		w.done <- outcome{err: ErrUnknown}
	}
	for _, w := range g.reads {
		w.done <- outcome{err: replicate.ErrNotLeader}
	}
	g.reads = nil
}

func (g *Group) proposed(cmd replicate.ProposedCmd) {
	if cmd.Err != nil {
		g.answer(cmd.Token, outcome{err: cmd.Err})
		return
	}
	w := g.waiting[cmd.Token]
	delete(g.waiting, cmd.Token)
	w.index, w.term = cmd.Index, cmd.Term
	g.atIndex[cmd.Index] = w
}

func (g *Group) readable(cmd replicate.ReadCmd) {
	if cmd.Err != nil {
		g.answer(cmd.Token, outcome{err: cmd.Err})
		return
	}
	w := g.waiting[cmd.Token]
	if w == nil {
		return
	}
	delete(g.waiting, cmd.Token)
	w.index = cmd.Index
	g.reads = append(g.reads, w)
	g.answerReads()
}

func (g *Group) answerReads() {
	rest := g.reads[:0]
	for _, w := range g.reads {
		if w.index > g.applied {
			rest = append(rest, w)
			continue
		}
		w.done <- outcome{result: g.peek(w)}
	}
	g.reads = rest
}
