package control

import (
	"context"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// asking is a source that tells, in each call, what its caller is told meanwhile.
type asking struct {
	busy func() bool
	seen map[string]bool
}

func (a *asking) List(context.Context) (list []protocol.Instance, calls int, err error) {
	a.seen["list"] = a.busy()
	return nil, 1, nil
}

func (a *asking) Report(context.Context, Duty, int64, map[string]int64) error {
	a.seen["report"] = a.busy()
	return nil
}

func (a *asking) Order(context.Context, Duty, Order) error {
	a.seen["order"] = a.busy()
	return ErrFenced
}

// TestCallsAreBusy checks that reports and orders count as under way until they are
// answered, and reads of the list never do.
func TestCallsAreBusy(t *testing.T) {
	a := &asking{seen: map[string]bool{}}
	c := NewCallTracker(a)
	a.busy = c.Busy
	_, _, listed := c.List(t.Context())
	reported := c.Report(t.Context(), Duty{}, 1, nil)
	ordered := c.Order(t.Context(), Duty{}, Order{})
	if listed != nil || reported != nil || ordered == nil {
		t.Errorf("errors: %v, %v, %v", listed, reported, ordered)
	}
	for name, want := range map[string]bool{"list": false, "report": true, "order": true} {
		if a.seen[name] != want {
			t.Errorf("during %s busy is %v", name, a.seen[name])
		}
	}
	if c.Busy() {
		t.Error("busy behind the calls")
	}
}
