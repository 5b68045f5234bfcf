package state

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/weldstream/weldstream/protocol"
)

// TestDecodeLegacyCommands checks that commands survive encoding and decoding, and that
// commands logged as JSON by an earlier version can still be decoded.
func TestDecodeLegacyCommands(t *testing.T) {
	for name, c := range map[string]protocol.Command{
		"counts":   {At: 17, Tally: &protocol.TallyMsg{Rows: []protocol.TallyRow{{Gateway: "g", Life: 1 << 63, Window: 3, Workspace: "w", Count: 4}}}},
		"document": {At: 18, Put: &protocol.PutDocumentMsg{Number: 9, Data: []byte{0, 255, '{'}}},
		"window":   {Settle: &protocol.SettleUsageMsg{Window: 5, Counts: map[string]int64{"w": 7}}},
		"claim":    {At: 19, Claim: &protocol.ClaimMsg{IssuedAt: 4}},
		"query":    {Tally: &protocol.TallyMsg{}},
	} {
		current, err := EncodeCommand(&c)
		if err != nil {
			t.Fatal(err)
		}
		legacy, err := json.Marshal(&c)
		if err != nil {
			t.Fatal(err)
		}
		for form, data := range map[string][]byte{"CBOR": current, "JSON": legacy} {
			got, err := DecodeCommand(data)
			if err != nil || !cmp.Equal(*got, c, cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(protocol.TallyRow{})) {
				t.Errorf("%s, encoded as %s: %v, %s", name, form, err, cmp.Diff(c, *got, cmpopts.IgnoreUnexported(protocol.TallyRow{})))
			}
		}
	}
	for _, data := range [][]byte{nil, []byte("{"), {0xff}, {0x01}} {
		if _, err := DecodeCommand(data); err == nil {
			t.Errorf("decoding %x gave no error", data)
		}
	}
}

// TestOldTallyWindowsAreDropped checks that counts of old windows are dropped when a
// newer window begins, and that late counts for an old window are ignored.
func TestOldTallyWindowsAreDropped(t *testing.T) {
	m := NewMachine()
	tally := func(windows ...int64) (kept []int64) {
		msg := &protocol.TallyMsg{}
		for _, w := range windows {
			msg.Rows = append(msg.Rows, protocol.TallyRow{Gateway: "g", Window: w, Workspace: "w", Count: 1})
		}
		m.Apply(&protocol.Command{Tally: msg})
		for _, r := range m.Apply(&protocol.Command{Tally: &protocol.TallyMsg{}}).Tally.Rows {
			kept = append(kept, r.Window)
		}
		return kept
	}
	for _, step := range []struct{ reported, retained []int64 }{
		{[]int64{1, 2}, []int64{1, 2}},
		{[]int64{8}, []int64{2, 8}},
		{[]int64{1, 9}, []int64{8, 9}},
		{[]int64{2}, []int64{8, 9}},
	} {
		if got := tally(step.reported...); !slices.Equal(got, step.retained) {
			t.Errorf("after %v: kept %v, want %v", step.reported, got, step.retained)
		}
	}
}

// tallyCommands returns encoded commands as a leader logs them for the usage counts of
// a number of gateways.
func tallyCommands(b *testing.B, gateways, steps int) [][]byte {
	var log [][]byte
	for step := range steps {
		m := &protocol.TallyMsg{}
		for i := range gateways * 4 / 3 {
			g := (i*7 + step*13) % gateways
			m.Rows = append(m.Rows, protocol.TallyRow{
				Gateway: fmt.Sprintf("edge-domain-%d", g), Life: 1<<63 + uint64(g), Window: 353445120 + int64(step/12),
				Workspace: fmt.Sprintf("workspace%d", (i*i+step)%40), Count: int64(step + 1),
			})
		}
		data, err := EncodeCommand(&protocol.Command{At: 1769286806013, Tally: m})
		if err != nil {
			b.Fatal(err)
		}
		log = append(log, data)
	}
	return log
}

// BenchmarkReplay replays a log of 52 s with the usage counts of 295 gateways.
func BenchmarkReplay(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(20))
	log := tallyCommands(b, 295, 130)
	size := 0
	for _, data := range log {
		size += len(data)
	}
	b.ReportAllocs()
	for b.Loop() {
		m := NewMachine()
		for _, data := range log {
			c, err := DecodeCommand(data)
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(c)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
