package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/weldstream/weldstream/protocol"
)

// applyAll applies commands in order and returns the last result.
func applyAll(m *Machine, commands ...protocol.Command) protocol.Result {
	var last protocol.Result
	for i := range commands {
		last = m.Apply(&commands[i])
	}
	return last
}

func put(number uint64, data string) protocol.Command {
	return protocol.Command{Put: &protocol.PutDocumentMsg{Number: number, Data: []byte(data)}}
}

// TestHighestDocumentNumberWins checks that only a document with a higher number, by
// any increment, is accepted, and that the reply to a resend or an older document has
// the number in force.
func TestHighestDocumentNumberWins(t *testing.T) {
	m := NewMachine()
	got := applyAll(m, put(7, "seven"), put(3, "three"), put(7, "another seven"))
	if got.Put.Number != 7 {
		t.Errorf("holds %d, want 7", got.Put.Number)
	}
	if number, data := m.Document(); number != 7 || string(data) != "seven" {
		t.Errorf("document in force: %d %q", number, data)
	}
	if got := applyAll(m, put(12, "twelve")); got.Put.Number != 12 {
		t.Errorf("holds %d, want 12", got.Put.Number)
	}
}

// TestSettledCountsAreImmutable checks that settled counts of a window never change, so
// that every report of them is identical.
func TestSettledCountsAreImmutable(t *testing.T) {
	m := NewMachine()
	settle := func(window int64, counts map[string]int64, sent bool) *protocol.SettleUsageReply {
		return applyAll(m, protocol.Command{Settle: &protocol.SettleUsageMsg{Window: window, Counts: counts, Sent: sent}}).Settle
	}
	settle(5, map[string]int64{"a": 3}, false)
	second := settle(5, map[string]int64{"a": 4}, false)
	if second.Counts["a"] != 3 || second.Sent {
		t.Errorf("settled a second time: got %+v", second)
	}
	if last := settle(5, nil, true); last.Counts["a"] != 3 || !last.Sent {
		t.Errorf("after the report: %+v", last)
	}
}

// TestDutyHolder checks that a new duty holder learns the previous one, and that an
// older token has no effect.
func TestDutyHolder(t *testing.T) {
	m := NewMachine()
	hold := func(holder string, token uint64) *protocol.DutyHolderReply {
		return applyAll(m, protocol.Command{Hold: &protocol.DutyHolderMsg{Holder: holder, Token: token}}).Hold
	}
	if got := hold("a", 1); got.Former != "" || got.Token != 1 {
		t.Errorf("first holder got %+v", got)
	}
	if got := hold("b", 4); got.Former != "a" {
		t.Errorf("second holder got %+v", got)
	}
	if got := hold("a", 2); got.Token != 4 {
		t.Errorf("older token got %+v", got)
	}
	if got := hold("b", 4); got.Former != "a" {
		t.Errorf("resend got %+v", got)
	}
}

// TestSnapshotRestoresState checks that a snapshot restores the state that gateways and
// duties depend on.
func TestSnapshotRestoresState(t *testing.T) {
	m := NewMachine()
	applyAll(m, put(9, "{}"),
		protocol.Command{Settle: &protocol.SettleUsageMsg{Window: 1, Counts: map[string]int64{"a": 1}}},
		protocol.Command{Settle: &protocol.SettleUsageMsg{Window: 1, Sent: true}},
		protocol.Command{Tally: &protocol.TallyMsg{Rows: []protocol.TallyRow{{Gateway: "g", Life: 7, Window: 3, Workspace: "w", Count: 5}}}},
		protocol.Command{Base: &protocol.BaselineMsg{Service: "s", Servers: 9}},
		protocol.Command{Hold: &protocol.DutyHolderMsg{Holder: "a", Token: 1}},
		protocol.Command{Hold: &protocol.DutyHolderMsg{Holder: "b", Token: 2}})
	data, err := m.Image().Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.Image(), restored.Image(), cmp.AllowUnexported(claim{})); diff != "" {
		t.Error(diff)
	}
	if got := applyAll(restored, protocol.Command{Base: &protocol.BaselineMsg{Service: "s", Servers: 2}}); got.Base.Servers != 9 {
		t.Errorf("baseline is %d servers, want 9", got.Base.Servers)
	}
	if got := restored.Settled(1); got == nil || !got.Sent {
		t.Errorf("settled window: %+v", got)
	}
}

// TestTallies checks that counts never decrease, are kept separately for each life of a
// gateway, and are dropped with their window.
func TestTallies(t *testing.T) {
	m := NewMachine()
	tally := func(rows ...protocol.TallyRow) []protocol.TallyRow {
		return applyAll(m, protocol.Command{Tally: &protocol.TallyMsg{Rows: rows}}).Tally.Rows
	}
	row := protocol.TallyRow{Gateway: "g", Life: 1, Window: 10, Workspace: "w", Count: 5}
	older, other := row, row
	older.Count, other.Life = 3, 2
	tally(row, other)
	tally(older)
	if diff := cmp.Diff([]protocol.TallyRow{row, other}, tally()); diff != "" {
		t.Error(diff)
	}
	late := row
	late.Window += tallyWindowRetention + 1
	tally(late)
	if diff := cmp.Diff([]protocol.TallyRow{late}, tally()); diff != "" {
		t.Error(diff)
	}
}
