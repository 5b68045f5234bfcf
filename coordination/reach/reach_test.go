package reach

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// TestTracker checks what one gateway takes for unreachable, and when it suspects the path.
func TestTracker(t *testing.T) {
	k := NewTracker()
	if !k.Lost("a", "s", start) || k.Lost("a", "s", start.Add(time.Second)) {
		t.Error("the first loss of a server is new, the second is not")
	}
	now := start.Add(time.Second)
	if k.Suspected("s", now) {
		t.Error("the path is suspected for one server that failed alone")
	}
	k.Lost("b", "s", now)
	k.Lost("c", "other", now)
	if !k.Suspected("s", now) || k.Suspected("other", now) || k.Counts(now)["s"] != 2 {
		t.Errorf("counts %v, want two servers of s and one of other", k.Counts(now))
	}
	if after, was := k.Reached("a", now); !was || after != time.Second {
		t.Errorf("reached again after %v, was lost %v", after, was)
	}
	if k.IsLost("a", now) || !k.IsLost("b", now) || k.IsLost("b", now.Add(lossWindow)) {
		t.Error("a was reached again, b is lost until the loss expires")
	}
	k.Prune(func(server string) bool { return server == "b" }, now)
	if len(k.lost) != 1 {
		t.Errorf("%d losses are kept, want that of the listed server", len(k.lost))
	}
}
