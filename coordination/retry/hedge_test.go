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

// TestHedgeDelayFollows feeds answers of a random scale and checks that the
// delay comes to lie where about the stated part of them is shorter.
func TestHedgeDelayFollows(t *testing.T) {
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
		if part := float64(shorter) / float64(counted); part < 0.9 || part > 0.99 {
			t.Fatalf("%.3f of the answers are shorter than the delay %v", part, d.Wait())
		}
	})
}

// The experiment below sends look-ups to four replicas, each to the less loaded
// of two. One call in fifty takes twelve times as long, whichever replica has
// it. It counts how many are in time. An attempt that lost still runs to its end.
const (
	lookUps      = 20000
	lookUpWork   = 15 * time.Millisecond
	lookUpTarget = 100 * time.Millisecond
	lookUpSlots  = 6 // calls that a replica runs at once
	slowTimes    = 12
	slowOneIn    = 50
)

// replica is a fake replica: the times at which its slots fall free.
type replica struct{ free [lookUpSlots]time.Duration }

// busy counts the slots that are taken.
func (r *replica) busy(now time.Duration) int {
	n := 0
	for _, at := range r.free {
		if at > now {
			n++
		}
	}
	return n
}

// run returns when a call that arrives now is answered.
func (r *replica) run(now, work time.Duration) time.Duration {
	i := 0
	for k := range r.free {
		if r.free[k] < r.free[i] {
			i = k
		}
	}
	r.free[i] = max(r.free[i], now) + work
	return r.free[i]
}

// lateCall is a look-up whose answer is late.
type lateCall struct {
	from time.Duration
	at   time.Duration // at is when it is sent again.
	end  time.Duration // end is when the first attempt will be answered.
}

// lookUpRun returns the part in time, the 99th percentile and the calls sent
// for each look-up.
func lookUpRun(seed uint64, load float64, hedge, budget bool, b Budget) (inTime float64, p99 time.Duration, calls float64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	var replicas [4]replica
	var d HedgeDelay
	mean := lookUpWork.Seconds() * (1 + float64(slowTimes-1)/slowOneIn)
	rate := load * float64(len(replicas)*lookUpSlots) / mean
	now, sent := time.Duration(0), 0
	var took []time.Duration
	work := func() time.Duration {
		if rnd.IntN(slowOneIn) == 0 {
			return slowTimes * lookUpWork
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
	var late []lateCall // late are those to be hedged, the next one first.
	answered := func(from, at time.Duration) {
		d = d.Observe(at - from)
		took = append(took, at-from)
	}
	hedgeUntil := func(until time.Duration) {
		for len(late) > 0 && late[0].at <= until {
			c := late[0]
			late = late[1:]
			ok := true
			if budget {
				b, ok = b.Spend(time.Unix(0, 0).Add(c.at))
			}
			if ok {
				sent++
				c.end = min(c.end, replicas[pick(c.at)].run(c.at, work()))
			}
			answered(c.from, c.end)
		}
	}
	for range lookUps {
		now += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		hedgeUntil(now)
		end := replicas[pick(now)].run(now, work())
		sent++
		b = b.Success(time.Unix(0, 0).Add(now))
		if due := now + d.Wait(); hedge && end > due {
			i, _ := slices.BinarySearchFunc(late, due, func(c lateCall, at time.Duration) int { return cmp.Compare(c.at, at) })
			late = slices.Insert(late, i, lateCall{from: now, at: due, end: end})
			continue
		}
		answered(now, end)
	}
	hedgeUntil(1 << 62)
	slices.Sort(took)
	n, _ := slices.BinarySearch(took, lookUpTarget)
	return 100 * float64(n) / lookUps, took[lookUps*99/100], float64(sent) / lookUps
}

// TestHedgeExperiment prints the table that the docs quote.
func TestHedgeExperiment(t *testing.T) {
	var out strings.Builder
	out.WriteString("| way | load % | within 100 ms % | 99th percentile ms | calls a look-up |\n| --- | --- | --- | --- | --- |\n")
	for _, w := range []struct {
		name          string
		hedge, budget bool
		of            Budget
	}{
		{"no hedge", false, false, Budget{}},
		{"hedge", true, false, Budget{}},
		{"hedge in the budget of retries", true, true, New(time.Unix(0, 0))},
		{"hedge in a budget of its own", true, true, NewHedges(time.Unix(0, 0))},
	} {
		for _, load := range []float64{0.3, 0.5, 0.7, 0.85} {
			var in, tail, calls []float64
			for seed := range uint64(5) {
				a, p, c := lookUpRun(seed, load, w.hedge, w.budget, w.of)
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
