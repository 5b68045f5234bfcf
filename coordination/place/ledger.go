package place

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// PromptMsg asks for a server for a long prompt.
type PromptMsg struct {
	Service string
	Prompt  int    // Prompt is its length in tokens.
	Shared  int    // Shared are the tokens of its parts that other requests may share.
	Answer  int    // Answer is the most tokens of the answer.
	Prefix  uint64 // Prefix is the hash of the shared parts.
	Chain   []protocol.PromptLink
	Domain  string
	Avoid   []string
	Copies  float64 // Copies are the tokens a millisecond that a server copies from another; 0 where it cannot.
	Parts   protocol.LaneParts
	Target  time.Duration // Target is when the first event is in time.
	Gap     time.Duration // Gap is the longest pause between events in time.
}

// Placed is a place that was given. Its number is named when the request ends.
type Placed struct {
	Server   string
	Holder   string // Holder is a server that holds the shared parts, if Server does not; empty for none.
	Number   uint64
	NewLinks []uint32 // Fresh are the links that Server was not known to hold; see [Readings].
}

// DoneMsg tells how long a placed request took.
type DoneMsg struct {
	Number uint64
	First  time.Duration // First is until its first event; 0 if none came.
	Took   time.Duration
}

// PromptScheduler places the long prompts of all gateways. A server that reads a long
// prompt holds up every stream that it runs, so where the others are is what
// matters most, and gateways that each know their own part cannot tell. The
// leader of the control role keeps one ledger; a gateway that gets no answer
// from it at once chooses by itself.
type PromptScheduler struct {
	loads    *Loads // loads are the requests of all gateways, those placed here among them.
	servers  map[string]*book
	placed   map[uint64]*stay
	number   uint64
	speed    float64 // speed is in tokens read a millisecond, learned.
	pace     float64 // pace is in milliseconds a token of the answer, learned.
	topology *topology.Topology
	fresh    []protocol.Placement // fresh are places that were not yet sent to the other instances.
	holders  *Holders
}

// LedgerOption changes a new ledger.
type LedgerOption func(*PromptScheduler)

// WithTopology sets where the failure domains lie; without it they all are near.
func WithTopology(t *topology.Topology) LedgerOption {
	return func(l *PromptScheduler) { l.topology = t }
}

// book is what is known of one server.
type book struct {
	readUntil time.Time            // readUntil is when it has read all that was placed.
	stays     map[uint64]*stay     // stays are the requests that are there.
	prefixes  map[uint64]time.Time // prefixes are those read there, by when.
}

// stay is one request at a server.
type stay struct {
	server string
	reads  time.Time // reads is when its prompt is estimated to be read.
	ends   time.Time // ends is when it is estimated to end.
	tokens int       // tokens are those to read.
	answer int
	alone  bool // alone says that nothing else was to be read before it.
}

const (
	firstSpeed = 40.0
	firstPace  = 8.0
	// learnWeight is the weight of the latest request. What seems faster weighs
	// less: the server may have held more of the prompt than is known here.
	learnWeight = 0.1
	fasterPart  = 0.15
	// gapPart of the longest pause is what reading may take without holding a
	// stream up for too long.
	gapPart = 0.8
	// prefixKept is how long a prefix is taken to be held, and prefixMost how many
	// of a server.
	prefixKept = 30 * time.Second
	prefixMost = 128
	// These weigh against one stream that is held up: a late first event, a first
	// event at its target, and a request that is there; distanceLoad is one of them.
	lateCost = 2.0
	waitCost = 0.5
	stayCost = 0.1
	// distrustCost keeps prompts off servers that fail, where there are others.
	distrustCost = 1000.0
	// readCost is that of a prompt all of which could have been held elsewhere.
	readCost = 0.8
	// copyLeast of that is the least for one that is copied: a copy takes memory at
	// two servers and their links, so that a prompt stays at home where that has room.
	copyLeast = 0.25
)

// NewPromptScheduler returns an empty ledger beside the loads of all gateways.
func NewPromptScheduler(loads *Loads, opts ...LedgerOption) *PromptScheduler {
	l := &PromptScheduler{loads: loads, servers: map[string]*book{}, placed: map[uint64]*stay{}, speed: firstSpeed, pace: firstPace}
	for _, opt := range opts {
		opt(l)
	}
	l.holders = NewHolders(l.topology)
	return l
}

// Place returns a server for a long prompt, or false where there is none.
func (l *PromptScheduler) Place(v *View, m PromptMsg, now time.Time) (Placed, bool) {
	l.forget(now)
	rows := inLane(v, candidates(v, ChooseMsg{Service: m.Service, Avoid: m.Avoid, Now: now}), ChooseMsg{Lane: LaneLong, Parts: m.Parts})
	holder := l.holder(v, m, now)
	best, least := -1, math.Inf(1)
	for _, r := range rows {
		s := &v.Servers[r.index]
		cost := l.cost(s, m, holder != "", now)
		if l.loads.Distrusted(s.ID, m.Domain) {
			cost += distrustCost
		}
		if cost < least {
			best, least = r.index, cost
		}
	}
	if best < 0 {
		return Placed{}, false
	}
	placed := l.enter(v.Servers[best].ID, l.source(v, &v.Servers[best], holder, m, now), m, now)
	l.noteFresh(placed, m)
	return placed, true
}

// holder returns the server that read the shared parts of a prompt last, one near the
// gateway first, if the others can copy them from there. One that leaves still can be
// copied from.
func (l *PromptScheduler) holder(v *View, m PromptMsg, now time.Time) string {
	if m.Copies <= 0 || m.Prefix == 0 {
		return ""
	}
	holder, latest, isFar := "", time.Time{}, false
	for _, i := range v.Service(m.Service) {
		id := v.Servers[i].ID
		b := l.servers[id]
		if b == nil || !b.holds(m.Prefix, now) || l.loads.Distrusted(id, m.Domain) {
			continue
		}
		at, far := b.prefixes[m.Prefix], l.topology.Distance(m.Domain, v.Servers[i].Domain) == topology.OtherRegion
		nearer := isFar && !far
		if holder == "" || nearer || (far == isFar && at.After(latest)) {
			holder, latest, isFar = id, at, far
		}
	}
	return holder
}

func (l *PromptScheduler) book(server string) *book {
	b := l.servers[server]
	if b == nil {
		b = &book{stays: map[uint64]*stay{}, prefixes: map[uint64]time.Time{}}
		l.servers[server] = b
	}
	return b
}

// uncached is how many tokens a server has to read of a prompt. What it can copy is
// counted by the time that the copy takes.
func (l *PromptScheduler) uncached(b *book, m PromptMsg, copies bool, now time.Time) int {
	own := max(1, m.Prompt-m.Shared)
	switch {
	case b.holds(m.Prefix, now):
		return own
	case copies:
		return own + int(float64(m.Shared)*l.copyPart(m))
	}
	return m.Prompt
}

// copyPart is the time of a copy as a part of that of reading.
func (l *PromptScheduler) copyPart(m PromptMsg) float64 { return min(1, l.speed/m.Copies) }

// holds reports whether the server has read a prefix lately.
func (b *book) holds(prefix uint64, now time.Time) bool {
	at, ok := b.prefixes[prefix]
	return ok && prefix != 0 && now.Sub(at) < prefixKept
}

func (l *PromptScheduler) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.speed * float64(time.Millisecond))
}

// cost is what placing a prompt at a server costs, in streams held up.
func (l *PromptScheduler) cost(s *Server, m PromptMsg, copies bool, now time.Time) float64 {
	b := l.book(s.ID)
	wait := max(0, b.readUntil.Sub(now))
	read := l.reading(l.uncached(b, m, copies, now))
	limit := time.Duration(gapPart * float64(m.Gap))
	if m.Gap <= 0 {
		limit = m.Target
	}
	stalls, held := read > limit, 0
	for _, st := range b.stays {
		// One that runs is held up for the whole block, one that waits before this
		// prompt for its reading alone.
		if block := wait + read; !st.reads.After(now) {
			if block > limit && wait <= limit {
				held++
			}
		} else if stalls {
			held++
		}
	}
	others := max(0, l.loads.Running(s.ID)-len(b.stays))
	if stalls {
		held += others
	}
	cost := float64(held)
	if m.Target > 0 {
		cost += waitCost * float64(wait+read) / float64(m.Target)
		if wait+read > m.Target {
			cost += lateCost
		}
	}
	cost += stayCost * float64(len(b.stays)+others)
	if m.Prompt > 0 && !b.holds(m.Prefix, now) {
		weight := readCost
		if copies {
			weight *= max(copyLeast, l.copyPart(m))
		}
		cost += weight * float64(m.Shared) / float64(m.Prompt)
	}
	return cost + distanceLoad[l.topology.Distance(m.Domain, s.Domain)]
}

// enter notes a request at a server.
func (l *PromptScheduler) enter(server, holder string, m PromptMsg, now time.Time) Placed {
	b := l.book(server)
	if b.holds(m.Prefix, now) {
		holder = ""
	}
	tokens := l.uncached(b, m, holder != "", now)
	alone := !b.readUntil.After(now)
	from := now
	if !alone {
		from = b.readUntil
	}
	b.readUntil = from.Add(l.reading(tokens))
	l.number++
	st := &stay{server: server, reads: b.readUntil, tokens: tokens, answer: m.Answer, alone: alone}
	st.ends = st.reads.Add(time.Duration(l.pace * float64(m.Answer) * float64(time.Millisecond)))
	b.stays[l.number], l.placed[l.number] = st, st
	b.keep(m.Prefix, now)
	fresh := l.holders.Record(server, m.Chain, now)
	return Placed{Server: server, Holder: holder, Number: l.number, NewLinks: fresh}
}

// keep notes a prefix that is read at the server.
func (b *book) keep(prefix uint64, now time.Time) {
	if prefix == 0 {
		return
	}
	b.prefixes[prefix] = now
	if len(b.prefixes) <= prefixMost {
		return
	}
	oldest, at := uint64(0), now
	for p, t := range b.prefixes {
		if t.Before(at) {
			oldest, at = p, t
		}
	}
	delete(b.prefixes, oldest)
}

// Done notes that a placed request ended, and learns from how long it took.
func (l *PromptScheduler) Done(m DoneMsg) {
	st := l.placed[m.Number]
	if st == nil {
		return
	}
	l.drop(m.Number, st)
	if m.First <= 0 || !st.alone {
		return
	}
	if first := float64(m.First) / float64(time.Millisecond); first > 1 {
		l.speed += learned(float64(st.tokens)/first - l.speed)
	}
	if st.answer > 0 {
		rest := float64(m.Took-m.First) / float64(time.Millisecond)
		l.pace += learnWeight * (rest/float64(st.answer) - l.pace)
	}
}

// learned is the step that one observation makes.
func learned(diff float64) float64 {
	if diff > 0 {
		return learnWeight * fasterPart * diff
	}
	return learnWeight * diff
}

func (l *PromptScheduler) drop(number uint64, st *stay) {
	delete(l.placed, number)
	delete(l.servers[st.server].stays, number)
}

// forgetAfter its expected end a request whose end was never reported is dropped.
const forgetAfter = 2 * time.Second

func (l *PromptScheduler) forget(now time.Time) {
	for number, st := range l.placed {
		if now.Sub(st.ends) > forgetAfter {
			l.drop(number, st)
		}
	}
}

// InProgress returns how many requests were placed and have not ended.
func (l *PromptScheduler) InProgress() int { return len(l.placed) }

// Prune drops the servers that are not listed any more.
func (l *PromptScheduler) Prune(v *View) {
	for id, b := range l.servers {
		if v.Find(id) != nil {
			continue
		}
		for _, number := range slices.Collect(maps.Keys(b.stays)) {
			delete(l.placed, number)
		}
		delete(l.servers, id)
	}
}
