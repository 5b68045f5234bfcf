package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// promptLocations is what a gateway knows about which servers hold which shared parts of
// prompts.
type promptLocations struct {
	holders    *place.Holders
	unreported []protocol.Prefill // unreported are prefills that the leader has not been told about.
	term       uint64             // term is the term of the leader whose prefill log is followed.
	position   uint64             // position is the position in that log up to which entries are known.
}

// minCopiedTokens is the smallest number of tokens worth copying from another server: for
// fewer, the prefill takes about as long as requesting the copy.
const minCopiedTokens = 64

// planCopy records that a server is sent the prompt, and returns the address of the server
// from which it is to copy shared parts, or an empty string.
func (x *exchange) planCopy(at *place.Server) (from string) {
	if x.g.cfg.DisablePromptCopies || x.copyRate() <= 0 || len(x.promptChain) == 0 || x.continuation != nil {
		return ""
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	from = x.copyFrom(at, now)
	if from != "" {
		g.meters.promptCopies.Inc(1)
	}
	x.newLinks = g.prompts.holders.Record(at.ID, x.promptChain, now)
	return from
}

// recordPrefill records whether the server has read the prompt that it was sent. If it has,
// the leader is told of the new parts, unless the leader placed the prompt itself. If not,
// the server is no longer recorded as holding them.
func (x *exchange) recordPrefill(at *place.Server, read bool) {
	if len(x.newLinks) == 0 {
		return
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !read:
		g.prompts.holders.Forget(at.ID, x.newLinks)
	case x.placement.Server == "":
		g.prompts.unreported = append(g.prompts.unreported, protocol.Prefill{Server: at.ID, Links: x.newLinks})
	}
	x.newLinks = nil
}

// copyFrom returns the address of the server to copy from: the holder named by the leader or,
// for a prompt placed locally, the best holder known to this gateway. The caller must hold
// g.mu.
func (x *exchange) copyFrom(at *place.Server, now time.Time) string {
	view := x.g.view.Load()
	may := func(s *place.Server) bool {
		return s.ID != at.ID && s.Service == at.Service && s.Version == at.Version && !s.Stats.Suspect(now)
	}
	if x.placement.Server != "" {
		if holder := view.Find(x.placement.Holder); holder != nil && may(holder) {
			return holder.Address
		}
		return ""
	}
	holders := x.g.prompts.holders
	holder, tokens := holders.Find(view, x.promptChain, at.Domain, may, now)
	if tokens < holders.HeldTokens(at.ID, x.promptChain, now)+minCopiedTokens {
		return ""
	}
	return view.Find(holder).Address
}

// reportPrefills adds to a report the prefills that the leader of a term does not know of,
// and the position up to which its log is known. The caller must hold g.mu.
func (g *Gateway) reportPrefills(term uint64, m *protocol.SyncMsg) {
	if g.prompts.term != term {
		g.prompts.term, g.prompts.position = term, 0
	}
	m.Readings, m.ReadingsAt = g.prompts.unreported, g.prompts.position
	g.prompts.unreported = nil // These are only hints, so losing them with the message does no harm.
}

// applyPrefills applies the entries of the leader's prefill log. The caller must hold g.mu.
func (g *Gateway) applyPrefills(reply *protocol.SyncReply, now time.Time) {
	if reply.ReadingsAt == 0 {
		return
	}
	g.prompts.term, g.prompts.position = reply.Term, reply.ReadingsAt
	g.prompts.holders.RecordPacked(g.view.Load(), reply.Readings, now)
}
