package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Coordinator divides a pool's slots between the gates of all instances. It
// remembers what each gate last asked for until that is too old.
type Coordinator struct {
	keep    time.Duration // keep is how long a gate's demand counts.
	refresh time.Duration // refresh is how old a division may be.
	asked   map[string]asked
	divided time.Time
	grants  map[string]protocol.GrantMsg
}

// asked is a gate's last demand.
type asked struct {
	rows []protocol.Demand
	at   time.Time
}

// NewCoordinator returns a coordinator to which gates speak at least once in
// keep, and which divides anew at most once in refresh.
func NewCoordinator(keep, refresh time.Duration) *Coordinator {
	return &Coordinator{keep: keep, refresh: refresh, asked: map[string]asked{}}
}

// Ask takes a gate's demand and returns its grant. The slots are those of the
// whole pool, the instances those that may send to it.
func (c *Coordinator) Ask(m protocol.DemandMsg, slots, instances int, now time.Time) protocol.GrantMsg {
	_, known := c.asked[m.From]
	c.asked[m.From] = asked{rows: m.Rows, at: now}
	if !known || now.Sub(c.divided) >= c.refresh {
		c.divide(slots, instances, now)
	}
	return c.grants[m.From]
}

// divide shares the slots out: first between workspaces, then each one's
// between the gates that ask for it.
func (c *Coordinator) divide(slots, instances int, now time.Time) {
	for from, a := range c.asked {
		if now.Sub(a.at) > c.keep {
			delete(c.asked, from)
		}
	}
	gates := c.gates()
	total := c.total(gates)
	given := divide(slots, total)
	c.divided, c.grants = now, map[string]protocol.GrantMsg{}
	left := slots
	for i := range total {
		left -= given[i][protocol.ClassRegular] + given[i][protocol.ClassLow]
		for class := range protocol.Classes {
			c.split(gates, total[i].Workspace, class, given[i][class])
		}
	}
	// What nobody asks for is lent out evenly, one slot at the least, so that a
	// gate can begin something before it was granted anything.
	spare := max(1, left/max(1, instances))
	for _, from := range gates {
		grant := c.grants[from]
		grant.Spare = spare
		c.grants[from] = grant
	}
}

// Total returns how many slots all gates together could use now.
func (c *Coordinator) Total(now time.Time) int {
	total := 0
	for _, a := range c.asked {
		if now.Sub(a.at) > c.keep {
			continue
		}
		for i := range a.rows {
			total += a.rows[i].Want(protocol.ClassRegular) + a.rows[i].Want(protocol.ClassLow)
		}
	}
	return total
}

func (c *Coordinator) gates() []string {
	names := make([]string, 0, len(c.asked))
	for from := range c.asked {
		names = append(names, from)
	}
	slices.Sort(names)
	return names
}

// total adds up the gates' demands by workspace, sorted by its name.
func (c *Coordinator) total(gates []string) []protocol.Demand {
	sums := map[string]*protocol.Demand{}
	for _, from := range gates {
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

// split divides what a workspace has in a class between the gates.
func (c *Coordinator) split(gates []string, workspace string, class, slots int) {
	var wants []want
	var from []string
	for _, gate := range gates {
		for _, row := range c.asked[gate].rows {
			if n := row.Want(class); row.Workspace == workspace && n > 0 {
				wants = append(wants, want{weight: 1, slots: n})
				from = append(from, gate)
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
