package memory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Sets the seed.
)

var start = time.Unix(1_700_000_000, 0)

const bound = 1 << 20

// key identifies reserved bytes in the reference bookkeeping.
type key struct {
	hold  int
	cause Cause
}

// TestInvariant checks over random histories that the bytes held match the bytes reserved
// less those released, in total and by cause, workspace and hold; that the total never
// exceeds the bound; that a refusal changes nothing and gives a valid time to retry; that a
// workspace without bytes can get half of what is free; and that nothing remains after all
// holds ended.
func TestInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := New(bound), start
		holds := make([]Hold, rapid.IntRange(1, 12).Draw(t, "holds"))
		for i := range holds {
			holds[i].Workspace = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
		}
		reserved := map[key]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			k := key{rapid.IntRange(0, len(holds)-1).Draw(t, "hold"), rapid.SampledFrom(Causes).Draw(t, "cause")}
			n := int64(rapid.IntRange(0, bound).Draw(t, "bytes"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				v := a.Reserve(&holds[k.hold], k.cause, n, now)
				if v.Granted {
					reserved[k] += n
				} else if v.RetryAfter < minWait || v.RetryAfter > maxWait {
					t.Fatalf("a refusal advises a retry after %v: %+v", v.RetryAfter, v)
				}
			case 3, 4:
				a.Release(&holds[k.hold], k.cause, n, now)
				reserved[k] -= min(n, reserved[k])
			case 5:
				a.ReleaseAll(&holds[k.hold], now)
				for _, c := range Causes {
					delete(reserved, key{k.hold, c})
				}
			}
			checkBytes(t, a, holds, reserved)
			checkRoom(t, a, now)
		}
		for i := range holds {
			a.ReleaseAll(&holds[i], now)
		}
		checkBytes(t, a, holds, nil)
		if len(a.Workspaces()) > 0 {
			t.Fatalf("workspaces left after all holds ended: %v", a.Workspaces())
		}
	})
}

func checkBytes(t *rapid.T, a *Account, holds []Hold, reserved map[key]int64) {
	t.Helper()
	var all int64
	byCause, byWorkspace := map[Cause]int64{}, map[string]int64{}
	for k, n := range reserved {
		if got := holds[k.hold].Held(k.cause); got != n {
			t.Fatalf("hold %d has %d bytes for %v, want %d", k.hold, got, k.cause, n)
		}
		all += n
		byCause[k.cause] += n
		if k.cause != Connection {
			byWorkspace[holds[k.hold].Workspace] += n
		}
	}
	if a.Held() != all || all > bound {
		t.Fatalf("%d bytes are held, want %d, at most %d", a.Held(), all, bound)
	}
	for _, c := range Causes {
		if a.HeldFor(c) != byCause[c] {
			t.Fatalf("%d bytes for %v, want %d", a.HeldFor(c), c, byCause[c])
		}
	}
	for _, w := range []string{"0", "1", "2", "3"} {
		if a.HeldBy(w) != byWorkspace[w] {
			t.Fatalf("workspace %s has %d bytes, want %d", w, a.HeldBy(w), byWorkspace[w])
		}
	}
}

// checkRoom checks that a workspace that holds nothing can reserve half of what is free.
func checkRoom(t *rapid.T, a *Account, now time.Time) {
	t.Helper()
	var h Hold
	h.Workspace = "another"
	free := a.Bound() - a.Held()
	v := a.Reserve(&h, Body, free/2, now)
	a.ReleaseAll(&h, now)
	if !v.Granted {
		t.Fatalf("another workspace does not get %d of %d free bytes: %+v", free/2, free, v)
	}
	for w, n := range a.Workspaces() {
		if n > bound/2 {
			t.Fatalf("workspace %s has %d of %d bytes", w, n, bound)
		}
	}
}

// TestShares checks the shares of workspaces that each reserve as much as they can.
func TestShares(t *testing.T) {
	const piece = bound / 1000
	for workspaces, want := range map[int]float64{1: 1. / 2, 2: 1. / 3, 3: 1. / 4, 9: 1. / 10} {
		a := New(bound)
		holds := make([]Hold, workspaces)
		for i := range holds {
			holds[i].Workspace = fmt.Sprint(i)
		}
		for range 1000 {
			for i := range holds {
				a.Reserve(&holds[i], Lag, piece, start)
			}
		}
		for i := range holds {
			if got := float64(a.HeldBy(holds[i].Workspace)) / bound; got < want-0.01 || got > want+0.01 {
				t.Errorf("of %d workspaces one has %.3f of the bound, want %.3f", workspaces, got, want)
			}
		}
	}
}

// TestConnectionsLeaveRoom checks that connections use at most half of the bound, and that
// a body still fits beside them.
func TestConnectionsLeaveRoom(t *testing.T) {
	a := New(bound)
	conns := make([]Hold, 1000)
	taken := 0
	for i := range conns {
		if a.Reserve(&conns[i], Connection, bound/100, start).Granted {
			taken++
		}
	}
	var h Hold
	if v := a.Reserve(&h, Body, bound/4, start); taken != 50 || !v.Granted {
		t.Errorf("%d connections of a hundredth of the bound, then a body: %+v", taken, v)
	}
}

// TestWait checks that the time to retry is shorter the faster bytes are released, and that
// a size that can never be granted is marked.
func TestWait(t *testing.T) {
	wait := func(given int64) time.Duration {
		a := New(bound)
		var h, other Hold
		h.Workspace = "w"
		a.Reserve(&h, Body, bound/2, start)
		a.Release(&h, Body, given, start)
		a.Reserve(&h, Body, given, start)
		other.Workspace = "w"
		v := a.Reserve(&other, Body, bound/8, start.Add(time.Millisecond))
		if v.Granted || v.TooLarge || !v.OverShare {
			t.Fatalf("got %+v", v)
		}
		return v.RetryAfter
	}
	if none, slow, fast := wait(0), wait(bound/32), wait(bound/4); none != maxWait || slow >= none || fast >= slow {
		t.Errorf("retry after %v without releases, %v with few, %v with many", none, slow, fast)
	}
	var h Hold
	if v := New(bound).Reserve(&h, Body, bound/2+1, start); v.Granted || !v.TooLarge {
		t.Errorf("more than half of the bound: %+v", v)
	}
}
