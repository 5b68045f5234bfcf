package state

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// settledWindowRetention is how many settled windows before the newest one are
// retained. It exceeds the delay of any report.
const settledWindowRetention = 64

// windows holds the settled usage counts by window. The first counts settled for a
// window are final.
type windows map[int64]*protocol.SettleUsageMsg

// settle fixes the counts of a window unless they are settled already, records whether
// the report was accepted, and returns the settled counts.
func (w windows) settle(m *protocol.SettleUsageMsg) *protocol.SettleUsageReply {
	row := w[m.Window]
	if row == nil {
		row = &protocol.SettleUsageMsg{Window: m.Window, Counts: m.Counts}
		w[m.Window] = row
		w.prune(m.Window)
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

func (w windows) prune(newest int64) {
	for k := range w {
		if k < newest-settledWindowRetention {
			delete(w, k)
		}
	}
}

// list returns copies of the rows, sorted by window.
func (w windows) list() []protocol.SettleUsageMsg {
	rows := make([]protocol.SettleUsageMsg, 0, len(w))
	for _, row := range w {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b protocol.SettleUsageMsg) int { return int(a.Window - b.Window) })
	return rows
}
