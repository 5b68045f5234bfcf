package place

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// TestIncarnationText checks that an incarnation survives formatting and parsing with any
// server name, and that two starts of a server are formatted differently.
func TestIncarnationText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := protocol.Incarnation{Name: rapid.StringMatching(`[a-z0-9@-]{1,12}`).Draw(t, "name"), Start: rapid.Int64Range(0, 2_000_000_000_000).Draw(t, "start")}
		if got := protocol.ParseIncarnation(i.String()); got != i {
			t.Errorf("%+v is formatted as %q and parsed as %+v", i, i.String(), got)
		}
		next := protocol.Incarnation{Name: i.Name, Start: i.Start + 1}
		if next.String() == i.String() {
			t.Errorf("two starts are both formatted as %q", i.String())
		}
	})
}
