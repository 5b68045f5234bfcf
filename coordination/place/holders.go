package place

import (
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// Chain returns the links of a prompt's shareable parts: all parts but the last. Each
// link's hash covers the parts up to it; that of the last link equals [Prefix].
func Chain(parts []protocol.PromptPart) []protocol.PromptLink {
	if len(parts) < 2 {
		return nil
	}
	chain := make([]protocol.PromptLink, len(parts)-1)
	var at protocol.PromptLink
	for i := range chain {
		at = protocol.PromptLink{Hash: mix(at.Hash ^ parts[i].ID), Tokens: at.Tokens + parts[i].Tokens}
		chain[i] = at
	}
	return chain
}

const (
	// maxHoldersPerLink is how many servers are remembered for one link. Most servers of a
	// lane hold the common first parts: with a limit of 4, most prefills counted as new,
	// and the leader sent 0.007 GB a minute more.
	maxHoldersPerLink = 64
	// maxLinks bounds the remembered links; each takes a few hundred bytes.
	maxLinks = 8192
	// distancePenaltyTokens is how many more tokens a holder one step of distance further
	// away must hold to be preferred. A copy between domains takes twice as long, and one
	// between regions also starts some milliseconds later.
	distancePenaltyTokens = 256
	// agePenaltyTokens is how many more tokens a holder must hold for each second that its
	// prefill is older, because servers evict the least recently used entries first.
	agePenaltyTokens = 100
	// assumedPrefill is how long a server is assumed to be still busy with the prefill of
	// its latest prompt; a copy made in that time lacks the rest. Half of all first events
	// arrive within it.
	assumedPrefill = 150 * time.Millisecond
	// residentTime is how long a server is certain to hold what it has prefilled. A KV
	// cache of 500,000 tokens is replaced after about 25 s at 20,000 tokens a second, and
	// running requests take part of it. After that time another holder is named for the
	// copy; a server that still holds the parts copies nothing.
	residentTime = 8 * time.Second
)

// linkKey is the part of a link's hash under which it is stored. A collision costs one
// query to a server that holds nothing.
type linkKey uint32

// keyOf returns the upper half of the link's hash.
func keyOf(link protocol.PromptLink) linkKey { return linkKey(link.Hash >> 32) }

// Holders tracks which servers prefilled which links last. It is a hint, since a server may
// have evicted them. It is not safe for concurrent use.
type Holders struct {
	links    map[linkKey][]holderEntry
	topology *topology.Topology
}

// holderEntry is one server that has prefilled a link.
type holderEntry struct {
	server       string
	lastPrefill  time.Time // lastPrefill is when the link was last sent to the server.
	firstPrefill time.Time // firstPrefill is the start of the latest series of sends with no gap of prefixTTL or more.
}

// NewHolders returns an empty tracker.
func NewHolders(t *topology.Topology) *Holders {
	return &Holders{links: map[linkKey][]holderEntry{}, topology: t}
}

// Record records that a prompt was sent to a server, and returns the keys of the links that
// the server was not known to hold.
func (h *Holders) Record(server string, chain []protocol.PromptLink, now time.Time) (newKeys []uint32) {
	for _, link := range chain {
		if key := keyOf(link); h.record(server, key, now) {
			newKeys = append(newKeys, uint32(key))
		}
	}
	h.enforceLimit(now)
	return newKeys
}

// enforceLimit evicts links if there are more than maxLinks.
func (h *Holders) enforceLimit(now time.Time) {
	if len(h.links) > maxLinks {
		h.evict(now)
	}
}

// record records that a link was sent to a server, and reports whether the server was not
// known to hold it.
func (h *Holders) record(server string, key linkKey, now time.Time) (isNew bool) {
	rows := h.links[key]
	oldest := 0
	for i := range rows {
		if rows[i].server == server {
			if isNew = now.Sub(rows[i].lastPrefill) >= prefixTTL; isNew {
				rows[i].firstPrefill = now
			}
			rows[i].lastPrefill = now
			return isNew
		}
		if rows[i].lastPrefill.Before(rows[oldest].lastPrefill) {
			oldest = i
		}
	}
	row := holderEntry{server: server, lastPrefill: now, firstPrefill: now}
	if len(rows) < maxHoldersPerLink {
		h.links[key] = append(rows, row)
		return true
	}
	rows[oldest] = row
	return true
}

// evict drops links that were not used for prefixTTL, then halves that time until at most
// half of maxLinks remain or the time is down to a second.
func (h *Holders) evict(now time.Time) {
	for limit := prefixTTL; len(h.links) > maxLinks/2 && limit > time.Second; limit /= 2 {
		for key, rows := range h.links {
			if !usedSince(rows, now.Add(-limit)) {
				delete(h.links, key)
			}
		}
	}
}

// usedSince reports whether any server prefilled the link after a time.
func usedSince(rows []holderEntry, since time.Time) bool {
	for _, r := range rows {
		if r.lastPrefill.After(since) {
			return true
		}
	}
	return false
}

// Len returns the number of remembered links.
func (h *Holders) Len() int { return len(h.links) }

// Forget removes the links that Record returned as new, after the server turned out not to
// have run the prompt.
func (h *Holders) Forget(server string, newKeys []uint32) {
	for _, key := range newKeys {
		rows := h.links[linkKey(key)]
		h.links[linkKey(key)] = slices.DeleteFunc(rows, func(r holderEntry) bool { return r.server == server })
		if len(h.links[linkKey(key)]) == 0 {
			delete(h.links, linkKey(key))
		}
	}
}

// HeldTokens returns how many tokens of a prompt's shared parts the server is certain to
// hold.
func (h *Holders) HeldTokens(server string, chain []protocol.PromptLink, now time.Time) int {
	for i := len(chain) - 1; i >= 0; i-- {
		for _, r := range h.links[keyOf(chain[i])] {
			if r.server == server && now.Sub(r.lastPrefill) < residentTime {
				return chain[i].Tokens
			}
		}
	}
	return 0
}

// Find returns the best server to copy a prompt's shared parts from, and how many of their
// tokens it holds. More tokens win; among about equal holders the one nearest to the domain
// with the latest prefill does. Servers that are not allowed are skipped. A leaving server
// is used while it is listed.
func (h *Holders) Find(v *View, chain []protocol.PromptLink, domain string, allowed func(*Server) bool, now time.Time) (holder string, tokens int) {
	best := math.MinInt
	for _, link := range chain {
		for _, r := range h.links[keyOf(link)] {
			if now.Sub(r.lastPrefill) >= prefixTTL {
				continue
			}
			s := v.Find(r.server)
			if s == nil || !allowed(s) {
				continue
			}
			score := link.Tokens - distancePenaltyTokens*int(h.topology.Distance(s.Domain, domain)) - int(agePenaltyTokens*now.Sub(r.lastPrefill).Seconds())
			if now.Sub(r.firstPrefill) < assumedPrefill {
				score -= link.Tokens / 2
			}
			if score > best {
				best, holder, tokens = score, r.server, link.Tokens
			}
		}
	}
	return holder, tokens
}

// copySource returns the server that the chosen server, at, should copy a prompt's shared
// parts from, or "" for none. The given holder has prefilled all of them and is kept if the
// prompt carries no links. Otherwise the best holder for the chosen server is looked up,
// including servers that hold only some of the parts.
func (ps *PromptScheduler) copySource(v *View, at *Server, holder string, m PromptMsg, now time.Time) string {
	if m.Copies <= 0 || len(m.Chain) == 0 {
		return holder
	}
	found, tokens := ps.holders.Find(v, m.Chain, at.Domain, func(s *Server) bool {
		return s.ID != at.ID && s.Service == at.Service && s.Version == at.Version && !ps.loads.Distrusted(s.ID, m.Domain)
	}, now)
	if tokens <= ps.holders.HeldTokens(at.ID, m.Chain, now) {
		return ""
	}
	return found
}

// RecordPrefill records links that a server prefilled for a gateway that placed the prompt
// itself.
func (ps *PromptScheduler) RecordPrefill(server string, links []uint32, now time.Time) {
	for _, key := range links {
		ps.holders.record(server, linkKey(key), now)
	}
	ps.holders.enforceLimit(now)
}
