package memory

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestInFlightInvariant checks that the bytes of each server are those of the requests in
// progress, that the limit is never below minLimit, and that nothing remains after all
// requests ended.
func TestInFlightInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewInFlight()
		type request struct {
			server string
			bytes  int64
		}
		var inProgress []request
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				r := request{fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server")), int64(rapid.IntRange(1, 4<<20).Draw(t, "bytes"))}
				f.RequestStarted(r.server, r.bytes)
				inProgress = append(inProgress, r)
			case 2, 3:
				if len(inProgress) > 0 {
					i := rapid.IntRange(0, len(inProgress)-1).Draw(t, "request")
					f.RequestEnded(inProgress[i].server, inProgress[i].bytes, rapid.Bool().Draw(t, "answered"))
					inProgress = slices.Delete(inProgress, i, i+1)
				}
			case 4:
				f.Crashed(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server")), rapid.IntRange(0, 2).Draw(t, "crashes"))
			}
			want, all := map[string]int64{}, int64(0)
			for _, r := range inProgress {
				want[r.server] += r.bytes
				all += r.bytes
			}
			if got := f.Bytes(); fmt.Sprint(got) != fmt.Sprint(want) || f.TotalBytes() != all {
				t.Fatalf("bytes by server are %v, want %v", got, want)
			}
			if f.Limit() != 0 && f.Limit() < minLimit {
				t.Fatalf("the limit is %d", f.Limit())
			}
		}
		for _, r := range inProgress {
			f.RequestEnded(r.server, r.bytes, true)
		}
		if len(f.Bytes()) > 0 {
			t.Fatalf("bytes left after all requests ended: %v", f.Bytes())
		}
	})
}

// TestLimitIsLearnt simulates a server that crashes above a number of bytes. Without a
// limit it would crash repeatedly; with the learned limit it rarely does, and it still gets
// most of what it can hold.
func TestLimitIsLearnt(t *testing.T) {
	const capacity, body = 8 << 20, 512 << 10
	f := NewInFlight()
	crashes, firstQuarter, sent := 0, 0, 0
	for turn := range 4000 {
		if len(f.Full(body)) > 0 {
			for range f.Bytes()["s"] / body { // The server answers all its requests.
				f.RequestEnded("s", body, true)
			}
			continue
		}
		f.RequestStarted("s", body)
		sent++
		if f.Bytes()["s"] <= capacity {
			continue
		}
		f.Crashed("s", 0)
		crashes++
		if turn < 1000 {
			firstQuarter++
		}
		for range f.Bytes()["s"] / body {
			f.RequestEnded("s", body, false)
		}
	}
	if f.Limit() == 0 || crashes > sent/50 || crashes == 0 {
		t.Errorf("%d crashes in %d requests (%d in the first quarter), limit %d", crashes, sent, firstQuarter, f.Limit())
	}
	if f.Limit() < capacity/4 || f.Limit() > 2*capacity {
		t.Errorf("the limit is %d for a server that can hold %d", f.Limit(), capacity)
	}
}

// TestCrashThreshold checks that a crash with few bytes in flight sets no limit, that one
// with many bytes sets it once, and that a server without bytes in flight has room for any
// request.
func TestCrashThreshold(t *testing.T) {
	f := NewInFlight()
	f.RequestStarted("a", minLimit-1)
	if f.Crashed("a", 0) || f.Limit() != 0 || f.Crashed("unknown", 0) {
		t.Errorf("a crash with few bytes in flight set the limit %d", f.Limit())
	}
	f.RequestStarted("b", 8<<20)
	if !f.Crashed("b", 0) || f.Crashed("b", 0) || f.Limit() != 4<<20 {
		t.Errorf("a crash with 8 MB in flight set the limit %d", f.Limit())
	}
	if got := f.Full(4 << 20); len(got) != 2 {
		t.Errorf("full servers for 4 MB are %v", got)
	}
	f.RequestEnded("b", 8<<20, false)
	if got := f.Full(8 << 20); !slices.Equal(got, []string{"a"}) {
		t.Errorf("full servers for 8 MB are %v", got)
	}
}

// TestEachCrashLowersLimit checks that each crash lowers the limit even if the server
// always had requests in flight, and that further requests lost in the first crash do not.
func TestEachCrashLowersLimit(t *testing.T) {
	f := NewInFlight()
	first := f.RequestStarted("a", 8<<20)
	if !f.Crashed("a", first) || f.Limit() != 4<<20 {
		t.Fatalf("the first crash set the limit %d", f.Limit())
	}
	second := f.RequestStarted("a", 4<<20)
	if f.Crashed("a", first) {
		t.Error("a second request lost in the first crash lowered the limit")
	}
	f.RequestEnded("a", 8<<20, false)
	if !f.Crashed("a", second) || f.Limit() != 2<<20 {
		t.Errorf("the second crash set the limit %d", f.Limit())
	}
}
