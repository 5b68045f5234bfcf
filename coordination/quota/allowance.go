package quota

import (
	"time"

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// prefetchTime is the duration of recent use that a gateway requests in advance.
	prefetchTime = 400 * time.Millisecond
	// useWindow is the averaging time of the recent use.
	useWindow = 2 * time.Second
	// costWeight is the weight of the latest request in the mean cost of a request.
	costWeight = 0.1
)

// Verdict is the result of [Allowance.Take].
type Verdict uint8

// Verdicts of [Allowance.Take].
const (
	Taken  Verdict = iota // Taken means that the units were available.
	Ask                   // Ask means that the coordinator has to be asked first.
	Denied                // Denied means that the quota is exhausted for now.
)

// Allowance is a gateway's share of the quotas.
type Allowance struct {
	workspaces   map[string]*workspaceQuota
	gateways     int
	part         allot.Part      // part is what this gateway may admit of the standalone share.
	lastReply    time.Time       // lastReply is the time of the coordinator's last reply.
	overdueSince time.Time       // overdueSince is when a reply became overdue; zero if none is.
	short        map[string]bool // short holds the workspaces that were nearly out of quota at lastReply.
	random       func() float64  // random returns values from 0 to 1.
	// steadyWindow is the averaging time of the use that a standalone gateway continues
	// with: the window in which all gateways together keep to a quota. With a shorter time,
	// a burst would count for more than the quota's rate.
	steadyWindow time.Duration
}

// AllowanceOption configures a new allowance.
type AllowanceOption func(*Allowance)

// WithRandom sets a source of random values from 0 to 1. Without it, all gateways draw the
// same value.
func WithRandom(random func() float64) AllowanceOption {
	return func(a *Allowance) { a.random = random }
}

// workspaceQuota is the state of one workspace in an allowance.
type workspaceQuota struct {
	rate        float64
	burst       float64
	leases      []lease
	recentUse   float64 // recentUse is in units a second, averaged over useWindow.
	steadyUse   float64 // steadyUse is the same, averaged over steadyWindow.
	lastUse     time.Time
	meanCost    float64         // meanCost is the average cost of a request in units.
	unspent     float64         // unspent counts expired units to return to the coordinator.
	waiting     float64         // waiting counts the units that waiting requests need.
	askAgainAt  time.Time       // askAgainAt is when the coordinator may be asked again.
	availableAt time.Time       // availableAt is when more units are expected.
	standalone  standaloneQuota // standalone is what the gateway admits without the coordinator.
}

// lease holds granted units until they expire.
type lease struct {
	units     float64
	expiresAt time.Time
}

// NewAllowance returns an empty allowance for quotas that apply to windows of the given
// length.
func NewAllowance(window time.Duration, opts ...AllowanceOption) *Allowance {
	a := &Allowance{workspaces: map[string]*workspaceQuota{}, gateways: 1, short: map[string]bool{}, random: func() float64 { return 0 }, steadyWindow: max(window, useWindow)}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Configure applies the quotas of a configuration.
func (a *Allowance) Configure(workspaces []protocol.WorkspaceSpec) {
	kept := map[string]*workspaceQuota{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		s := a.workspaces[w.Name]
		if s == nil {
			s = &workspaceQuota{}
		}
		if s.rate > w.Rate {
			s.leases = nil // Units granted under a higher quota are dropped.
		}
		s.rate, s.burst = w.Rate, max(w.Burst, w.Rate/10)
		kept[w.Name] = s
	}
	a.workspaces = kept
}

// CoordinatorReplied records a reply of the coordinator and the number of gateways.
func (a *Allowance) CoordinatorReplied(gateways int, now time.Time) {
	a.lastReply, a.gateways, a.overdueSince = now, max(1, gateways), time.Time{}
}

// SetPart sets the gateway's part of what all gateways together may admit in standalone mode.
// Without one, a gateway admits no more than it recently used.
func (a *Allowance) SetPart(p allot.Part) { a.part = p }

// ReplyOverdue records that a reply of the coordinator is overdue.
func (a *Allowance) ReplyOverdue(now time.Time) {
	if a.overdueSince.IsZero() {
		a.overdueSince = now
	}
}

// SetShort sets the workspaces that are nearly out of quota.
func (a *Allowance) SetShort(names []string) {
	clear(a.short)
	for _, name := range names {
		a.short[name] = true
	}
}

// Take takes the units of one request. If the verdict is Denied, wait tells when to retry.
func (a *Allowance) Take(workspace string, units float64, now time.Time) (v Verdict, wait time.Duration) {
	s := a.workspaces[workspace]
	if s == nil {
		return Taken, 0 // Workspaces without a quota are not limited.
	}
	if s.spend(units, now) {
		s.recordUse(units, a.steadyWindow, now)
		return Taken, 0
	}
	if a.isStandalone(now) {
		a.startStandalone(s, !a.short[workspace], units, now)
		if s.standalone.take(units, now) {
			return Taken, 0
		}
		return Denied, s.standalone.wait(units)
	}
	s.waiting += units
	if now.Before(s.askAgainAt) {
		return Denied, s.retryAfter(units, now)
	}
	return Ask, 0
}

// Wants returns the allowance's current requests to the coordinator.
func (a *Allowance) Wants(now time.Time) []protocol.QuotaRequest {
	var wants []protocol.QuotaRequest
	for name, s := range a.workspaces {
		held := s.available(now)
		want := max(0, s.waiting+s.prefetch(now)-held)
		if want > 0 || s.unspent > 0 || s.standalone.unreported > 0 {
			wants = append(wants, protocol.QuotaRequest{Workspace: name, Units: want, Waiting: min(want, s.waiting), Back: s.unspent, Alone: s.standalone.unreported})
			s.unspent = 0 // If the message is lost, the units are lost with it.
		}
	}
	return wants
}

// Acknowledge records that the coordinator received these requests, and with them the units
// spent in standalone mode.
func (a *Allowance) Acknowledge(wants []protocol.QuotaRequest) {
	for _, w := range wants {
		if s := a.workspaces[w.Workspace]; s != nil {
			s.standalone.unreported = max(0, s.standalone.unreported-w.Alone)
		}
	}
}

// AddGrants adds granted units. Their lifetime starts when they were requested.
func (a *Allowance) AddGrants(grants []protocol.QuotaGrant, asked, now time.Time) {
	for _, g := range grants {
		s := a.workspaces[g.Workspace]
		if s == nil {
			continue
		}
		if g.Units > 0 {
			s.leases = append(s.leases, lease{units: g.Units, expiresAt: asked.Add(g.Lasts)})
		}
		s.askAgainAt = time.Time{}
		if g.Wait > 0 {
			s.askAgainAt, s.availableAt = now.Add(min(g.Wait, maxAskPause)), now.Add(g.Wait)
		}
		s.waiting = 0
	}
}

// maxAskPause limits how long the coordinator is not asked again, because other gateways
// may return units.
const maxAskPause = 250 * time.Millisecond

// available drops expired leases and returns the units of the others.
func (s *workspaceQuota) available(now time.Time) float64 {
	sum, kept := 0.0, s.leases[:0]
	for _, p := range s.leases {
		if now.Before(p.expiresAt) && p.units > 0 {
			kept = append(kept, p)
			sum += p.units
			continue
		}
		s.unspent += p.units
	}
	s.leases = kept
	return sum
}

// spend takes units from the leases, those that expire first before others.
func (s *workspaceQuota) spend(units float64, now time.Time) bool {
	if s.available(now) < units {
		return false
	}
	for i := range s.leases {
		n := min(units, s.leases[i].units)
		s.leases[i].units -= n
		units -= n
	}
	return true
}

// retryAfter returns when the caller of a denied request may retry: once units are
// expected, and later for each further caller.
func (s *workspaceQuota) retryAfter(units float64, now time.Time) time.Duration {
	wait := max(s.availableAt.Sub(now), s.askAgainAt.Sub(now))
	s.availableAt = now.Add(wait + s.refillTime(units))
	return wait
}

// refillTime returns how long the quota takes to refill by the units.
func (s *workspaceQuota) refillTime(units float64) time.Duration {
	return time.Duration(units / s.rate * float64(time.Second))
}

func (s *workspaceQuota) recordUse(units float64, steadyWindow time.Duration, now time.Time) {
	s.recentUse = s.useRate(now) + units/useWindow.Seconds()
	s.steadyUse = s.decayed(s.steadyUse, steadyWindow, now) + units/steadyWindow.Seconds()
	s.meanCost += costWeight * (units - s.meanCost)
	s.lastUse = now
}

// prefetch returns the units to request in advance. If they do not cover a mean request,
// they would only expire here while other gateways lack them.
func (s *workspaceQuota) prefetch(now time.Time) float64 {
	if units := s.useRate(now) * prefetchTime.Seconds(); units >= s.meanCost {
		return units
	}
	return 0
}

func (s *workspaceQuota) useRate(now time.Time) float64 {
	return s.decayed(s.recentUse, useWindow, now)
}

// decayed returns an average of the use as of now. It falls linearly to zero over the
// window after the last use.
func (s *workspaceQuota) decayed(average float64, window time.Duration, now time.Time) float64 {
	if s.lastUse.IsZero() {
		return 0
	}
	left := 1 - float64(now.Sub(s.lastUse))/float64(window)
	return average * max(0, min(1, left))
}
