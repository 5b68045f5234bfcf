package state

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// windowsKept is how many settled windows are kept behind the newest: more than
// any report may be late.
const windowsKept = 64

// windows are the usage counts that are settled, by window. The first counts
// that are settled for a window stay.
type windows map[int64]*protocol.SettleUsageMsg

// settle fixes a window's counts, or notes that their report was taken, and
// returns what holds.
func (w windows) settle(m *protocol.SettleUsageMsg) *protocol.SettleUsageReply {
	row := w[m.Window]
	if row == nil {
		row = &protocol.SettleUsageMsg{Window: m.Window, Counts: m.Counts}
		w[m.Window] = row
		w.forget(m.Window)
	}
	row.Sent = row.Sent || m.Sent
	return &protocol.SettleUsageReply{Counts: row.Counts, Sent: row.Sent}
}

func (w windows) get(window int64) *protocol.SettleUsageReply {
	row := w[window]
	if row == nil {
		return nil
	}
	return &protocol.SettleUsageReply{Counts: row.Counts, Sent: row.Sent}
}

func (w windows) forget(newest int64) {
	for k := range w {
		if k < newest-windowsKept {
			delete(w, k)
		}
	}
}

// list returns copies of the rows in the order of their windows.
func (w windows) list() []protocol.SettleUsageMsg {
	rows := make([]protocol.SettleUsageMsg, 0, len(w))
	for _, row := range w {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b protocol.SettleUsageMsg) int { return int(a.Window - b.Window) })
	return rows
}
