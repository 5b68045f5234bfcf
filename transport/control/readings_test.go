package control

import (
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// TestReadingsOfAllGateways checks that the prompts that one gateway sent and that the leader
// placed are passed to another gateway, once, and only if it holds the same list.
func TestReadingsOfAllGateways(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}})
	first := mustSync(t, u, protocol.SyncMsg{Gateway: "g", Readings: []protocol.Prefill{{Server: "b", Links: []uint32{7, 8}}}})
	if len(first.Readings) > 0 || first.ReadingsAt != 0 {
		t.Errorf("readings %v up to %d for a gateway without the list", first.Readings, first.ReadingsAt)
	}
	ask := func(at uint64) protocol.SyncReply {
		return mustSync(t, u, protocol.SyncMsg{Gateway: "h", Lister: first.Lister, Servers: first.Version, ReadingsAt: at})
	}
	got := ask(0)
	if want := "\x07\x00\x00\x00\x01\x00\x08\x00\x00\x00\x01\x00"; string(got.Readings) != want || got.ReadingsAt != 2 {
		t.Errorf("readings %x up to %d, want %x up to 2", got.Readings, got.ReadingsAt, want)
	}
	var placed protocol.PlaceReply
	if err := u.Place(protocol.PlaceMsg{Service: "s", Prompt: 100, Shared: 50, Chain: []protocol.PromptLink{{Hash: 9 << 32, Tokens: 50}}}, &placed); err != nil || placed.Server == "" {
		t.Fatalf("placed at %q: %v", placed.Server, err)
	}
	if got = ask(got.ReadingsAt); len(got.Readings) != 6 || got.Readings[0] != 9 || got.ReadingsAt != 3 {
		t.Errorf("readings %x up to %d after a prompt was placed", got.Readings, got.ReadingsAt)
	}
	if got = ask(got.ReadingsAt); len(got.Readings) != 0 {
		t.Errorf("readings %x were sent twice", got.Readings)
	}
}
