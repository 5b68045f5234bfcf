package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// promptMemory is what a gateway knows of where the shared parts of prompts lie.
type promptMemory struct {
	holders    *place.Holders
	unreported []protocol.Prefill // unreported are readings that the leader does not know of.
	term       uint64             // term is of the leader whose log of readings is followed,
	position   uint64             // and position is up to where.
}

// leastCopied is the least number of tokens that are worth a copy from another server:
// the prefill of fewer takes about as long as asking for them.
const leastCopied = 64

// planCopy notes that a server is sent the prompt, and returns the address of a server
// that it is to copy shared parts of it from, or none.
func (x *exchange) planCopy(at *place.Server) (from string) {
	if x.g.cfg.DisablePromptCopies || x.copyRate() <= 0 || len(x.chain) == 0 || x.continuation != nil {
		return ""
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	from = x.copyFrom(at, now)
	if from != "" {
		g.meters.copies.Inc(1)
	}
	x.newLinks = g.prompts.holders.Record(at.ID, x.chain, now)
	return from
}

// notePromptRead notes whether the server has read what it was sent. If so the leader is told
// of what is news, unless it placed the prompt; if not the server is not known to hold it.
func (x *exchange) notePromptRead(at *place.Server, read bool) {
	if len(x.newLinks) == 0 {
		return
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !read:
		g.prompts.holders.Forget(at.ID, x.newLinks)
	case x.placed.Server == "":
		g.prompts.unreported = append(g.prompts.unreported, protocol.Prefill{Server: at.ID, Links: x.newLinks})
	}
	x.newLinks = nil
}

// copyFrom finds whom to copy from: the holder that the leader named, or, for a prompt
// that was placed here, the best one that is known here. It needs g.mu.
func (x *exchange) copyFrom(at *place.Server, now time.Time) string {
	view := x.g.view.Load()
	may := func(s *place.Server) bool {
		return s.ID != at.ID && s.Service == at.Service && s.Version == at.Version && !s.Stats.Suspect(now)
	}
	if x.placed.Server != "" {
		if holder := view.Find(x.placed.Holder); holder != nil && may(holder) {
			return holder.Address
		}
		return ""
	}
	holders := x.g.prompts.holders
	holder, tokens := holders.Find(view, x.chain, at.Domain, may, now)
	if tokens < holders.HeldTokens(at.ID, x.chain, now)+leastCopied {
		return ""
	}
	return view.Find(holder).Address
}

// reportReadings tells the leader of a term what it does not know, and up to where its
// log is known here. It needs g.mu.
func (g *Gateway) reportReadings(term uint64, m *protocol.SyncMsg) {
	if g.prompts.term != term {
		g.prompts.term, g.prompts.position = term, 0
	}
	m.Readings, m.ReadingsAt = g.prompts.unreported, g.prompts.position
	g.prompts.unreported = nil // What is lost with the message is a hint less.
}

// takeReadings takes what the leader of a term tells of its log. It needs g.mu.
func (g *Gateway) takeReadings(reply *protocol.SyncReply, now time.Time) {
	if reply.ReadingsAt == 0 {
		return
	}
	g.prompts.term, g.prompts.position = reply.Term, reply.ReadingsAt
	g.prompts.holders.RecordPacked(g.view.Load(), reply.Readings, now)
}
