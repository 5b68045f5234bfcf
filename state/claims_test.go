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

// claimModel is the reference model: what the callers know about grants and outcomes.
type claimModel struct {
	running map[protocol.Key]protocol.Owner
	ended   map[protocol.Key]protocol.Verdict
}

// TestClaims compares the claim table with a model of all grants. No request may be
// granted again unless its execution was released as not-run, a retained answer must be
// the recorded one, count and bytes must stay within their limits, and a table restored
// from a snapshot must behave the same.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		now := int64(1_000_000)
		model := claimModel{running: map[protocol.Key]protocol.Owner{}, ended: map[protocol.Key]protocol.Verdict{}}
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
					if held, ok := model.running[key]; ok && held != owner {
						t.Fatalf("%v granted to %v while %v holds it", key, owner, held)
					}
					if v, ok := model.ended[key]; ok && v != protocol.NotRun {
						t.Fatalf("%v granted again after %v", key, v)
					}
					model.running[key] = owner
					delete(model.ended, key)
				}
				if reply.Answer != nil && reply.Answer.Text != key.ID {
					t.Fatalf("%v got the answer %q", key, reply.Answer.Text)
				}
				if expired := at < now-testLimits.WindowMS; expired != (reply.State == protocol.ClaimExpired) {
					t.Fatalf("age %d: state %v", now-at, reply.State)
				}
			},
			"finish": func(t *rapid.T) {
				key, owner, at := draw(t)
				verdict := rapid.SampledFrom([]protocol.Verdict{protocol.NotRun, protocol.MayHaveRun, protocol.Ran}).Draw(t, "verdict")
				f := &protocol.FinishClaimMsg{Key: key, Owner: owner, Verdict: verdict, IssuedAt: at, Limits: testLimits}
				if verdict == protocol.Ran {
					f.Answer = &protocol.Answer{Text: key.ID}
				}
				m.Apply(&protocol.Command{At: now, Finish: f})
				if model.running[key] == owner {
					delete(model.running, key)
					model.ended[key] = verdict
				}
			},
			"transfer": func(t *rapid.T) {
				key, owner, _ := draw(t)
				to := protocol.Owner{Instance: "new"}
				reply := m.Apply(&protocol.Command{At: now, Transfer: &protocol.TransferClaimMsg{Key: key, From: owner, To: to}}).Claim
				if reply.State == protocol.ClaimGranted {
					model.running[key] = to
				}
			},
			"time": func(t *rapid.T) { now += int64(rapid.IntRange(1, 300).Draw(t, "ms")) },
			"restore": func(t *rapid.T) {
				data, err := m.Image().Encode()
				if err != nil {
					t.Fatal(err)
				}
				restored := NewMachine()
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
				second, err := restored.Image().Encode()
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(string(data), string(second)); diff != "" {
					t.Fatal(diff)
				}
				m = restored
			},
			"": func(t *rapid.T) {
				if m.Claims() > testLimits.Count || m.claims.bytes > testLimits.AnswerBytes || m.claims.bytes < 0 {
					t.Fatalf("%d claims, %d bytes of answers", m.Claims(), m.claims.bytes)
				}
			},
		})
	})
}

// TestReleaseBeforeClaim delivers a release before the claim that it refers to. The
// claim must not be granted afterwards, as no one would ever finish it.
func TestReleaseBeforeClaim(t *testing.T) {
	m := NewMachine()
	key, owner := protocol.Key{Workspace: "w", ID: "k"}, protocol.Owner{Instance: "a"}
	m.Apply(&protocol.Command{At: 5000, Finish: &protocol.FinishClaimMsg{Key: key, Owner: owner, Verdict: protocol.NotRun, IssuedAt: 5000, Limits: testLimits}})
	late := m.Apply(&protocol.Command{At: 5001, Claim: &protocol.ClaimMsg{Key: key, Owner: owner, IssuedAt: 5000, Limits: testLimits}})
	if late.Claim.State != protocol.ClaimReleased {
		t.Errorf("late claim: got state %v, want released", late.Claim.State)
	}
	other := m.Apply(&protocol.Command{At: 5002, Claim: &protocol.ClaimMsg{Key: key, Owner: protocol.Owner{Instance: "b"}, IssuedAt: 5000, Limits: testLimits}})
	if other.Claim.State != protocol.ClaimGranted {
		t.Errorf("claim by another owner: got state %v, want granted", other.Claim.State)
	}
}

// TestApply checks which configuration numbers are accepted.
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
		got := m.Apply(&protocol.Command{Apply: &protocol.ApplyConfigMsg{Number: tt.number, Config: []byte(tt.config)}}).Apply
		if got.Accepted != tt.accepted || got.Number != tt.inForce {
			t.Errorf("step %d: got %+v, want %+v", i, got, tt)
		}
	}
}

// BenchmarkClaimMemory reports the memory used by a claim without an answer.
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
