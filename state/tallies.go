package state

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// talliesKept is for how many windows behind the newest counts are kept.
const talliesKept = 6

// tallies are the counts of gateways that are not settled yet, by window.
type tallies struct {
	windows map[int64]map[tallyKey]int64
	newest  int64
}

// tallyKey names one count of a window.
type tallyKey struct {
	gateway   string
	life      uint64
	workspace string
}

// keep takes counts, which only rise, and forgets old windows. Without any it
// returns all that are kept.
func (t *tallies) keep(m *protocol.TallyMsg) *protocol.TallyReply {
	if len(m.Rows) == 0 {
		return &protocol.TallyReply{Rows: t.list()}
	}
	newest := t.newest
	for _, r := range m.Rows {
		t.add(r)
		newest = max(newest, r.Window)
	}
	if newest > t.newest {
		t.newest = newest
		t.forget()
	}
	return &protocol.TallyReply{}
}

func (t *tallies) add(r protocol.TallyRow) {
	if r.Window < t.newest-talliesKept {
		return
	}
	w := t.windows[r.Window]
	if w == nil {
		if t.windows == nil {
			t.windows = map[int64]map[tallyKey]int64{}
		}
		w = map[tallyKey]int64{}
		t.windows[r.Window] = w
	}
	k := tallyKey{gateway: r.Gateway, life: r.Life, workspace: r.Workspace}
	w[k] = max(w[k], r.Count)
}

// forget drops the windows that are behind those that are kept.
func (t *tallies) forget() {
	for window := range t.windows {
		if window < t.newest-talliesKept {
			delete(t.windows, window)
		}
	}
}

// list returns all counts in a fixed order.
func (t *tallies) list() []protocol.TallyRow {
	var rows []protocol.TallyRow
	for window, counts := range t.windows {
		for k, n := range counts {
			rows = append(rows, protocol.TallyRow{Gateway: k.gateway, Life: k.life, Window: window, Workspace: k.workspace, Count: n})
		}
	}
	slices.SortFunc(rows, func(a, b protocol.TallyRow) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Life, b.Life), cmp.Compare(a.Workspace, b.Workspace))
	})
	return rows
}
