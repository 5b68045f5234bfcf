// Package limit divides the capacity of a pool of backend servers between workspaces, across
// all instances.
//
// A pool consists of the servers of one model. Its slots are the requests that its servers
// run at once within the latency target. A workspace's share refers to the whole pool,
// whichever instances its callers use, and no instance sees all requests. Two parts work
// together:
//
//   - A [Limiter], one per pool on each instance, starts a request if its workspace has a
//     free slot. Otherwise it queues the request if it can still meet its deadline, or
//     refuses it at once with a Retry-After.
//   - A [Coordinator] divides the slots by the demands of all limiters. It runs on the
//     instance that ranks first for the pool by rendezvous hashing among the live members,
//     so it needs no election. It stores nothing: the limiters repeat their demands all the
//     time.
//
// A grant is a lease. When it expires because the coordinator failed or cannot be reached,
// the limiter uses its even part of the pool. While views of the membership differ, two
// coordinators may grant too much for a short time; the queues of the servers absorb that.
// Limits need not be exact, but they must always let some requests start.
//
// Requests of low priority get the slots that all others leave, so batch requests never take
// a slot that a caller waits for. High priority counts only within its workspace: it gives
// a workspace no precedence over others.
package limit

import (
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// initialServiceTime is how long a request is assumed to hold its slot before the first
	// measurement.
	initialServiceTime = 2 * time.Second
	// serviceTimeWeight is the weight of the latest request in the moving averages.
	serviceTimeWeight = 0.1
	// deviationFactor is how many mean deviations above the mean a request is assumed to
	// last when the limiter checks whether it can meet its deadline.
	deviationFactor = 2
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config configures a limiter.
type Config struct {
	MaxQueued int // MaxQueued is how many requests may be queued.
}

// Limiter limits the requests of one pool on one instance. [Limiter.Update] is
// deterministic and changes the limiter in place.
type Limiter struct {
	cfg            Config
	workspaces     map[string]*workspace
	names          []string // names are the names of the workspaces, sorted.
	requests       map[uint64]*request
	queued         int
	spare          int
	grantExpiresAt time.Time // grantExpiresAt is the end of the grant's lease.
	slots          int
	instances      int
	serviceTime    time.Duration // serviceTime is the mean time that a request holds its slot.
	deviation      time.Duration // deviation is the mean deviation of the service time.
}

// workspace is the state of one workspace.
type workspace struct {
	demand protocol.Demand
	limit  [protocol.NumClasses]int
	queue  [protocol.NumClasses][]*request
}

// request is a running or queued request.
type request struct {
	id        uint64
	workspace *workspace
	class     int
	priority  protocol.Priority
	startBy   time.Time
	startedAt time.Time // startedAt is zero while the request is queued.
}

// NewLimiter returns a limiter that limits nothing until it gets a PoolMsg with slots.
func NewLimiter(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, workspaces: map[string]*workspace{}, requests: map[uint64]*request{}, serviceTime: initialServiceTime, instances: 1}
}

// Update processes a message and returns the commands to execute.
func (l *Limiter) Update(m Msg) []Cmd {
	switch m := m.(type) {
	case ArriveMsg:
		return l.arrive(m)
	case DoneMsg:
		l.done(m)
		return l.startQueued(m.Now)
	case GrantMsg:
		l.applyGrant(m)
		return l.startQueued(m.Now)
	case PoolMsg:
		l.slots, l.instances = m.Slots, max(1, m.Instances)
		return l.tick(m.Now)
	case TickMsg:
		return l.tick(m.Now)
	}
	return nil
}

// Demand returns the running and queued requests by workspace.
func (l *Limiter) Demand() []protocol.Demand {
	rows := make([]protocol.Demand, 0, len(l.names))
	for _, name := range l.names {
		rows = append(rows, l.workspaces[name].demand)
	}
	return rows
}

// Queued returns the number of queued requests.
func (l *Limiter) Queued() int { return l.queued }

// Idle reports whether there are no running or queued requests.
func (l *Limiter) Idle() bool { return len(l.requests) == 0 }

func (l *Limiter) arrive(m ArriveMsg) []Cmd {
	w := l.findOrAddWorkspace(m.Workspace, m.Share)
	r := &request{id: m.ID, workspace: w, class: protocol.ClassOf(m.Priority), priority: m.Priority, startBy: l.startBy(m)}
	l.requests[r.id] = r
	if m.Admitted || (len(w.queue[r.class]) == 0 && l.mayStart(w, r.class)) {
		l.markStarted(r, m.Now)
		return []Cmd{StartCmd{ID: r.id}}
	}
	if m.Now.Add(l.estimateWait(r)).After(r.startBy) {
		return []Cmd{l.refuse(r)}
	}
	l.enqueue(r)
	if l.queued <= l.cfg.MaxQueued {
		return nil
	}
	evicted := l.evictionCandidate()
	l.dequeue(evicted)
	return []Cmd{l.refuse(evicted)}
}

// refuse removes a request that is not queued and returns its refusal.
func (l *Limiter) refuse(r *request) Cmd {
	delete(l.requests, r.id)
	return RefuseCmd{ID: r.id, RetryAfter: retryAfter(r.id, l.estimateWait(r))}
}

// evictionCandidate returns the request to refuse when the queue is full: the last one of
// the workspace with the longest queue for its share, first among requests of low priority.
// This way no workspace can fill the queue at the expense of the others.
func (l *Limiter) evictionCandidate() *request {
	for class := protocol.NumClasses - 1; class >= 0; class-- {
		var longest *workspace
		for _, name := range l.names {
			w := l.workspaces[name]
			if len(w.queue[class]) > 0 && (longest == nil || longest.hasShorterQueue(w, class)) {
				longest = w
			}
		}
		if longest != nil {
			queue := longest.queue[class]
			return queue[len(queue)-1]
		}
	}
	return nil
}

// hasShorterQueue reports whether s has fewer queued requests of a class for its share
// than o.
func (w *workspace) hasShorterQueue(o *workspace, class int) bool {
	return len(w.queue[class])*max(1, o.demand.Share) < len(o.queue[class])*max(1, w.demand.Share)
}

// startBy returns when a request must start: by its StartBy, and early enough to meet its
// deadline.
func (l *Limiter) startBy(m ArriveMsg) time.Time {
	if startBy := m.Deadline.Add(-l.serviceTime - deviationFactor*l.deviation); !m.Deadline.IsZero() && startBy.Before(m.StartBy) {
		return startBy
	}
	return m.StartBy
}

func (l *Limiter) findOrAddWorkspace(name string, share int) *workspace {
	w := l.workspaces[name]
	if w == nil {
		w = &workspace{demand: protocol.Demand{Workspace: name}}
		l.workspaces[name] = w
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Insert(l.names, i, name)
	}
	w.demand.Share = share
	return w
}

// enqueue inserts a request behind those of its workspace with the same or a higher priority.
func (l *Limiter) enqueue(r *request) {
	queue := r.workspace.queue[r.class]
	i := slices.IndexFunc(queue, func(o *request) bool { return o.priority < r.priority })
	if i < 0 {
		i = len(queue)
	}
	r.workspace.queue[r.class] = slices.Insert(queue, i, r)
	r.workspace.demand.Queued[r.class]++
	l.queued++
}

func (l *Limiter) dequeue(r *request) {
	queue := r.workspace.queue[r.class]
	r.workspace.queue[r.class] = slices.DeleteFunc(queue, func(o *request) bool { return o == r })
	r.workspace.demand.Queued[r.class]--
	l.queued--
}

func (l *Limiter) markStarted(r *request, now time.Time) {
	r.startedAt = now
	r.workspace.demand.Running[r.class]++
}

// mayStart reports whether a request of a class may start now.
func (l *Limiter) mayStart(w *workspace, class int) bool {
	if l.slots == 0 || w.demand.Running[class] < w.limit[class] {
		return true
	}
	if class == protocol.ClassLow && l.regularQueued() {
		return false
	}
	return l.borrowed() < l.spare
}

// borrowed counts the slots in use beyond the limits of the workspaces.
func (l *Limiter) borrowed() int {
	n := 0
	for _, w := range l.workspaces {
		for class := range protocol.NumClasses {
			n += max(0, w.demand.Running[class]-w.limit[class])
		}
	}
	return n
}

func (l *Limiter) regularQueued() bool {
	for _, w := range l.workspaces {
		if len(w.queue[protocol.ClassRegular]) > 0 {
			return true
		}
	}
	return false
}

// startQueued starts the queued requests that may start, first those of the workspace that
// runs the fewest for its share.
func (l *Limiter) startQueued(now time.Time) []Cmd {
	var cmds []Cmd
	for {
		r := l.next()
		if r == nil {
			return cmds
		}
		l.dequeue(r)
		l.markStarted(r, now)
		cmds = append(cmds, StartCmd{ID: r.id})
	}
}

func (l *Limiter) next() *request {
	for class := range protocol.NumClasses {
		var best *workspace
		for _, name := range l.names {
			w := l.workspaces[name]
			if len(w.queue[class]) > 0 && l.mayStart(w, class) && (best == nil || w.runsFewer(best, class)) {
				best = w
			}
		}
		if best != nil {
			return best.queue[class][0]
		}
	}
	return nil
}

// runsFewer reports whether s runs fewer requests of a class for its share than o.
func (w *workspace) runsFewer(o *workspace, class int) bool {
	return w.demand.Running[class]*max(1, o.demand.Share) < o.demand.Running[class]*max(1, w.demand.Share)
}

func (l *Limiter) done(m DoneMsg) {
	r := l.requests[m.ID]
	if r == nil {
		return
	}
	delete(l.requests, m.ID)
	if r.startedAt.IsZero() {
		l.dequeue(r)
		return
	}
	r.workspace.demand.Running[r.class]--
	took := m.Now.Sub(r.startedAt)
	l.deviation += time.Duration(serviceTimeWeight * float64((took-l.serviceTime).Abs()-l.deviation))
	l.serviceTime += time.Duration(serviceTimeWeight * float64(took-l.serviceTime))
	l.serviceTime = max(l.serviceTime, time.Millisecond)
}

// applyGrant replaces the coordinator's previous grant.
func (l *Limiter) applyGrant(m GrantMsg) {
	l.grantExpiresAt, l.spare = m.ExpiresAt, m.Spare
	for _, w := range l.workspaces {
		w.limit = [protocol.NumClasses]int{}
	}
	for _, row := range m.Rows {
		if w := l.workspaces[row.Workspace]; w != nil {
			w.limit = row.Slots
		}
	}
}

// tick refuses requests that can no longer start in time, removes idle workspaces, and
// divides the slots locally if the grant has expired.
func (l *Limiter) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for _, r := range l.expired(now) {
		l.dequeue(r)
		cmds = append(cmds, l.refuse(r))
	}
	l.names = slices.DeleteFunc(l.names, func(name string) bool {
		w := l.workspaces[name]
		idle := w.demand.Want(protocol.ClassRegular)+w.demand.Want(protocol.ClassLow) == 0
		if idle {
			delete(l.workspaces, name)
		}
		return idle
	})
	if l.slots > 0 && now.After(l.grantExpiresAt) {
		l.divideLocally()
	}
	return append(cmds, l.startQueued(now)...)
}

// expired returns the queued requests that can no longer start in time.
func (l *Limiter) expired(now time.Time) []*request {
	var expired []*request
	for _, name := range l.names {
		for _, queue := range l.workspaces[name].queue {
			for _, r := range queue {
				if !r.startBy.After(now) {
					expired = append(expired, r)
				}
			}
		}
	}
	return expired
}

// divideLocally divides this instance's even part of the pool, rounded up, between its
// workspaces.
func (l *Limiter) divideLocally() {
	part := (l.slots + l.instances - 1) / l.instances
	rows := l.Demand()
	allocated := divideAmongWorkspaces(part, rows)
	used := 0
	for i, name := range l.names {
		l.workspaces[name].limit = allocated[i]
		used += allocated[i][protocol.ClassRegular] + allocated[i][protocol.ClassLow]
	}
	l.spare = max(1, part-used)
}

// estimateWait estimates how long a request waits if it joins its queue now: the number of
// requests ahead of it, times the mean service time, divided by the slots of its workspace.
func (l *Limiter) estimateWait(r *request) time.Duration {
	ahead := 1
	for _, o := range r.workspace.queue[r.class] {
		if o.priority >= r.priority {
			ahead++
		}
	}
	slots := max(1, r.workspace.limit[r.class], r.workspace.demand.Running[r.class])
	return l.serviceTime * time.Duration(ahead) / time.Duration(slots)
}

// retryAfter spreads refused requests over an interval as long as the wait, so that they
// are not sent again all at once.
func retryAfter(id uint64, wait time.Duration) time.Duration {
	const goldenRatio = 0.6180339887498949 // Its multiples modulo 1 are evenly spread, for any number of them.
	_, fraction := math.Modf(float64(id) * goldenRatio)
	return max(minRetryAfter, min(wait+time.Duration(fraction*float64(wait)), maxRetryAfter))
}
