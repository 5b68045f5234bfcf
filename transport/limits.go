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
	// askTimeout bounds one question to a coordinator.
	askTimeout = time.Second
	// leastPart is the part of the interval that passes between two questions
	// even while requests wait: else a crowd of them would ask without a pause.
	leastPart = 4
)

// Limits drives a [limit.Limiter] for each pool that this instance's callers use,
// and a [limit.Coordinator] for each pool that this instance ranks first for.
type Limits struct {
	tables *state.Tables
	links  *Links // links is nil when there are no other instances.
	log    zerolog.Logger
	self   string
	cfg    limit.Config
	kick   chan struct{} // kick asks for a round at once.

	asks atomic.Int64 // asks counts the questions to coordinators.

	mu       sync.Mutex // mu is taken after all table locks.
	nextID   uint64
	limiters map[string]*poolLimiter
	pools    map[string]*limit.Coordinator
}

// poolLimiter is a limiter with those who wait at it.
type poolLimiter struct {
	*limit.Limiter
	slots   int
	waiting map[uint64]chan limit.Cmd
	asking  bool // asking says that a question is on its way.
}

// NewLimits returns limits that are not running. The links may be nil.
func NewLimits(t *state.Tables, l *Links, log zerolog.Logger, self string, cfg limit.Config) *Limits {
	return &Limits{
		tables:   t,
		links:    l,
		log:      log,
		self:     self,
		cfg:      cfg,
		kick:     make(chan struct{}, 1),
		limiters: map[string]*poolLimiter{},
		pools:    map[string]*limit.Coordinator{},
	}
}

// LimitConfig returns the bounds of an instance's limiters.
func LimitConfig(s *settings.Settings) limit.Config { return limit.Config{MaxQueued: s.Limits.Queue} }

// Meter shows the number of questions to coordinators among the meters.
func (l *Limits) Meter(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("limit.asks", r, l.asks.Load)
}

// Run asks the coordinators until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	for {
		l.round(ctx)
		whole := limit.Interval(l.instances())
		least := whole / leastPart
		if !pause.For(ctx, least) || !pause.Until(ctx, whole-least, l.kick) {
			return nil
		}
	}
}

// round brings each limiter up to date and asks for its next grant.
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
			go l.ask(ctx, g, m)
		}
	}
}

// refresh tells a limiter what this instance knows of its pool. It needs l.mu.
func (l *Limits) refresh(pool string, g *poolLimiter, instances int) {
	g.slots = l.slots(pool)
	g.carryOut(g.Update(limit.PoolMsg{Slots: g.slots, Instances: instances, Now: clock.Now()}))
}

// slots returns how many requests a pool's servers run at once: what the
// operators declare for the model, else what the servers report.
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

// ask brings a limiter its next grant. Without an answer the limiter's lease runs
// out, and it goes on alone.
func (l *Limits) ask(ctx context.Context, g *poolLimiter, m protocol.DemandMsg) {
	l.asks.Add(1)
	grant, err := l.coordinator(m)
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	g.asking = false
	if err != nil {
		if ctx.Err() == nil {
			l.log.Debug().Err(err).Str("pool", m.Pool).Msg("no grant")
		}
		return
	}
	g.carryOut(g.Update(limit.GrantMsg{GrantMsg: grant, ExpiresAt: now.Add(limit.Lease(l.instances())), Now: now}))
}

// coordinator asks the member that ranks first for the pool.
func (l *Limits) coordinator(m protocol.DemandMsg) (protocol.GrantMsg, error) {
	first := l.first(m.Pool)
	if first.Address == "" {
		return l.coordinate(m), nil
	}
	var grant protocol.GrantMsg
	err := l.links.Call(first.Address, "Limit.Ask", m, &grant, askTimeout)
	return grant, err
}

// first returns the member that ranks first for a pool, or none when that is
// this instance.
func (l *Limits) first(pool string) protocol.Member {
	first := member.Rendezvous(l.tables.Members.Rows(), "limit "+pool, "", 1)
	if l.links == nil || len(first) == 0 || first[0].Name == l.self {
		return protocol.Member{}
	}
	return first[0].Member
}

// coordinate answers a limiter's question.
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

// carryOut tells those who wait. It needs l.mu.
func (g *poolLimiter) carryOut(cmds []limit.Cmd) {
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

// Enter asks for a slot. The decision comes over the channel, which may take
// a while; the func gives the slot, or the place in the queue, back.
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
	g.carryOut(g.Update(m))
	if g.waiting[m.ID] != nil {
		l.askNow()
	}
	return ch, func() { l.leave(g, m.ID) }
}

// askNow has a round asked now, since somebody waits.
func (l *Limits) askNow() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *Limits) leave(g *poolLimiter, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(g.waiting, id)
	g.carryOut(g.Update(limit.DoneMsg{ID: id, Now: clock.Now()}))
}

// Wanted returns how many slots of a pool the callers of all instances could
// use now, as its coordinator knows it.
func (l *Limits) Wanted(pool string) (int, error) {
	first := l.first(pool)
	if first.Address == "" {
		return l.total(pool), nil
	}
	var total int
	err := l.links.Call(first.Address, "Limit.Total", pool, &total, askTimeout)
	return total, err
}

func (l *Limits) total(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.pools[pool]; c != nil {
		return c.TotalDemand(l.instances(), clock.Now())
	}
	return 0
}

// PoolRow is one pool's limit on this instance, for the dump.
type PoolRow struct {
	Pool   string            `json:"pool"`
	Slots  int               `json:"slots"` // Slots are those of the whole pool; 0 means that nothing is limited.
	Leads  bool              `json:"leads"` // Leads says that this instance divides the pool.
	Queued int               `json:"queued"`
	Demand []protocol.Demand `json:"demand"`
}

// Rows returns the pools that callers of this instance use now.
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

// LimitService answers the other instances' questions for grants.
type LimitService struct{ limits *Limits }

// NewLimitService returns the receiver to register under "Limit".
func NewLimitService(l *Limits) *LimitService { return &LimitService{limits: l} }

// Ask takes a limiter's demand and returns its grant.
func (s *LimitService) Ask(m protocol.DemandMsg, grant *protocol.GrantMsg) error {
	*grant = s.limits.coordinate(m)
	return nil
}

// Total returns how many slots of a pool all callers could use now.
func (s *LimitService) Total(pool string, total *int) error {
	*total = s.limits.total(pool)
	return nil
}
