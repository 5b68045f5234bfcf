package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// askEvery is the least time between two questions of a limiter. It grows with
	// the instances, so that the coordinator's load does not.
	askEvery       = 100 * time.Millisecond
	askEveryMember = 5 * time.Millisecond
	// lasts is how many such times a grant lasts, and a demand counts.
	lasts = 4
)

// Interval is the time between two questions of a limiter, by the number of
// instances.
func Interval(instances int) time.Duration {
	return max(askEvery, time.Duration(instances)*askEveryMember)
}

// Lease is how long a grant lasts.
func Lease(instances int) time.Duration { return lasts * Interval(instances) }

// Coordinator divides a pool's slots between the limiters of all instances. It
// remembers what each one last asked for until that is too old.
type Coordinator struct {
	asked   map[string]asked
	divided time.Time
	grants  map[string]protocol.GrantMsg
}

// asked is a limiter's last demand.
type asked struct {
	rows []protocol.Demand
	at   time.Time
}

// NewCoordinator returns a coordinator that nobody has asked yet.
func NewCoordinator() *Coordinator { return &Coordinator{asked: map[string]asked{}} }

// HandleDemand takes a limiter's demand and returns its grant. The slots are those of the
// whole pool, the instances those that may send to it.
func (c *Coordinator) HandleDemand(m protocol.DemandMsg, slots, instances int, now time.Time) protocol.GrantMsg {
	_, known := c.asked[m.From]
	c.asked[m.From] = asked{rows: m.Rows, at: now}
	if !known || now.Sub(c.divided) >= Interval(instances)/4 {
		c.divide(slots, instances, now)
	}
	return c.grants[m.From]
}

// divide shares the slots out: first between workspaces, then each one's
// between the limiters that ask for it.
func (c *Coordinator) divide(slots, instances int, now time.Time) {
	for from, a := range c.asked {
		if now.Sub(a.at) > Lease(instances) {
			delete(c.asked, from)
		}
	}
	limiters := c.limiters()
	total := c.total(limiters)
	given := divide(slots, total)
	c.divided, c.grants = now, map[string]protocol.GrantMsg{}
	left := slots
	for i := range total {
		left -= given[i][protocol.ClassRegular] + given[i][protocol.ClassLow]
		for class := range protocol.Classes {
			c.split(limiters, total[i].Workspace, class, given[i][class])
		}
	}
	// What nobody asks for is lent out evenly, one slot at the least, so that a
	// limiter can begin something before it was granted anything.
	spare := max(1, left/max(1, instances))
	for _, from := range limiters {
		grant := c.grants[from]
		grant.Spare = spare
		c.grants[from] = grant
	}
}

// TotalDemand returns how many slots all limiters together could use now.
func (c *Coordinator) TotalDemand(instances int, now time.Time) int {
	total := 0
	for _, a := range c.asked {
		if now.Sub(a.at) > Lease(instances) {
			continue
		}
		for i := range a.rows {
			total += a.rows[i].Want(protocol.ClassRegular) + a.rows[i].Want(protocol.ClassLow)
		}
	}
	return total
}

func (c *Coordinator) limiters() []string {
	names := make([]string, 0, len(c.asked))
	for from := range c.asked {
		names = append(names, from)
	}
	slices.Sort(names)
	return names
}

// total adds up the limiters' demands by workspace, sorted by its name.
func (c *Coordinator) total(limiters []string) []protocol.Demand {
	sums := map[string]*protocol.Demand{}
	for _, from := range limiters {
		for _, row := range c.asked[from].rows {
			s := sums[row.Workspace]
			if s == nil {
				s = &protocol.Demand{Workspace: row.Workspace}
				sums[row.Workspace] = s
			}
			s.Share = max(s.Share, row.Share)
			for class := range protocol.Classes {
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

// split divides what a workspace has in a class between the limiters.
func (c *Coordinator) split(limiters []string, workspace string, class, slots int) {
	var wants []want
	var from []string
	for _, limiter := range limiters {
		for _, row := range c.asked[limiter].rows {
			if n := row.Want(class); row.Workspace == workspace && n > 0 {
				wants = append(wants, want{weight: 1, slots: n})
				from = append(from, limiter)
			}
		}
	}
	for i, n := range fair(slots, wants) {
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

// divide shares slots out between workspaces: by their shares for regular
// requests, and what is left likewise for those of low priority.
func divide(slots int, rows []protocol.Demand) [][protocol.Classes]int {
	given := make([][protocol.Classes]int, len(rows))
	for class := range protocol.Classes {
		wants := make([]want, len(rows))
		for i := range rows {
			wants[i] = want{weight: rows[i].Share, slots: rows[i].Want(class)}
		}
		for i, n := range fair(slots, wants) {
			given[i][class] = n
			slots -= n
		}
	}
	return given
}
