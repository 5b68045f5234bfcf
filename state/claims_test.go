package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var testLimits = protocol.ClaimLimits{WindowMS: 1000, SkewMS: 50, Count: 6, AnswerBytes: 400}

// naive is what callers can know: who was granted what, and what became of it.
type naive struct {
	running map[protocol.Key]protocol.Owner
	ended   map[protocol.Key]protocol.Verdict
}

// TestClaims checks, against a plain record of all grants, that no request is
// granted again unless its run was given back as not run; that a kept answer is
// the one that was recorded; that count and bytes stay in their bounds; and that
// a restored copy answers alike.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		now := int64(1_000_000)
		n := naive{running: map[protocol.Key]protocol.Owner{}, ended: map[protocol.Key]protocol.Verdict{}}
		issued := map[protocol.Key]int64{}
		draw := func(t *rapid.T) (protocol.Key, protocol.Owner, int64) {
			key := protocol.Key{Workspace: "w", ID: fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))}
			owner := protocol.Owner{Instance: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "owner"))}
			if _, ok := issued[key]; !ok {
				issued[key] = now - int64(rapid.IntRange(-100, 1200).Draw(t, "age"))
			}
			return key, owner, issued[key]
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key, owner, at := draw(t)
				c := &protocol.Command{At: now, Claim: &protocol.ClaimMsg{Key: key, Owner: owner, IssuedAt: at, Limits: testLimits}}
				reply := m.Apply(c).Claim
				if reply.State == protocol.ClaimGranted {
					if held, ok := n.running[key]; ok && held != owner {
						t.Fatalf("%v granted to %v beside %v", key, owner, held)
					}
					if v, ok := n.ended[key]; ok && v != protocol.NotRun {
						t.Fatalf("%v granted again after %v", key, v)
					}
					n.running[key] = owner
					delete(n.ended, key)
				}
				if reply.Answer != nil && reply.Answer.Text != key.ID {
					t.Fatalf("%v has the answer %q", key, reply.Answer.Text)
				}
				if over := at < now-testLimits.WindowMS; over != (reply.State == protocol.ClaimExpired) {
					t.Fatalf("age %d: state %v", now-at, reply.State)
				}
			},
			"finish": func(t *rapid.T) {
				key, owner, at := draw(t)
				verdict := rapid.SampledFrom([]protocol.Verdict{protocol.NotRun, protocol.MayHaveRun, protocol.Ran}).Draw(t, "verdict")
				f := &protocol.FinishMsg{Key: key, Owner: owner, Verdict: verdict, IssuedAt: at, Limits: testLimits}
				if verdict == protocol.Ran {
					f.Answer = &protocol.Answer{Text: key.ID}
				}
				m.Apply(&protocol.Command{At: now, Finish: f})
				if n.running[key] == owner {
					delete(n.running, key)
					n.ended[key] = verdict
				}
			},
			"transfer": func(t *rapid.T) {
				key, owner, _ := draw(t)
				to := protocol.Owner{Instance: "new"}
				reply := m.Apply(&protocol.Command{At: now, Transfer: &protocol.TransferMsg{Key: key, From: owner, To: to}}).Claim
				if reply.State == protocol.ClaimGranted {
					n.running[key] = to
				}
			},
			"time": func(t *rapid.T) { now += int64(rapid.IntRange(1, 300).Draw(t, "ms")) },
			"restore": func(t *rapid.T) {
				data, err := m.Image().Encode()
				if err != nil {
					t.Fatal(err)
				}
				again := NewMachine()
				if err := again.Restore(data); err != nil {
					t.Fatal(err)
				}
				second, err := again.Image().Encode()
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(string(data), string(second)); diff != "" {
					t.Fatal(diff)
				}
				m = again
			},
			"": func(t *rapid.T) {
				if m.Claims() > testLimits.Count || m.claims.bytes > testLimits.AnswerBytes || m.claims.bytes < 0 {
					t.Fatalf("%d claims, %d bytes of answers", m.Claims(), m.claims.bytes)
				}
			},
		})
	})
}

// TestReleaseBeforeClaim lets a release overtake its claim, which must not be
// granted afterwards: nobody would ever end it.
func TestReleaseBeforeClaim(t *testing.T) {
	m := NewMachine()
	key, owner := protocol.Key{Workspace: "w", ID: "k"}, protocol.Owner{Instance: "a"}
	m.Apply(&protocol.Command{At: 5000, Finish: &protocol.FinishMsg{Key: key, Owner: owner, Verdict: protocol.NotRun, IssuedAt: 5000, Limits: testLimits}})
	late := m.Apply(&protocol.Command{At: 5001, Claim: &protocol.ClaimMsg{Key: key, Owner: owner, IssuedAt: 5000, Limits: testLimits}})
	if late.Claim.State != protocol.ClaimReleased {
		t.Errorf("the late claim is %v", late.Claim.State)
	}
	other := m.Apply(&protocol.Command{At: 5002, Claim: &protocol.ClaimMsg{Key: key, Owner: protocol.Owner{Instance: "b"}, IssuedAt: 5000, Limits: testLimits}})
	if other.Claim.State != protocol.ClaimGranted {
		t.Errorf("another owner's claim is %v", other.Claim.State)
	}
}

// TestApply checks the rules of numbers.
func TestApply(t *testing.T) {
	m := NewMachine()
	for i, tt := range []struct {
		number   uint64
		config   string
		accepted bool
		inForce  uint64
	}{
		{2, `{"a":2}`, false, 0},
		{1, `{"a":1}`, true, 1},
		{1, `{"a":1}`, true, 1},
		{1, `{"a":9}`, false, 1},
		{3, `{"a":3}`, false, 1},
		{2, `{"a":2}`, true, 2},
		{1, `{"a":1}`, false, 2},
	} {
		got := m.Apply(&protocol.Command{Apply: &protocol.ApplyMsg{Number: tt.number, Config: []byte(tt.config)}}).Apply
		if got.Accepted != tt.accepted || got.Number != tt.inForce {
			t.Errorf("step %d: got %+v, want %+v", i, got, tt)
		}
	}
}

// BenchmarkClaimMemory reports what a kept claim takes, without an answer.
func BenchmarkClaimMemory(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			limits := protocol.ClaimLimits{WindowMS: 3600_000, Count: n}
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := NewMachine()
				for i := range n {
					key := protocol.Key{Workspace: "east-baton-rouge", ID: fmt.Sprintf("%036d", i)}
					owner := protocol.Owner{Instance: "entry-1", Request: fmt.Sprintf("%023d", i)}
					m.Apply(&protocol.Command{At: 1, Claim: &protocol.ClaimMsg{Key: key, Owner: owner, IssuedAt: 1, Limits: limits}})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				if m.Claims() != n {
					b.Fatal(m.Claims())
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/claim")
			b.ReportMetric(0, "ns/op")
		})
	}
}
