package place

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// TestIncarnationText checks that each incarnation is read as it was rendered, whatever
// its name holds, and that two starts of a server differ.
func TestIncarnationText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := protocol.Incarnation{Name: rapid.StringMatching(`[a-z0-9@-]{1,12}`).Draw(t, "name"), Start: rapid.Int64Range(0, 2_000_000_000_000).Draw(t, "start")}
		if got := protocol.ParseIncarnation(i.String()); got != i {
			t.Errorf("%+v is rendered as %q and read as %+v", i, i.String(), got)
		}
		next := protocol.Incarnation{Name: i.Name, Start: i.Start + 1}
		if next.String() == i.String() {
			t.Errorf("two starts are rendered as %q", i.String())
		}
	})
}
