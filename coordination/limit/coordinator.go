package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// minInterval is the least time between two demands of a limiter. The interval grows with
	// the number of instances, so that the coordinator's load stays bounded.
	minInterval         = 100 * time.Millisecond
	intervalPerInstance = 5 * time.Millisecond
	// leaseIntervals is how many intervals a grant lasts and a demand is remembered.
	leaseIntervals = 4
)

// Interval returns the time between two demands of a limiter, for a number of instances.
func Interval(instances int) time.Duration {
	return max(minInterval, time.Duration(instances)*intervalPerInstance)
}

// Lease returns how long a grant lasts, for a number of instances.
func Lease(instances int) time.Duration { return leaseIntervals * Interval(instances) }

// Coordinator divides a pool's slots between the limiters of all instances. It remembers
// the last demand of each limiter for the time of a lease.
type Coordinator struct {
	demands   map[string]limiterDemand
	dividedAt time.Time
	grants    map[string]protocol.GrantMsg
}

// limiterDemand is the last demand of a limiter.
type limiterDemand struct {
	rows []protocol.Demand
	at   time.Time
}

// NewCoordinator returns a coordinator without demands.
func NewCoordinator() *Coordinator { return &Coordinator{demands: map[string]limiterDemand{}} }

// HandleDemand processes a limiter's demand and returns its grant. slots is the number of
// slots of the whole pool, instances the number of instances that may send to it.
func (c *Coordinator) HandleDemand(m protocol.DemandMsg, slots, instances int, now time.Time) protocol.GrantMsg {
	_, known := c.demands[m.From]
	c.demands[m.From] = limiterDemand{rows: m.Rows, at: now}
	if !known || now.Sub(c.dividedAt) >= Interval(instances)/4 {
		c.recomputeGrants(slots, instances, now)
	}
	return c.grants[m.From]
}

// recomputeGrants divides the slots: first between workspaces, then the slots of each
// workspace between the limiters that demand them.
func (c *Coordinator) recomputeGrants(slots, instances int, now time.Time) {
	for from, demand := range c.demands {
		if now.Sub(demand.at) > Lease(instances) {
			delete(c.demands, from)
		}
	}
	limiters := c.limiters()
	total := c.sumDemands(limiters)
	allocated := divideAmongWorkspaces(slots, total)
	c.dividedAt, c.grants = now, map[string]protocol.GrantMsg{}
	unused := slots
	for i := range total {
		unused -= allocated[i][protocol.ClassRegular] + allocated[i][protocol.ClassLow]
		for class := range protocol.NumClasses {
			c.divideAmongLimiters(limiters, total[i].Workspace, class, allocated[i][class])
		}
	}
	// Slots without demand are lent out evenly, at least one to each limiter, so that a
	// limiter can start requests before it has a grant.
	spare := max(1, unused/max(1, instances))
	for _, from := range limiters {
		grant := c.grants[from]
		grant.Spare = spare
		c.grants[from] = grant
	}
}

// TotalDemand returns how many slots all limiters together could use now.
func (c *Coordinator) TotalDemand(instances int, now time.Time) int {
	total := 0
	for _, demand := range c.demands {
		if now.Sub(demand.at) > Lease(instances) {
			continue
		}
		for i := range demand.rows {
			total += demand.rows[i].Want(protocol.ClassRegular) + demand.rows[i].Want(protocol.ClassLow)
		}
	}
	return total
}

func (c *Coordinator) limiters() []string {
	names := make([]string, 0, len(c.demands))
	for from := range c.demands {
		names = append(names, from)
	}
	slices.Sort(names)
	return names
}

// sumDemands adds up the limiters' demands by workspace, sorted by name.
func (c *Coordinator) sumDemands(limiters []string) []protocol.Demand {
	sums := map[string]*protocol.Demand{}
	for _, from := range limiters {
		for _, row := range c.demands[from].rows {
			s := sums[row.Workspace]
			if s == nil {
				s = &protocol.Demand{Workspace: row.Workspace}
				sums[row.Workspace] = s
			}
			s.Share = max(s.Share, row.Share)
			for class := range protocol.NumClasses {
				s.Running[class] += row.Running[class]
				s.Queued[class] += row.Queued[class]
			}
		}
	}
	rows := make([]protocol.Demand, 0, len(sums))
	for _, s := range sums {
		rows = append(rows, *s)
	}
	slices.SortFunc(rows, func(a, b protocol.Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return rows
}

// divideAmongLimiters divides a workspace's slots of a class between the limiters.
func (c *Coordinator) divideAmongLimiters(limiters []string, workspace string, class, slots int) {
	var wants []want
	var from []string
	for _, limiter := range limiters {
		for _, row := range c.demands[limiter].rows {
			if n := row.Want(class); row.Workspace == workspace && n > 0 {
				wants = append(wants, want{weight: 1, slots: n})
				from = append(from, limiter)
			}
		}
	}
	for i, n := range maxMinFair(slots, wants) {
		grant := c.grants[from[i]]
		grant.Rows = addGrant(grant.Rows, workspace, class, n)
		c.grants[from[i]] = grant
	}
}

func addGrant(rows []protocol.Grant, workspace string, class, slots int) []protocol.Grant {
	if n := len(rows); n == 0 || rows[n-1].Workspace != workspace {
		rows = append(rows, protocol.Grant{Workspace: workspace})
	}
	rows[len(rows)-1].Slots[class] = slots
	return rows
}

// divideAmongWorkspaces divides slots between workspaces by their shares: first for regular
// requests, then the rest for requests of low priority.
func divideAmongWorkspaces(slots int, rows []protocol.Demand) [][protocol.NumClasses]int {
	allocated := make([][protocol.NumClasses]int, len(rows))
	for class := range protocol.NumClasses {
		wants := make([]want, len(rows))
		for i := range rows {
			wants[i] = want{weight: rows[i].Share, slots: rows[i].Want(class)}
		}
		for i, n := range maxMinFair(slots, wants) {
			allocated[i][class] = n
			slots -= n
		}
	}
	return allocated
}
