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

// TestInstallIsMonotonic installs revisions in random order from several goroutines.
// The number in force must never decrease.
func TestInstallIsMonotonic(t *testing.T) {
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

// TestLeavingMarkSurvivesStaleList checks that a leaving mark persists when the
// platform's list, which lags behind, shows the server as available again.
func TestLeavingMarkSurvivesStaleList(t *testing.T) {
	b, now := NewBackends(), time.Unix(1000, 0)
	list := []protocol.Instance{{ID: "e1", Kind: protocol.InstanceEngine}, {ID: "e2", Kind: protocol.InstanceEngine}}
	b.SetList(list, now)
	if !b.MarkLeaving(protocol.Leaving{Server: "e1", Seen: now}) || b.MarkLeaving(protocol.Leaving{Server: "e1", Seen: now}) {
		t.Error("MarkLeaving must return true only for the first mark")
	}
	b.SetList(list, now)
	if s := b.View().Find("e1"); !s.Leaving {
		t.Error("SetList removed the leaving mark")
	}
	if s := b.View().Find("e2"); s.Leaving {
		t.Error("another server was marked as leaving")
	}
	if got := <-b.NewlyLeaving(); got != "e1" {
		t.Errorf("NewlyLeaving delivered %s, want e1", got)
	}
	b.SetList(list, now.Add(2*protocol.LeavingRetention))
	if len(b.Leaving()) != 1 {
		t.Error("leaving mark dropped while the server is still listed")
	}
	b.SetList(list[1:], now.Add(2*protocol.LeavingRetention))
	if len(b.Leaving()) != 0 {
		t.Error("leaving mark kept past its retention for a server no longer listed")
	}
}

// TestJoinedServerSurvivesStaleList checks that a server announced by another instance
// is kept while the local list is too old to include it, and dropped if the list still
// lacks it after the retention time.
func TestJoinedServerSurvivesStaleList(t *testing.T) {
	b := NewBackends()
	now := time.Unix(1_000_000, 0)
	listed := []protocol.Instance{{ID: "old", Kind: protocol.InstanceEngine, Address: "a"}}
	b.SetList(listed, now)
	b.Join(protocol.Joined{Instance: protocol.Instance{ID: "new", Kind: protocol.InstanceEngine, Address: "b"}, Seen: now}, now)
	b.SetList(listed, now.Add(time.Second))
	if b.View().Find("new") == nil {
		t.Error("SetList with an outdated list removed a joined server")
	}
	b.SetList(listed, now.Add(protocol.JoinedRetention+time.Second))
	if b.View().Find("new") != nil {
		t.Error("joined server kept past its retention although never listed")
	}
	b.MarkLeaving(protocol.Leaving{Server: "gone", Seen: now})
	b.Join(protocol.Joined{Instance: protocol.Instance{ID: "gone", Kind: protocol.InstanceEngine, Address: "c"}, Seen: now}, now)
	if s := b.View().Find("gone"); s == nil || !s.Leaving {
		t.Error("joining a server removed its leaving mark")
	}
}
