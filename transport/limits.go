package transport

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/limit"
	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

const (
	// grantTimeout limits one call to a coordinator.
	grantTimeout = time.Second
	// minPauseDivisor sets the minimum pause between two grant requests, as a
	// fraction of the interval. It applies even while callers wait: otherwise many
	// waiting callers would cause requests without a pause.
	minPauseDivisor = 4
)

// Limits runs a [limit.Limiter] for each pool that this instance's callers use,
// and a [limit.Coordinator] for each pool for which this instance ranks first.
type Limits struct {
	tables *state.Tables
	links  *Links // links is nil when there are no other instances.
	log    zerolog.Logger
	self   string
	cfg    limit.Config
	wake   chan struct{} // wake starts a round immediately.

	requests atomic.Int64 // requests counts the grant requests to coordinators.

	mu       sync.Mutex // mu is acquired after all table locks.
	nextID   uint64
	limiters map[string]*poolLimiter
	pools    map[string]*limit.Coordinator
}

// poolLimiter is a limiter with the channels of its waiting callers.
type poolLimiter struct {
	*limit.Limiter
	slots   int
	waiting map[uint64]chan limit.Cmd
	asking  bool // asking is set while a grant request is outstanding.
}

// NewLimits returns limits that are not running. The links may be nil.
func NewLimits(t *state.Tables, l *Links, log zerolog.Logger, self string, cfg limit.Config) *Limits {
	return &Limits{
		tables:   t,
		links:    l,
		log:      log,
		self:     self,
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		limiters: map[string]*poolLimiter{},
		pools:    map[string]*limit.Coordinator{},
	}
}

// LimitConfig returns the configuration of an instance's limiters.
func LimitConfig(s *settings.Settings) limit.Config { return limit.Config{MaxQueued: s.Limits.Queue} }

// Meter registers the number of grant requests as a metric.
func (l *Limits) Meter(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("limit.asks", r, l.requests.Load)
}

// Run requests grants from the coordinators until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	for {
		l.round(ctx)
		interval := limit.Interval(l.instances())
		minPause := interval / minPauseDivisor
		if !pause.For(ctx, minPause) || !pause.Until(ctx, interval-minPause, l.wake) {
			return nil
		}
	}
}

// round updates each limiter and requests its next grant.
func (l *Limits) round(ctx context.Context) {
	instances := l.instances()
	l.mu.Lock()
	defer l.mu.Unlock()
	for pool, g := range l.limiters {
		l.refresh(pool, g, instances)
		if g.Idle() && !g.asking {
			delete(l.limiters, pool)
			continue
		}
		if g.slots > 0 && !g.asking {
			g.asking = true
			m := protocol.DemandMsg{From: l.self, Pool: pool, Rows: g.Demand()}
			go l.requestGrant(ctx, g, m)
		}
	}
}

// refresh updates a limiter's slots and instance count. It requires l.mu.
func (l *Limits) refresh(pool string, g *poolLimiter, instances int) {
	g.slots = l.slots(pool)
	g.notifyWaiting(g.Update(limit.PoolMsg{Slots: g.slots, Instances: instances, Now: clock.Now()}))
}

// slots returns how many requests a pool's servers run concurrently: the
// operators' setting for the model, else the sum of the servers' reports.
func (l *Limits) slots(pool string) int {
	p := l.tables.Backends.View().Model(pool)
	if p == nil {
		return 0
	}
	if ix := l.tables.Index(); ix != nil {
		if m := ix.Model(pool); m != nil && m.Slots > 0 {
			return m.Slots * len(p.Index)
		}
	}
	return p.Slots()
}

func (l *Limits) instances() int {
	n := 0
	for _, row := range l.tables.Members.Rows() {
		if row.State == protocol.MemberAlive {
			n++
		}
	}
	return max(1, n)
}

// requestGrant requests the next grant of a limiter. Without an answer the
// limiter's lease expires, and it limits on its own.
func (l *Limits) requestGrant(ctx context.Context, g *poolLimiter, m protocol.DemandMsg) {
	l.requests.Add(1)
	grant, err := l.callCoordinator(m)
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	g.asking = false
	if err != nil {
		if ctx.Err() == nil {
			l.log.Debug().Err(err).Str("pool", m.Pool).Msg("grant request failed")
		}
		return
	}
	g.notifyWaiting(g.Update(limit.GrantMsg{GrantMsg: grant, ExpiresAt: now.Add(limit.Lease(l.instances())), Now: now}))
}

// callCoordinator sends the demand to the pool's coordinator.
func (l *Limits) callCoordinator(m protocol.DemandMsg) (protocol.GrantMsg, error) {
	first := l.coordinatorOf(m.Pool)
	if first.Address == "" {
		return l.coordinate(m), nil
	}
	var grant protocol.GrantMsg
	err := l.links.Call(first.Address, "Limit.Ask", m, &grant, grantTimeout)
	return grant, err
}

// coordinatorOf returns the member that ranks first for a pool, or the zero member
// if that is this instance.
func (l *Limits) coordinatorOf(pool string) protocol.Member {
	first := member.Rendezvous(l.tables.Members.Rows(), "limit "+pool, "", 1)
	if l.links == nil || len(first) == 0 || first[0].Name == l.self {
		return protocol.Member{}
	}
	return first[0].Member
}

// coordinate answers a limiter's grant request.
func (l *Limits) coordinate(m protocol.DemandMsg) protocol.GrantMsg {
	slots, instances, now := l.slots(m.Pool), l.instances(), clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pools[m.Pool]
	if c == nil {
		c = limit.NewCoordinator()
		l.pools[m.Pool] = c
	}
	return c.HandleDemand(m, slots, instances, now)
}

// notifyWaiting passes the limiter's decisions to the waiting callers. It requires
// l.mu.
func (g *poolLimiter) notifyWaiting(cmds []limit.Cmd) {
	for _, cmd := range cmds {
		id := uint64(0)
		switch cmd := cmd.(type) {
		case limit.StartCmd:
			id = cmd.ID
		case limit.RefuseCmd:
			id = cmd.ID
		}
		if ch := g.waiting[id]; ch != nil {
			delete(g.waiting, id)
			ch <- cmd
		}
	}
}

// Enter requests a slot. The decision is sent to the channel, possibly after a
// wait; leave releases the slot or the place in the queue.
func (l *Limits) Enter(pool string, m limit.ArriveMsg) (decision <-chan limit.Cmd, leave func()) {
	ch := make(chan limit.Cmd, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.limiters[pool]
	if g == nil {
		g = &poolLimiter{Limiter: limit.NewLimiter(l.cfg), waiting: map[uint64]chan limit.Cmd{}}
		l.limiters[pool] = g
		l.refresh(pool, g, l.instances())
	}
	l.nextID++
	m.ID, m.Now = l.nextID, clock.Now()
	g.waiting[m.ID] = ch
	g.notifyWaiting(g.Update(m))
	if g.waiting[m.ID] != nil {
		l.requestRound()
	}
	return ch, func() { l.leave(g, m.ID) }
}

// requestRound starts a round immediately, since a caller is waiting.
func (l *Limits) requestRound() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limits) leave(g *poolLimiter, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(g.waiting, id)
	g.notifyWaiting(g.Update(limit.DoneMsg{ID: id, Now: clock.Now()}))
}

// TotalDemand returns how many slots of a pool the callers of all instances could
// use now, as known to its coordinator.
func (l *Limits) TotalDemand(pool string) (int, error) {
	first := l.coordinatorOf(pool)
	if first.Address == "" {
		return l.localTotalDemand(pool), nil
	}
	var total int
	err := l.links.Call(first.Address, "Limit.Total", pool, &total, grantTimeout)
	return total, err
}

func (l *Limits) localTotalDemand(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.pools[pool]; c != nil {
		return c.TotalDemand(l.instances(), clock.Now())
	}
	return 0
}

// PoolRow is the limit of one pool on this instance, for the dump.
type PoolRow struct {
	Pool   string            `json:"pool"`
	Slots  int               `json:"slots"` // Slots is the number of slots in the whole pool; 0 means no limit.
	Leads  bool              `json:"leads"` // Leads reports whether this instance coordinates the pool.
	Queued int               `json:"queued"`
	Demand []protocol.Demand `json:"demand"`
}

// Rows returns the pools currently used by callers of this instance.
func (l *Limits) Rows() []PoolRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := []PoolRow{}
	for pool, g := range l.limiters {
		rows = append(rows, PoolRow{Pool: pool, Slots: g.slots, Leads: l.pools[pool] != nil, Queued: g.Queued(), Demand: g.Demand()})
	}
	slices.SortFunc(rows, func(a, b PoolRow) int { return cmp.Compare(a.Pool, b.Pool) })
	return rows
}

// LimitService handles grant requests from other instances.
type LimitService struct{ limits *Limits }

// NewLimitService returns the receiver to register under "Limit".
func NewLimitService(l *Limits) *LimitService { return &LimitService{limits: l} }

// Ask returns the grant for a limiter's demand.
func (s *LimitService) Ask(m protocol.DemandMsg, grant *protocol.GrantMsg) error {
	*grant = s.limits.coordinate(m)
	return nil
}

// Total returns how many slots of a pool all callers could use now.
func (s *LimitService) Total(pool string, total *int) error {
	*total = s.limits.localTotalDemand(pool)
	return nil
}
