package quota

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// ahead is for how much of its recent use a gateway asks in advance.
	ahead = 400 * time.Millisecond
	// useMemory is the time over which the recent use is averaged.
	useMemory = 2 * time.Second
	// costWeight is the weight of the latest request in the mean cost.
	costWeight = 0.1
)

// Verdict is the outcome of taking units.
type Verdict uint8

// The outcomes of taking units.
const (
	Taken  Verdict = iota // Taken means that the units were there.
	Ask                   // Ask means that the coordinator must be asked first.
	Denied                // Denied means that the quota is used up for now.
)

// Allowance is a gateway's part of the quotas.
type Allowance struct {
	spaces   map[string]*space
	gateways int
	heard    time.Time       // heard is when the coordinator answered last.
	overdue  time.Time       // overdue is since when its answer is overdue; zero if it is not.
	short    map[string]bool // short are workspaces of whose quota little was left then.
	chance   func() float64  // chance is from 0 to 1, each time another.
	// memory is the time over which the use is averaged by which a gateway goes on
	// alone: the window in which all gateways together keep to a quota. Over less a burst
	// would count for more than the quota's rate.
	memory time.Duration
}

// AllowanceOption changes a new allowance.
type AllowanceOption func(*Allowance)

// WithRandom sets what is drawn by chance, from 0 to 1; without it gateways draw the
// same.
func WithRandom(chance func() float64) AllowanceOption {
	return func(a *Allowance) { a.chance = chance }
}

// space is one workspace in an allowance.
type space struct {
	rate    float64
	burst   float64
	parts   []part
	use     float64 // use is in units a second, averaged over useMemory.
	steady  float64 // steady is the same over the window of the quotas.
	usedAt  time.Time
	cost    float64   // cost is what a request takes, averaged.
	unspent float64   // unspent is what expired, to be given back.
	lacking float64   // lacking is what waiting requests need.
	until   time.Time // until is how long the coordinator is not asked again.
	room    time.Time // room is when there will be more, as far as is known.
	own     ownPart   // own is what the gateway lets in alone.
}

type part struct {
	units float64
	until time.Time
}

// NewAllowance returns an empty allowance, of quotas that are bounded in windows of a
// length.
func NewAllowance(window time.Duration, opts ...AllowanceOption) *Allowance {
	a := &Allowance{spaces: map[string]*space{}, gateways: 1, short: map[string]bool{}, chance: func() float64 { return 0 }, memory: max(window, useMemory)}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Configure puts the quotas of a configuration in force.
func (a *Allowance) Configure(workspaces []protocol.WorkspaceSpec) {
	kept := map[string]*space{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		s := a.spaces[w.Name]
		if s == nil {
			s = &space{}
		}
		if s.rate > w.Rate {
			s.parts = nil // What was granted under a higher quota is given up.
		}
		s.rate, s.burst = w.Rate, max(w.Burst, w.Rate/10)
		kept[w.Name] = s
	}
	a.spaces = kept
}

// CoordinatorReplied notes an answer of the coordinator, and how many gateways there are.
func (a *Allowance) CoordinatorReplied(gateways int, now time.Time) {
	a.heard, a.gateways, a.overdue = now, max(1, gateways), time.Time{}
}

// ReplyOverdue notes that an answer of the coordinator is overdue.
func (a *Allowance) ReplyOverdue(now time.Time) {
	if a.overdue.IsZero() {
		a.overdue = now
	}
}

// SetShort notes the workspaces of whose quota little is left.
func (a *Allowance) SetShort(names []string) {
	clear(a.short)
	for _, name := range names {
		a.short[name] = true
	}
}

// Take takes the units of one request. With Denied, wait is when to come back.
func (a *Allowance) Take(workspace string, units float64, now time.Time) (v Verdict, wait time.Duration) {
	s := a.spaces[workspace]
	if s == nil {
		return Taken, 0 // Without a quota there is no limit.
	}
	if s.spend(units, now) {
		s.used(units, a.memory, now)
		return Taken, 0
	}
	if a.alone(now) {
		a.goAlone(s, !a.short[workspace], units, now)
		if s.own.take(units, now) {
			return Taken, 0
		}
		return Denied, s.own.wait(units)
	}
	s.lacking += units
	if now.Before(s.until) {
		return Denied, s.later(units, now)
	}
	return Ask, 0
}

// Wants returns what the allowance would ask for now.
func (a *Allowance) Wants(now time.Time) []protocol.QuotaRequest {
	var wants []protocol.QuotaRequest
	for name, s := range a.spaces {
		held := s.held(now)
		want := max(0, s.lacking+s.inAdvance(now)-held)
		if want > 0 || s.unspent > 0 || s.own.owed > 0 {
			wants = append(wants, protocol.QuotaRequest{Workspace: name, Units: want, Waiting: min(want, s.lacking), Back: s.unspent, Alone: s.own.owed})
			s.unspent = 0 // If the message is lost, so are they.
		}
	}
	return wants
}

// Acknowledge notes that the coordinator has what was asked for: it knows of what was
// spent alone.
func (a *Allowance) Acknowledge(wants []protocol.QuotaRequest) {
	for _, w := range wants {
		if s := a.spaces[w.Workspace]; s != nil {
			s.own.owed = max(0, s.own.owed-w.Alone)
		}
	}
}

// AddGrants puts parts in. Lasts counts from when they were asked for.
func (a *Allowance) AddGrants(grants []protocol.QuotaGrant, asked, now time.Time) {
	for _, g := range grants {
		s := a.spaces[g.Workspace]
		if s == nil {
			continue
		}
		if g.Units > 0 {
			s.parts = append(s.parts, part{units: g.Units, until: asked.Add(g.Lasts)})
		}
		s.until = time.Time{}
		if g.Wait > 0 {
			s.until, s.room = now.Add(min(g.Wait, mostWait)), now.Add(g.Wait)
		}
		s.lacking = 0
	}
}

// mostWait bounds how long the coordinator is not asked again: others may give parts
// back.
const mostWait = 250 * time.Millisecond

func (s *space) held(now time.Time) float64 {
	sum, kept := 0.0, s.parts[:0]
	for _, p := range s.parts {
		if now.Before(p.until) && p.units > 0 {
			kept = append(kept, p)
			sum += p.units
			continue
		}
		s.unspent += p.units
	}
	s.parts = kept
	return sum
}

// spend takes units from the parts, the one that expires first before others.
func (s *space) spend(units float64, now time.Time) bool {
	if s.held(now) < units {
		return false
	}
	for i := range s.parts {
		n := min(units, s.parts[i].units)
		s.parts[i].units -= n
		units -= n
	}
	return true
}

// later is when the caller of a request that is denied may come back: when there is
// room, and the next one behind it.
func (s *space) later(units float64, now time.Time) time.Duration {
	wait := max(s.room.Sub(now), s.until.Sub(now))
	s.room = now.Add(wait + s.refill(units))
	return wait
}

// refill is how long the quota takes to fill by so many units.
func (s *space) refill(units float64) time.Duration {
	return time.Duration(units / s.rate * float64(time.Second))
}

func (s *space) used(units float64, memory time.Duration, now time.Time) {
	s.use = s.rateOfUse(now) + units/useMemory.Seconds()
	s.steady = s.averaged(s.steady, memory, now) + units/memory.Seconds()
	s.cost += costWeight * (units - s.cost)
	s.usedAt = now
}

// inAdvance is what is asked for before a request needs it. Where that is less
// than a request, it would only expire here while others lack it.
func (s *space) inAdvance(now time.Time) float64 {
	if units := s.rateOfUse(now) * ahead.Seconds(); units >= s.cost {
		return units
	}
	return 0
}

func (s *space) rateOfUse(now time.Time) float64 { return s.averaged(s.use, useMemory, now) }

// averaged returns an average over a memory, as it is some time after the latest use.
func (s *space) averaged(use float64, memory time.Duration, now time.Time) float64 {
	if s.usedAt.IsZero() {
		return 0
	}
	left := 1 - float64(now.Sub(s.usedAt))/float64(memory)
	return use * max(0, min(1, left))
}
