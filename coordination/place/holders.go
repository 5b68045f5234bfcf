package place

import (
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// Chain returns the links of the parts that other requests may share: all but the
// last. The hash of the last link is [Prefix].
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
	// holdersKept are how many servers are remembered for one link. First parts are held
	// by most servers of a lane; with 4, most readings of them counted as news, and what
	// the leader sends grew by 0.007 GB a minute.
	holdersKept = 64
	// linksMost bounds the links that are remembered; each takes some hundred bytes.
	linksMost = 8192
	// distanceTokens is how many tokens more a holder of the next distance has to hold
	// to be asked before a nearer one. Between domains a copy takes twice as long, and
	// the first bytes of one come some milliseconds later between regions.
	distanceTokens = 256
	// ageTokens is how many tokens more a holder has to hold for each second that it read
	// them earlier: what was unused for longest is what a server drops first.
	ageTokens = 100
	// readingTime is how long a server is taken to be still reading (prefill) what it was
	// given last: a copy made meanwhile lacks the rest. Half of all first events come
	// within that time.
	readingTime = 150 * time.Millisecond
	// surelyHeld is how long a server is sure to hold what it read: memory for 500,000
	// tokens is full of other prompts after some 25 s at 20,000 tokens a second, of which
	// running requests take a part. After that time another holder is named to it; if it still
	// holds the parts, nothing is copied.
	surelyHeld = 8 * time.Second
)

// linkKey is the part of a link's hash by which it is remembered. Two links that share
// it cost a question to a server that holds nothing.
type linkKey uint32

// keyOf returns the key of a link: the front half of its hash.
func keyOf(link protocol.PromptLink) linkKey { return linkKey(link.Hash >> 32) }

// Holders remembers which servers read which links last. It is a hint: a server may
// have dropped them since. It is not safe for use by several goroutines.
type Holders struct {
	links    map[linkKey][]holding
	topology *topology.Topology
}

// holding is one server that read a link.
type holding struct {
	server string
	at     time.Time // at is when it was last given the link to read.
	since  time.Time // since is when it was given it first, without a pause of prefixKept.
}

// NewHolders returns holders of which nothing is known.
func NewHolders(t *topology.Topology) *Holders {
	return &Holders{links: map[linkKey][]holding{}, topology: t}
}

// Record notes that a server was given a prompt to read, and returns the keys of the
// links that it was not known to hold.
func (h *Holders) Record(server string, chain []protocol.PromptLink, now time.Time) (fresh []uint32) {
	for _, link := range chain {
		if key := keyOf(link); h.note(server, key, now) {
			fresh = append(fresh, uint32(key))
		}
	}
	h.bound(now)
	return fresh
}

// bound keeps the links within linksMost.
func (h *Holders) bound(now time.Time) {
	if len(h.links) > linksMost {
		h.forget(now)
	}
}

// note notes that a server reads a link, and reports whether it was not known to hold it.
func (h *Holders) note(server string, key linkKey, now time.Time) (fresh bool) {
	rows := h.links[key]
	oldest := 0
	for i := range rows {
		if rows[i].server == server {
			if fresh = now.Sub(rows[i].at) >= prefixKept; fresh {
				rows[i].since = now
			}
			rows[i].at = now
			return fresh
		}
		if rows[i].at.Before(rows[oldest].at) {
			oldest = i
		}
	}
	row := holding{server: server, at: now, since: now}
	if len(rows) < holdersKept {
		h.links[key] = append(rows, row)
		return true
	}
	rows[oldest] = row
	return true
}

// forget drops the links that nobody read for long, and where that is not enough
// those of the older half of that time.
func (h *Holders) forget(now time.Time) {
	for limit := prefixKept; len(h.links) > linksMost/2 && limit > time.Second; limit /= 2 {
		for key, rows := range h.links {
			if !recent(rows, now.Add(-limit)) {
				delete(h.links, key)
			}
		}
	}
}

// recent reports whether some server read a link after a time.
func recent(rows []holding, since time.Time) bool {
	for _, r := range rows {
		if r.at.After(since) {
			return true
		}
	}
	return false
}

// Len returns how many links are remembered.
func (h *Holders) Len() int { return len(h.links) }

// Forget notes that a server proved not to have run a prompt: what it was not known to
// hold before it does not hold.
func (h *Holders) Forget(server string, fresh []uint32) {
	for _, key := range fresh {
		rows := h.links[linkKey(key)]
		h.links[linkKey(key)] = slices.DeleteFunc(rows, func(r holding) bool { return r.server == server })
		if len(h.links[linkKey(key)]) == 0 {
			delete(h.links, linkKey(key))
		}
	}
}

// HeldTokens returns how many tokens of a prompt's shared parts a server surely holds.
func (h *Holders) HeldTokens(server string, chain []protocol.PromptLink, now time.Time) int {
	for i := len(chain) - 1; i >= 0; i-- {
		for _, r := range h.links[keyOf(chain[i])] {
			if r.server == server && now.Sub(r.at) < surelyHeld {
				return chain[i].Tokens
			}
		}
	}
	return 0
}

// Find returns the server to copy a prompt's shared parts from, and how many of their
// tokens it holds: one that holds more, and of those that hold about as much the nearest
// to a domain and the one that read them last. A server that may not be asked is passed
// over. One that leaves is asked while it is listed.
func (h *Holders) Find(v *View, chain []protocol.PromptLink, domain string, may func(*Server) bool, now time.Time) (holder string, tokens int) {
	best := math.MinInt
	for _, link := range chain {
		for _, r := range h.links[keyOf(link)] {
			if now.Sub(r.at) >= prefixKept {
				continue
			}
			s := v.Find(r.server)
			if s == nil || !may(s) {
				continue
			}
			worth := link.Tokens - distanceTokens*int(h.topology.Distance(s.Domain, domain)) - int(ageTokens*now.Sub(r.at).Seconds())
			if now.Sub(r.since) < readingTime {
				worth -= link.Tokens / 2
			}
			if worth > best {
				best, holder, tokens = worth, r.server, link.Tokens
			}
		}
	}
	return holder, tokens
}

// source returns the server from which the chosen server, at, is to copy the shared parts
// of a prompt; empty for none. The given holder has read all of them, and is kept where the
// prompt does not name its links. Where it does, the best holder for the chosen server is
// looked for, also among those that hold some of the parts.
func (l *PromptScheduler) source(v *View, at *Server, holder string, m PromptMsg, now time.Time) string {
	if m.Copies <= 0 || len(m.Chain) == 0 {
		return holder
	}
	found, tokens := l.holders.Find(v, m.Chain, at.Domain, func(s *Server) bool {
		return s.ID != at.ID && s.Service == at.Service && s.Version == at.Version && !l.loads.Distrusted(s.ID, m.Domain)
	}, now)
	if tokens <= l.holders.HeldTokens(at.ID, m.Chain, now) {
		return ""
	}
	return found
}

// RecordPrefill notes links that a server read for a gateway which placed the prompt by itself.
func (l *PromptScheduler) RecordPrefill(server string, links []uint32, now time.Time) {
	for _, key := range links {
		l.holders.note(server, linkKey(key), now)
	}
	l.holders.bound(now)
}
