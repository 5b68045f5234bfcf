package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// limitWindow is the time in which a server that names a limit bears limitFactor times
	// what the limit allows, and limitBurst more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	// limitHeard is within what gateways have heard of a limit: their callers come all the
	// while.
	limitHeard = 500 * time.Millisecond
	// leastRest and mostRest bound the rest that a server asks for with each restEach-th
	// request, for mostTired at the most; mostSilent is how long it then says nothing.
	leastRest  = 300 * time.Millisecond
	mostRest   = 1300 * time.Millisecond
	restEach   = 3
	mostTired  = 2 * time.Second
	mostSilent = time.Second
)

// limitHold is a time in which a server named one limit.
type limitHold struct {
	server    *standin.Backend
	perSecond float64
	from, to  time.Time
}

// WithBackpressure returns the plan with servers besides that name limits and ask for rest all the
// while. Each third server does neither.
func (p Plan) WithBackpressure() Plan {
	p.Words = true
	return p
}

// talkers have servers say how much they take.
type talkers struct {
	servers sync.WaitGroup
	mu      sync.Mutex // mu guards holds.
	holds   []limitHold
}

// talk has the cluster's servers name limits and ask for rest, as drawn from a seed, until
// ctx ends.
func (k *talkers) talk(ctx context.Context, c *Cluster, seed uint64) {
	for i, b := range c.Backends {
		if i%3 != 0 {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			k.servers.Go(func() { k.talkAs(ctx, b, rnd) })
		}
	}
}

// talkAs has one server say now this and now that.
func (k *talkers) talkAs(ctx context.Context, b *standin.Backend, rnd *rand.Rand) {
	for ctx.Err() == nil {
		switch rnd.IntN(3) {
		case 0:
			hold := limitHold{server: b, perSecond: 2 + 10*rnd.Float64(), from: time.Now()}
			b.SetLimit(hold.perSecond)
			pauseFor(ctx, limitWindow+2*limitHeard+time.Duration(rnd.Int64N(int64(limitWindow))))
			hold.to = time.Now()
			b.SetLimit(0)
			k.mu.Lock()
			k.holds = append(k.holds, hold)
			k.mu.Unlock()
		case 1:
			b.SetRetryAfter(restEach, leastRest+time.Duration(rnd.Int64N(int64(mostRest-leastRest))))
			pauseFor(ctx, time.Duration(rnd.Int64N(int64(mostTired))))
			b.SetRetryAfter(0, 0)
		default:
			pauseFor(ctx, time.Duration(rnd.Int64N(int64(mostSilent))))
		}
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// breaches returns where a server got more than it bears in a window that lies within the
// time of one limit, and how many limits were named for so long.
func (k *talkers) breaches() (out []string, limits int) {
	k.servers.Wait()
	for _, h := range k.holds {
		allowed := int(limitFactor*h.perSecond*limitWindow.Seconds()) + limitBurst
		taken, first, most := h.server.ReceivedTimes(), 0, 0
		for i, at := range taken {
			if at.Before(h.from.Add(limitHeard+limitWindow)) || at.After(h.to) {
				continue
			}
			for at.Sub(taken[first]) > limitWindow {
				first++
			}
			most = max(most, i+1-first)
		}
		if h.to.Sub(h.from) > limitHeard+limitWindow {
			limits++
		}
		if most > allowed {
			out = append(out, fmt.Sprintf("%s named a limit of %.1f a second at %v and got %d requests in %v; it bears %d", h.server.ID, h.perSecond, h.from.Format(time.TimeOnly), most, limitWindow, allowed))
		}
	}
	return out, limits
}
