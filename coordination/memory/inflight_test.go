package memory

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestInFlightInvariant checks that what servers have is what began less what ended, that
// a limit is never below the least, and that nothing is left at rest.
func TestInFlightInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewInFlight()
		type request struct {
			server string
			bytes  int64
		}
		var under []request
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				r := request{fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server")), int64(rapid.IntRange(1, 4<<20).Draw(t, "bytes"))}
				f.RequestStarted(r.server, r.bytes)
				under = append(under, r)
			case 2, 3:
				if len(under) > 0 {
					i := rapid.IntRange(0, len(under)-1).Draw(t, "request")
					f.RequestEnded(under[i].server, under[i].bytes, rapid.Bool().Draw(t, "answered"))
					under = slices.Delete(under, i, i+1)
				}
			case 4:
				f.Crashed(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server")), rapid.IntRange(0, 2).Draw(t, "crashes"))
			}
			want, all := map[string]int64{}, int64(0)
			for _, r := range under {
				want[r.server] += r.bytes
				all += r.bytes
			}
			if got := f.Bytes(); fmt.Sprint(got) != fmt.Sprint(want) || f.TotalBytes() != all {
				t.Fatalf("servers have %v, want %v", got, want)
			}
			if f.Limit() != 0 && f.Limit() < leastLimit {
				t.Fatalf("the limit is %d", f.Limit())
			}
		}
		for _, r := range under {
			f.RequestEnded(r.server, r.bytes, true)
		}
		if len(f.Bytes()) > 0 {
			t.Fatalf("at rest: %v", f.Bytes())
		}
	})
}

// TestLimitIsLearnt has servers that fall over beyond so many bytes: without a limit each
// crashes again and again, with it hardly ever, and they still get most of what they bear.
func TestLimitIsLearnt(t *testing.T) {
	const bears, body = 8 << 20, 512 << 10
	f := NewInFlight()
	fell, first, sent := 0, 0, 0
	for turn := range 4000 {
		if len(f.Full(body)) > 0 {
			for range f.Bytes()["s"] / body { // It answers all that it has.
				f.RequestEnded("s", body, true)
			}
			continue
		}
		f.RequestStarted("s", body)
		sent++
		if f.Bytes()["s"] <= bears {
			continue
		}
		f.Crashed("s", 0)
		fell++
		if turn < 1000 {
			first++
		}
		for range f.Bytes()["s"] / body {
			f.RequestEnded("s", body, false)
		}
	}
	if f.Limit() == 0 || fell > sent/50 || fell == 0 {
		t.Errorf("it crashed %d times in %d requests (%d in the first quarter), limit %d", fell, sent, first, f.Limit())
	}
	if f.Limit() < bears/4 || f.Limit() > 2*bears {
		t.Errorf("the limit is %d where a server bears %d", f.Limit(), bears)
	}
}

// TestWhatTeaches checks that a failure with little under way teaches nothing, one with
// much teaches once, and that an empty server has room for anything.
func TestWhatTeaches(t *testing.T) {
	f := NewInFlight()
	f.RequestStarted("a", leastLimit-1)
	if f.Crashed("a", 0) || f.Limit() != 0 || f.Crashed("unknown", 0) {
		t.Errorf("a failure with little under way set the limit %d", f.Limit())
	}
	f.RequestStarted("b", 8<<20)
	if !f.Crashed("b", 0) || f.Crashed("b", 0) || f.Limit() != 4<<20 {
		t.Errorf("a failure with 8 MB set the limit %d", f.Limit())
	}
	if got := f.Full(4 << 20); len(got) != 2 {
		t.Errorf("full for 4 MB are %v", got)
	}
	f.RequestEnded("b", 8<<20, false)
	if got := f.Full(8 << 20); !slices.Equal(got, []string{"a"}) {
		t.Errorf("full for 8 MB are %v", got)
	}
}

// TestEachFallTeaches checks that a server which crashes again teaches again, though
// it had requests all the time, and that what was lost in the first fall does not.
func TestEachFallTeaches(t *testing.T) {
	f := NewInFlight()
	first := f.RequestStarted("a", 8<<20)
	if !f.Crashed("a", first) || f.Limit() != 4<<20 {
		t.Fatalf("the first fall set the limit %d", f.Limit())
	}
	second := f.RequestStarted("a", 4<<20)
	if f.Crashed("a", first) {
		t.Error("a second request that was lost in the first fall lowered the limit")
	}
	f.RequestEnded("a", 8<<20, false)
	if !f.Crashed("a", second) || f.Limit() != 2<<20 {
		t.Errorf("the second fall set the limit %d", f.Limit())
	}
}
