package control

import (
	"context"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// busySource is a source that records during each call whether the tracker is busy.
type busySource struct {
	busy func() bool
	seen map[string]bool
}

func (a *busySource) List(context.Context) (list []protocol.Instance, calls int, err error) {
	a.seen["list"] = a.busy()
	return nil, 1, nil
}

func (a *busySource) Report(context.Context, Duty, int64, map[string]int64) error {
	a.seen["report"] = a.busy()
	return nil
}

func (a *busySource) Order(context.Context, Duty, Order) error {
	a.seen["order"] = a.busy()
	return ErrFenced
}

// TestCallTrackerBusy checks that the tracker is busy during reports and orders, and not
// during reads of the list.
func TestCallTrackerBusy(t *testing.T) {
	a := &busySource{seen: map[string]bool{}}
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
			t.Errorf("during %s: busy is %v", name, a.seen[name])
		}
	}
	if c.Busy() {
		t.Error("still busy after the calls")
	}
}
