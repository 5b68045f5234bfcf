package memory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

var start = time.Unix(1_700_000_000, 0)

const bound = 1 << 20

// key is what bytes are booked under.
type key struct {
	hold  int
	cause Cause
}

// TestInvariant checks that what is held is what was taken less what was given back,
// in all, by cause, by workspace and by hold; that it is never above the bound; that a
// refusal changes nothing and says when to come back; that a workspace which holds
// nothing gets as much as any other one has; and that nothing is left at rest.
func TestInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := New(bound), start
		holds := make([]Hold, rapid.IntRange(1, 12).Draw(t, "holds"))
		for i := range holds {
			holds[i].Workspace = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
		}
		book := map[key]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			k := key{rapid.IntRange(0, len(holds)-1).Draw(t, "hold"), rapid.SampledFrom(Causes).Draw(t, "cause")}
			n := int64(rapid.IntRange(0, bound).Draw(t, "bytes"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				v := a.Reserve(&holds[k.hold], k.cause, n, now)
				if v.Granted {
					book[k] += n
				} else if v.RetryAfter < leastWait || v.RetryAfter > mostWait {
					t.Fatalf("a refusal says to come back after %v: %+v", v.RetryAfter, v)
				}
			case 3, 4:
				a.Release(&holds[k.hold], k.cause, n, now)
				book[k] -= min(n, book[k])
			case 5:
				a.ReleaseAll(&holds[k.hold], now)
				for _, c := range Causes {
					delete(book, key{k.hold, c})
				}
			}
			checkBook(t, a, holds, book)
			checkRoom(t, a, now)
		}
		for i := range holds {
			a.ReleaseAll(&holds[i], now)
		}
		checkBook(t, a, holds, nil)
		if len(a.Workspaces()) > 0 {
			t.Fatalf("at rest there are %v", a.Workspaces())
		}
	})
}

func checkBook(t *rapid.T, a *Account, holds []Hold, book map[key]int64) {
	t.Helper()
	var all int64
	byCause, bySpace := map[Cause]int64{}, map[string]int64{}
	for k, n := range book {
		if got := holds[k.hold].Held(k.cause); got != n {
			t.Fatalf("hold %d has %d bytes for %v, want %d", k.hold, got, k.cause, n)
		}
		all += n
		byCause[k.cause] += n
		if k.cause != Connection {
			bySpace[holds[k.hold].Workspace] += n
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
		if a.HeldBy(w) != bySpace[w] {
			t.Fatalf("workspace %s has %d bytes, want %d", w, a.HeldBy(w), bySpace[w])
		}
	}
}

// checkRoom checks that a workspace that holds nothing could take half of what is free.
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

// TestShares checks what workspaces get that take all they can.
func TestShares(t *testing.T) {
	const piece = bound / 1000
	for spaces, want := range map[int]float64{1: 1. / 2, 2: 1. / 3, 3: 1. / 4, 9: 1. / 10} {
		a := New(bound)
		holds := make([]Hold, spaces)
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
				t.Errorf("of %d workspaces one has %.3f of the bound, want %.3f", spaces, got, want)
			}
		}
	}
}

// TestConnectionsLeaveRoom checks that connections take half of the bound at the most,
// and that a body is taken beside them.
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

// TestWait checks that the time to come back follows how fast bytes are given back,
// and that what can never be taken is told apart.
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
	if none, slow, fast := wait(0), wait(bound/32), wait(bound/4); none != mostWait || slow >= none || fast >= slow {
		t.Errorf("waits are %v where nothing is given back, %v where little, %v where much", none, slow, fast)
	}
	var h Hold
	if v := New(bound).Reserve(&h, Body, bound/2+1, start); v.Granted || !v.TooLarge {
		t.Errorf("more than half of the bound: %+v", v)
	}
}
