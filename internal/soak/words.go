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
	// limitWindow is the time in which a server that announces a limit tolerates limitFactor
	// times what the limit allows, plus limitBurst requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	// limitPropagation is the time within which gateways have learned of a limit, as callers
	// send requests all the time.
	limitPropagation = 500 * time.Millisecond
	// minRest and maxRest bound the retry delay that a server sends with every
	// restEvery-th request, for maxRestPhase at most; maxQuietPhase bounds the time in
	// which it sends neither.
	minRest       = 300 * time.Millisecond
	maxRest       = 1300 * time.Millisecond
	restEvery     = 3
	maxRestPhase  = 2 * time.Second
	maxQuietPhase = time.Second
)

// limitPeriod is a period in which a server announced one limit.
type limitPeriod struct {
	server    *standin.Backend
	perSecond float64
	from, to  time.Time
}

// WithBackpressure returns the plan with servers that announce rate limits and send retry
// delays during the run. Every third server does neither.
func (p Plan) WithBackpressure() Plan {
	p.Backpressure = true
	return p
}

// backpressure makes servers announce how many requests they take.
type backpressure struct {
	servers sync.WaitGroup
	mu      sync.Mutex // mu guards periods.
	periods []limitPeriod
}

// start makes the cluster's servers announce limits and retry delays, as generated from a
// seed, until ctx ends.
func (k *backpressure) start(ctx context.Context, c *Cluster, seed uint64) {
	for i, b := range c.Backends {
		if i%3 != 0 {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			k.servers.Go(func() { k.runServer(ctx, b, rnd) })
		}
	}
}

// runServer alternates at random between limits, retry delays and neither on one server.
func (k *backpressure) runServer(ctx context.Context, b *standin.Backend, rnd *rand.Rand) {
	for ctx.Err() == nil {
		switch rnd.IntN(3) {
		case 0:
			hold := limitPeriod{server: b, perSecond: 2 + 10*rnd.Float64(), from: time.Now()}
			b.SetLimit(hold.perSecond)
			sleepContext(ctx, limitWindow+2*limitPropagation+time.Duration(rnd.Int64N(int64(limitWindow))))
			hold.to = time.Now()
			b.SetLimit(0)
			k.mu.Lock()
			k.periods = append(k.periods, hold)
			k.mu.Unlock()
		case 1:
			b.SetRetryAfter(restEvery, minRest+time.Duration(rnd.Int64N(int64(maxRest-minRest))))
			sleepContext(ctx, time.Duration(rnd.Int64N(int64(maxRestPhase))))
			b.SetRetryAfter(0, 0)
		default:
			sleepContext(ctx, time.Duration(rnd.Int64N(int64(maxQuietPhase))))
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// breaches returns the servers that got more requests than they tolerate in a window
// within the period of one limit, and the number of limits that were in force long enough
// to be checked.
func (k *backpressure) breaches() (out []string, limits int) {
	k.servers.Wait()
	for _, h := range k.periods {
		allowed := int(limitFactor*h.perSecond*limitWindow.Seconds()) + limitBurst
		taken, first, most := h.server.ReceivedTimes(), 0, 0
		for i, at := range taken {
			if at.Before(h.from.Add(limitPropagation+limitWindow)) || at.After(h.to) {
				continue
			}
			for at.Sub(taken[first]) > limitWindow {
				first++
			}
			most = max(most, i+1-first)
		}
		if h.to.Sub(h.from) > limitPropagation+limitWindow {
			limits++
		}
		if most > allowed {
			out = append(out, fmt.Sprintf("%s named a limit of %.1f a second at %v and got %d requests in %v; it bears %d", h.server.ID, h.perSecond, h.from.Format(time.TimeOnly), most, limitWindow, allowed))
		}
	}
	return out, limits
}
