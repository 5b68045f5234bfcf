package state

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// tallyWindowRetention is how many windows before the newest one have their counts
// retained.
const tallyWindowRetention = 6

// tallies holds gateways' usage counts that are not settled yet, by window.
type tallies struct {
	windows map[int64]map[tallyKey]int64
	newest  int64
}

// tallyKey identifies one count of a window.
type tallyKey struct {
	gateway   string
	life      uint64
	workspace string
}

// update merges counts, which only increase, and prunes old windows. Without rows in
// the message, it returns all stored counts.
func (t *tallies) update(m *protocol.TallyMsg) *protocol.TallyReply {
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
		t.prune()
	}
	return &protocol.TallyReply{}
}

func (t *tallies) add(r protocol.TallyRow) {
	if r.Window < t.newest-tallyWindowRetention {
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

// prune drops windows that are past the retention.
func (t *tallies) prune() {
	for window := range t.windows {
		if window < t.newest-tallyWindowRetention {
			delete(t.windows, window)
		}
	}
}

// list returns all counts in a deterministic order.
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
