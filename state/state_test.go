package state

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

func revision(n uint64) protocol.Revision {
	return protocol.Revision{Number: n, Digest: protocol.DigestOf(fmt.Append(nil, n)), Config: &protocol.Config{}}
}

// TestInstallNeverGoesBack installs revisions in any order, from several
// workers at once: what is in force only rises.
func TestInstallNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := NewTables()
		lists := rapid.SliceOfN(rapid.SliceOf(rapid.Uint64Range(1, 30)), 1, 4).Draw(t, "numbers")
		var wg sync.WaitGroup
		var highest uint64
		for _, list := range lists {
			for _, n := range list {
				highest = max(highest, n)
			}
			wg.Go(func() {
				last := uint64(0)
				for _, n := range list {
					tables.Install(revision(n))
					got, _ := tables.Revision()
					if got < last || got < n {
						panic(fmt.Sprintf("in force: %d after %d, installed %d", got, last, n))
					}
					last = got
				}
			})
		}
		wg.Wait()
		if got, _ := tables.Revision(); got != highest {
			t.Fatalf("in force: %d, want %d", got, highest)
		}
	})
}

// TestLeavingMarkStays lets the platform's lagging list show a server as live
// again after a notice.
func TestLeavingMarkStays(t *testing.T) {
	b, now := NewBackends(), time.Unix(1000, 0)
	list := []protocol.Instance{{ID: "e1", Kind: protocol.InstanceEngine}, {ID: "e2", Kind: protocol.InstanceEngine}}
	b.SetList(list, now)
	if !b.MarkLeaving(protocol.Leaving{Server: "e1", Seen: now}) || b.MarkLeaving(protocol.Leaving{Server: "e1", Seen: now}) {
		t.Error("a mark is news exactly once")
	}
	b.SetList(list, now)
	if s := b.View().Find("e1"); !s.Leaving {
		t.Error("the list took the mark away")
	}
	if s := b.View().Find("e2"); s.Leaving {
		t.Error("the other server is marked too")
	}
	if got := <-b.Changed(); got != "e1" {
		t.Errorf("told of %s", got)
	}
	b.SetList(list, now.Add(2*protocol.LeavingRetention))
	if len(b.Leaving()) != 1 {
		t.Error("the mark of a listed server was dropped")
	}
	b.SetList(list[1:], now.Add(2*protocol.LeavingRetention))
	if len(b.Leaving()) != 0 {
		t.Error("the mark of a server that is long gone was kept")
	}
}

// TestJoinedStays has a server joined by news while the list read here is too
// old to have it, and drops it once the list has had the time.
func TestJoinedStays(t *testing.T) {
	b := NewBackends()
	now := time.Unix(1_000_000, 0)
	listed := []protocol.Instance{{ID: "old", Kind: protocol.InstanceEngine, Address: "a"}}
	b.SetList(listed, now)
	b.Join(protocol.Joined{Instance: protocol.Instance{ID: "new", Kind: protocol.InstanceEngine, Address: "b"}, Seen: now}, now)
	b.SetList(listed, now.Add(time.Second))
	if b.View().Find("new") == nil {
		t.Error("a list that is behind took a new server away")
	}
	b.SetList(listed, now.Add(protocol.JoinedRetention+time.Second))
	if b.View().Find("new") != nil {
		t.Error("a server that no list ever had is kept for ever")
	}
	b.MarkLeaving(protocol.Leaving{Server: "gone", Seen: now})
	b.Join(protocol.Joined{Instance: protocol.Instance{ID: "gone", Kind: protocol.InstanceEngine, Address: "c"}, Seen: now}, now)
	if s := b.View().Find("gone"); s == nil || !s.Leaving {
		t.Error("late news of a server made it forget that it leaves")
	}
}
