package retry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

// TestHedgeDelayTracksQuantile observes random response times of a random scale
// and checks that the delay converges to about hedgeQuantile of them.
func TestHedgeDelayTracksQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scale := float64(rapid.IntRange(2, 200).Draw(t, "ms")) * float64(time.Millisecond)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		var d HedgeDelay
		shorter, counted := 0, 0
		for i := range 6000 {
			took := time.Duration(scale * (0.5 + rnd.ExpFloat64()))
			if i >= 3000 {
				counted++
				if took <= d.Wait() {
					shorter++
				}
			}
			d = d.Observe(took)
		}
		if fraction := float64(shorter) / float64(counted); fraction < 0.9 || fraction > 0.99 {
			t.Fatalf("%.3f of the answers are shorter than the delay %v", fraction, d.Wait())
		}
	})
}

// The experiment below sends look-ups to four replicas, each to the less loaded
// of two random ones. One call in fifty takes twelve times as long, on any
// replica. It measures the share of look-ups answered within lookUpTarget. The
// slower attempt of a hedged look-up still runs to its end.
const (
	lookUps      = 20000
	lookUpWork   = 15 * time.Millisecond
	lookUpTarget = 100 * time.Millisecond
	lookUpSlots  = 6 // concurrent calls of a replica
	slowFactor   = 12
	slowInterval = 50
)

// fakeReplica simulates a replica by the times at which its slots become free.
type fakeReplica struct{ freeAt [lookUpSlots]time.Duration }

// busy returns the number of occupied slots.
func (r *fakeReplica) busy(now time.Duration) int {
	n := 0
	for _, at := range r.freeAt {
		if at > now {
			n++
		}
	}
	return n
}

// run occupies the slot that becomes free first and returns when a call that
// arrives now is answered.
func (r *fakeReplica) run(now, work time.Duration) time.Duration {
	i := 0
	for k := range r.freeAt {
		if r.freeAt[k] < r.freeAt[i] {
			i = k
		}
	}
	r.freeAt[i] = max(r.freeAt[i], now) + work
	return r.freeAt[i]
}

// pendingHedge is a look-up that is answered only after the hedge delay.
type pendingHedge struct {
	sentAt  time.Duration
	hedgeAt time.Duration // hedgeAt is when the hedge is due.
	doneAt  time.Duration // doneAt is when the first attempt is answered.
}

// lookUpRun simulates the look-ups and returns the percentage answered within the
// target, the 99th percentile of the response time and the calls sent per
// look-up. If limited is set, hedges are taken from the budget b.
func lookUpRun(seed uint64, load float64, hedge, limited bool, b Budget) (inTime float64, p99 time.Duration, calls float64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	var replicas [4]fakeReplica
	var d HedgeDelay
	mean := lookUpWork.Seconds() * (1 + float64(slowFactor-1)/slowInterval)
	rate := load * float64(len(replicas)*lookUpSlots) / mean
	now, sent := time.Duration(0), 0
	var took []time.Duration
	work := func() time.Duration {
		if rnd.IntN(slowInterval) == 0 {
			return slowFactor * lookUpWork
		}
		return time.Duration(float64(lookUpWork) * (0.6 + 0.8*rnd.Float64()))
	}
	pick := func(at time.Duration) int {
		i, other := rnd.IntN(len(replicas)), rnd.IntN(len(replicas))
		if replicas[other].busy(at) < replicas[i].busy(at) {
			return other
		}
		return i
	}
	var pending []pendingHedge // pending are the look-ups to be hedged, by due time.
	answered := func(from, at time.Duration) {
		d = d.Observe(at - from)
		took = append(took, at-from)
	}
	hedgeUntil := func(until time.Duration) {
		for len(pending) > 0 && pending[0].hedgeAt <= until {
			c := pending[0]
			pending = pending[1:]
			ok := true
			if limited {
				b, ok = b.Spend(time.Unix(0, 0).Add(c.hedgeAt))
			}
			if ok {
				sent++
				c.doneAt = min(c.doneAt, replicas[pick(c.hedgeAt)].run(c.hedgeAt, work()))
			}
			answered(c.sentAt, c.doneAt)
		}
	}
	for range lookUps {
		now += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		hedgeUntil(now)
		end := replicas[pick(now)].run(now, work())
		sent++
		b = b.Success(time.Unix(0, 0).Add(now))
		if due := now + d.Wait(); hedge && end > due {
			i, _ := slices.BinarySearchFunc(pending, due, func(c pendingHedge, at time.Duration) int { return cmp.Compare(c.hedgeAt, at) })
			pending = slices.Insert(pending, i, pendingHedge{sentAt: now, hedgeAt: due, doneAt: end})
			continue
		}
		answered(now, end)
	}
	hedgeUntil(1 << 62)
	slices.Sort(took)
	n, _ := slices.BinarySearch(took, lookUpTarget)
	return 100 * float64(n) / lookUps, took[lookUps*99/100], float64(sent) / lookUps
}

// TestHedgeExperiment compares hedging policies over several loads. Its table is
// quoted in the docs.
func TestHedgeExperiment(t *testing.T) {
	var out strings.Builder
	out.WriteString("| way | load % | within 100 ms % | 99th percentile ms | calls a look-up |\n| --- | --- | --- | --- | --- |\n")
	for _, w := range []struct {
		name             string
		hedge, useBudget bool
		budget           Budget
	}{
		{"no hedge", false, false, Budget{}},
		{"hedge", true, false, Budget{}},
		{"hedge in the budget of retries", true, true, New(time.Unix(0, 0))},
		{"hedge in a budget of its own", true, true, NewHedges(time.Unix(0, 0))},
	} {
		for _, load := range []float64{0.3, 0.5, 0.7, 0.85} {
			var in, tail, calls []float64
			for seed := range uint64(5) {
				a, p, c := lookUpRun(seed, load, w.hedge, w.useBudget, w.budget)
				in, tail, calls = append(in, a), append(tail, float64(p.Microseconds())/1000), append(calls, c)
			}
			slices.Sort(in)
			slices.Sort(tail)
			slices.Sort(calls)
			fmt.Fprintf(&out, "| %s | %.0f | %.1f (%.1f-%.1f) | %.0f (%.0f-%.0f) | %.3f |\n", w.name, 100*load, in[2], in[0], in[4], tail[2], tail[0], tail[4], calls[2])
		}
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "hedge", []byte(out.String()))
}
