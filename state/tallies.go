package state

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// talliesKept is for how many windows behind the newest counts are kept.
const talliesKept = 6

// tallies are the counts of gateways that are not settled yet.
type tallies map[tallyKey]int64

// tallyKey names one count.
type tallyKey struct {
	window    int64
	gateway   string
	life      uint64
	workspace string
}

// keep takes counts, which only rise, and forgets old windows. Without any it
// returns all that are kept.
func (t tallies) keep(m *protocol.TallyMsg) *protocol.TallyReply {
	if len(m.Rows) == 0 {
		return &protocol.TallyReply{Rows: t.list()}
	}
	newest := int64(0)
	for _, r := range m.Rows {
		k := tallyKey{window: r.Window, gateway: r.Gateway, life: r.Life, workspace: r.Workspace}
		t[k] = max(t[k], r.Count)
		newest = max(newest, r.Window)
	}
	for k := range t {
		if k.window < newest-talliesKept {
			delete(t, k)
		}
	}
	return &protocol.TallyReply{}
}

// list returns all counts in a fixed order.
func (t tallies) list() []protocol.TallyRow {
	rows := make([]protocol.TallyRow, 0, len(t))
	for k, n := range t {
		rows = append(rows, protocol.TallyRow{Gateway: k.gateway, Life: k.life, Window: k.window, Workspace: k.workspace, Count: n})
	}
	slices.SortFunc(rows, func(a, b protocol.TallyRow) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Life, b.Life), cmp.Compare(a.Workspace, b.Workspace))
	})
	return rows
}
