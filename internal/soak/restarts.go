package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// defaultRetryRatio, retryExtra and retryWindow are the retry budget of a cluster's services.
	defaultRetryRatio = 0.5
	retryExtra        = 50
	retryWindow       = 10 * time.Second
	// restartStream is the second seed of the generator of restarts (the bytes of "restart").
	restartStream = 0x72657374617274
	// minRestartGap and maxRestartGap bound the time between two restarts of all gateways.
	minRestartGap = 1500 * time.Millisecond
	maxRestartGap = 3 * time.Second
	// acceptEvery makes a server accept every acceptEvery-th request during the restarts.
	acceptEvery = 5
)

// RestartRetryRatio is the retry ratio for plans with restarts: with it, few of the retries are due to
// the number of requests.
const RestartRetryRatio = 0.05

// WithRestarts returns the plan with servers that reject most requests while all gateways are
// killed at once several times, every second time together with the leader. Its other steps stay
// as they are. The retry budget of a run has to hold all the while.
func (p Plan) WithRestarts() Plan {
	rnd := rand.New(rand.NewPCG(p.Seed, restartStream))
	p.Steps = slices.Clone(p.Steps)
	p.Restarts = true
	for at, n := firstFaultAt, 0; at < p.Length; at, n = at+minRestartGap+time.Duration(rnd.Int64N(int64(maxRestartGap-minRestartGap))), n+1 {
		p.Steps = append(p.Steps, Step{At: at, For: time.Duration(rnd.Int64N(int64(minRestartGap / 2))), Fault: FaultRestart, Index: n % 2})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// rejectMost makes all servers reject most requests.
func (c *Cluster) rejectMost() {
	for _, b := range c.Backends {
		b.SetAcceptEvery(acceptEvery)
	}
}

// acceptAll makes all servers accept requests again.
func (c *Cluster) acceptAll() {
	for _, b := range c.Backends {
		b.SetAcceptEvery(0)
	}
}

// restartGateways kills all gateways at once, and the leader as well if withLeader is set, and
// starts them again.
func (r *run) restartGateways(withLeader bool, after time.Duration) {
	r.restarts.Lock()
	defer r.restarts.Unlock()
	procs := slices.Clone(r.cluster.procs[r.cluster.Size.Controls:])
	if leader := r.cluster.leader(); withLeader && leader != nil {
		procs = append(procs, leader)
	}
	var killed sync.WaitGroup
	for _, p := range procs {
		killed.Go(p.Kill)
	}
	killed.Wait()
	time.Sleep(after)
	for _, p := range procs {
		r.reportError(p.Start())
	}
}

// leader returns the control instance that leads, or nil.
func (c *Cluster) leader() *Proc {
	for i := range c.Size.Controls {
		if s, err := c.Status(i); err == nil && s.Role == "leader" {
			return c.procs[i]
		}
	}
	return nil
}

// countRetries returns how many requests the servers received beyond the first with the same ID.
func (c *Cluster) countRetries() int {
	_, retries := c.arrivals()
	return len(retries)
}

// arrivals returns when the servers received the first request with each ID, and the others.
func (c *Cluster) arrivals() (firsts, retries []time.Time) {
	var all []standin.ReceivedRequest
	for _, b := range c.Backends {
		all = append(all, b.ReceivedRequests()...)
	}
	slices.SortFunc(all, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	for _, a := range all {
		if seen[a.ID] {
			retries = append(retries, a.At)
			continue
		}
		seen[a.ID] = true
		firsts = append(firsts, a.At)
	}
	return firsts, retries
}

// retryBudgetBreaches returns a window in which the servers received more retries than the budget
// allows for its requests, for those of the window before it, or for those of the window half a
// window before it. Only plans with restarts are checked: others move runs, which are received twice.
func (c *Cluster) retryBudgetBreaches(p Plan) []string {
	if !p.Restarts {
		return nil
	}
	firsts, retries := c.arrivals()
	for _, from := range retries {
		requests := max(countWithin(firsts, from), countWithin(firsts, from.Add(-retryWindow)), countWithin(firsts, from.Add(-retryWindow/2)))
		allowed := c.Size.retryRatio()*float64(requests) + retryExtra
		if n := countWithin(retries, from); float64(n) > allowed {
			return []string{fmt.Sprintf("%d retries for %d requests in %v, allowed %.0f", n, requests, retryWindow, allowed)}
		}
	}
	return nil
}

// countWithin counts the times in the retry window that begins at from.
func countWithin(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return last - first
}
