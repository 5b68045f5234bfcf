// Package limit shares a pool of backend servers out between workspaces, over
// all instances.
//
// A pool is what serves one model; its slots are the requests that its servers
// run at once within the latency target. A workspace's share is of the whole
// pool, whichever instances its callers come through, and no instance knows
// the whole. Two parts work together:
//
//   - A [Limiter], one a pool on each instance, lets a request begin while its
//     workspace has a slot left, keeps it waiting while that can still meet its
//     deadline, and else refuses it at once with when to come back.
//   - A [Coordinator] divides the slots by what all limiters ask for. It is the
//     instance that ranks first for the pool by rendezvous hashing among the
//     live members, so it needs no election, and it keeps nothing: the limiters
//     tell it again every moment.
//
// A grant is a lease. When it runs out, since the coordinator is gone or cut
// off, the limiter goes on with its even part of the pool. Two coordinators at the
// same time, while views of the membership differ, give out too much for a
// moment; the servers' own queues take that. Limits need not be exact, they
// must always let some work begin.
//
// Requests of low priority get what all others leave, so work that can wait
// overnight never takes a slot that a caller waits for. High priority goes
// first within its workspace only: no workspace can mark its way past another.
package limit

import (
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// firstService is how long a request is taken to hold its slot before one
	// was measured.
	firstService = 2 * time.Second
	// serviceWeight is the weight of the latest request in the mean.
	serviceWeight = 0.1
	// spreads is how many mean deviations above the mean a request is taken to
	// last when it is asked whether it still ends in time.
	spreads = 2
	// leastRetry and mostRetry bound when a refused caller is told to come back.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 30 * time.Second
)

// Config bounds a limiter.
type Config struct {
	MaxQueued int // Queue is how many requests may wait.
}

// Limiter is the limit of one pool on one instance. [Limiter.Update] is
// deterministic and changes the limiter in place.
type Limiter struct {
	cfg       Config
	spaces    map[string]*space
	names     []string // names are the workspaces, sorted.
	requests  map[uint64]*request
	queued    int
	spare     int
	until     time.Time // until is when the grant runs out.
	slots     int
	instances int
	service   time.Duration // service is how long a request holds its slot, in the mean.
	spread    time.Duration // spread is the mean deviation from that.
}

// space is one workspace at the limiter.
type space struct {
	demand protocol.Demand
	limit  [protocol.Classes]int
	queue  [protocol.Classes][]*request
}

// request is one that holds a slot or waits for one.
type request struct {
	id       uint64
	space    *space
	class    int
	priority protocol.Priority
	latest   time.Time
	began    time.Time // began is zero while it waits.
}

// NewLimiter returns a limiter that limits nothing until it is told of the pool.
func NewLimiter(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, spaces: map[string]*space{}, requests: map[uint64]*request{}, service: firstService, instances: 1}
}

// Update applies a message and returns what to do.
func (l *Limiter) Update(m Msg) []Cmd {
	switch m := m.(type) {
	case ArriveMsg:
		return l.arrive(m)
	case DoneMsg:
		l.done(m)
		return l.start(m.Now)
	case GrantMsg:
		l.granted(m)
		return l.start(m.Now)
	case PoolMsg:
		l.slots, l.instances = m.Slots, max(1, m.Instances)
		return l.tick(m.Now)
	case TickMsg:
		return l.tick(m.Now)
	}
	return nil
}

// Demand returns what the limiter's callers ask for, by workspace.
func (l *Limiter) Demand() []protocol.Demand {
	rows := make([]protocol.Demand, 0, len(l.names))
	for _, name := range l.names {
		rows = append(rows, l.spaces[name].demand)
	}
	return rows
}

// Queued returns how many requests wait.
func (l *Limiter) Queued() int { return l.queued }

// Idle reports whether the limiter holds no request.
func (l *Limiter) Idle() bool { return len(l.requests) == 0 }

func (l *Limiter) arrive(m ArriveMsg) []Cmd {
	s := l.space(m.Workspace, m.Share)
	r := &request{id: m.ID, space: s, class: protocol.ClassOf(m.Priority), priority: m.Priority, latest: l.latest(m)}
	l.requests[r.id] = r
	if m.Admitted || (len(s.queue[r.class]) == 0 && l.mayStart(s, r.class)) {
		l.begin(r, m.Now)
		return []Cmd{StartCmd{ID: r.id}}
	}
	if m.Now.Add(l.wait(r)).After(r.latest) {
		return []Cmd{l.refuse(r)}
	}
	l.enqueue(r)
	if l.queued <= l.cfg.MaxQueued {
		return nil
	}
	last := l.last()
	l.unqueue(last)
	return []Cmd{l.refuse(last)}
}

// refuse turns away a request that is in no queue.
func (l *Limiter) refuse(r *request) Cmd {
	delete(l.requests, r.id)
	return RefuseCmd{ID: r.id, RetryAfter: retryAfter(r.id, l.wait(r))}
}

// last returns the request that must give way when the queue is full: the
// latest of the workspace with the longest queue for its share, those of low
// priority before all others. So nobody can fill the queue against the rest.
func (l *Limiter) last() *request {
	for class := protocol.Classes - 1; class >= 0; class-- {
		var longest *space
		for _, name := range l.names {
			s := l.spaces[name]
			if len(s.queue[class]) > 0 && (longest == nil || longest.queuedLess(s, class)) {
				longest = s
			}
		}
		if longest != nil {
			queue := longest.queue[class]
			return queue[len(queue)-1]
		}
	}
	return nil
}

// queuedLess reports whether s has less of a class in its queue for its share
// than o.
func (s *space) queuedLess(o *space, class int) bool {
	return len(s.queue[class])*max(1, o.demand.Share) < len(o.queue[class])*max(1, s.demand.Share)
}

// latest is when a request must begin to end by its deadline.
func (l *Limiter) latest(m ArriveMsg) time.Time {
	if begin := m.Deadline.Add(-l.service - spreads*l.spread); !m.Deadline.IsZero() && begin.Before(m.StartBy) {
		return begin
	}
	return m.StartBy
}

func (l *Limiter) space(name string, share int) *space {
	s := l.spaces[name]
	if s == nil {
		s = &space{demand: protocol.Demand{Workspace: name}}
		l.spaces[name] = s
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Insert(l.names, i, name)
	}
	s.demand.Share = share
	return s
}

// enqueue puts a request behind those of its workspace with the same priority
// or a higher one.
func (l *Limiter) enqueue(r *request) {
	queue := r.space.queue[r.class]
	i := slices.IndexFunc(queue, func(o *request) bool { return o.priority < r.priority })
	if i < 0 {
		i = len(queue)
	}
	r.space.queue[r.class] = slices.Insert(queue, i, r)
	r.space.demand.Queued[r.class]++
	l.queued++
}

func (l *Limiter) unqueue(r *request) {
	queue := r.space.queue[r.class]
	r.space.queue[r.class] = slices.DeleteFunc(queue, func(o *request) bool { return o == r })
	r.space.demand.Queued[r.class]--
	l.queued--
}

func (l *Limiter) begin(r *request, now time.Time) {
	r.began = now
	r.space.demand.Running[r.class]++
}

// mayStart reports whether a request of a class may begin now.
func (l *Limiter) mayStart(s *space, class int) bool {
	if l.slots == 0 || s.demand.Running[class] < s.limit[class] {
		return true
	}
	if class == protocol.ClassLow && l.regularWaits() {
		return false
	}
	return l.borrowed() < l.spare
}

// borrowed counts the slots in use beyond the workspaces' own.
func (l *Limiter) borrowed() int {
	n := 0
	for _, s := range l.spaces {
		for class := range protocol.Classes {
			n += max(0, s.demand.Running[class]-s.limit[class])
		}
	}
	return n
}

func (l *Limiter) regularWaits() bool {
	for _, s := range l.spaces {
		if len(s.queue[protocol.ClassRegular]) > 0 {
			return true
		}
	}
	return false
}

// start lets those begin that may, the workspace with the least for its share
// first.
func (l *Limiter) start(now time.Time) []Cmd {
	var cmds []Cmd
	for {
		r := l.next()
		if r == nil {
			return cmds
		}
		l.unqueue(r)
		l.begin(r, now)
		cmds = append(cmds, StartCmd{ID: r.id})
	}
}

func (l *Limiter) next() *request {
	for class := range protocol.Classes {
		var best *space
		for _, name := range l.names {
			s := l.spaces[name]
			if len(s.queue[class]) > 0 && l.mayStart(s, class) && (best == nil || s.less(best, class)) {
				best = s
			}
		}
		if best != nil {
			return best.queue[class][0]
		}
	}
	return nil
}

// less reports whether s has less of a class for its share than o.
func (s *space) less(o *space, class int) bool {
	return s.demand.Running[class]*max(1, o.demand.Share) < o.demand.Running[class]*max(1, s.demand.Share)
}

func (l *Limiter) done(m DoneMsg) {
	r := l.requests[m.ID]
	if r == nil {
		return
	}
	delete(l.requests, m.ID)
	if r.began.IsZero() {
		l.unqueue(r)
		return
	}
	r.space.demand.Running[r.class]--
	took := m.Now.Sub(r.began)
	l.spread += time.Duration(serviceWeight * float64((took-l.service).Abs()-l.spread))
	l.service += time.Duration(serviceWeight * float64(took-l.service))
	l.service = max(l.service, time.Millisecond)
}

// granted takes a coordinator's grant in place of the one before.
func (l *Limiter) granted(m GrantMsg) {
	l.until, l.spare = m.ExpiresAt, m.Spare
	for _, s := range l.spaces {
		s.limit = [protocol.Classes]int{}
	}
	for _, row := range m.Rows {
		if s := l.spaces[row.Workspace]; s != nil {
			s.limit = row.Slots
		}
	}
}

// tick refuses what can no longer begin in time, goes on alone when the grant
// has run out, and forgets workspaces that ask for nothing.
func (l *Limiter) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for _, r := range l.late(now) {
		l.unqueue(r)
		cmds = append(cmds, l.refuse(r))
	}
	l.names = slices.DeleteFunc(l.names, func(name string) bool {
		s := l.spaces[name]
		idle := s.demand.Want(protocol.ClassRegular)+s.demand.Want(protocol.ClassLow) == 0
		if idle {
			delete(l.spaces, name)
		}
		return idle
	})
	if l.slots > 0 && now.After(l.until) {
		l.alone()
	}
	return append(cmds, l.start(now)...)
}

// late returns the waiting requests whose time to begin has passed.
func (l *Limiter) late(now time.Time) []*request {
	var late []*request
	for _, name := range l.names {
		for _, queue := range l.spaces[name].queue {
			for _, r := range queue {
				if !r.latest.After(now) {
					late = append(late, r)
				}
			}
		}
	}
	return late
}

// alone divides this instance's even part of the pool, rounded up, between its
// own workspaces.
func (l *Limiter) alone() {
	part := (l.slots + l.instances - 1) / l.instances
	rows := l.Demand()
	given := divide(part, rows)
	used := 0
	for i, name := range l.names {
		l.spaces[name].limit = given[i]
		used += given[i][protocol.ClassRegular] + given[i][protocol.ClassLow]
	}
	l.spare = max(1, part-used)
}

// wait estimates how long a request waits if it joins its queue now: those
// ahead of it, each for as long as a request holds its slot, over the slots
// that its workspace has.
func (l *Limiter) wait(r *request) time.Duration {
	ahead := 1
	for _, o := range r.space.queue[r.class] {
		if o.priority >= r.priority {
			ahead++
		}
	}
	slots := max(1, r.space.limit[r.class], r.space.demand.Running[r.class])
	return l.service * time.Duration(ahead) / time.Duration(slots)
}

// retryAfter spreads refused callers over as long again as the wait, so that
// they do not come back together.
func retryAfter(id uint64, wait time.Duration) time.Duration {
	const golden = 0.6180339887498949 // Its multiples spread evenly, however many.
	_, part := math.Modf(float64(id) * golden)
	return max(leastRetry, min(wait+time.Duration(part*float64(wait)), mostRetry))
}
