package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// brittleStream is the second seed of the generator of brittle periods (the bytes of "brittle").
	brittleStream = 0x627269747474c65
	// soakSlots is the number of requests that each server runs at once in plans with brittle
	// servers: fewer than the callers together send.
	soakSlots = 1
	// maxRejections is the number of rejections a second that a brittle server bears.
	maxRejections = 3
	// brittleNotice is the time for which servers say that they are brittle before they have
	// less room.
	brittleNotice = 1500 * time.Millisecond
	// maxBrittleTime bounds how long servers then have no more room than slots.
	maxBrittleTime = 4 * time.Second
	// brittleDownTime is how long a server is down after it fell over.
	brittleDownTime = 500 * time.Millisecond
	// unlimitedRoom is more than all callers together send.
	unlimitedRoom = 1000
	// notBrittle is announced by a server that is not brittle.
	notBrittle = -1
)

// AllowedFalls is how many times brittle servers may fall over in one period: 2, and a tenth of
// their number.
func AllowedFalls(servers int) int { return 2 + servers/10 }

// WithBrittleServers returns the plan with periods in which all servers are brittle: they fall over
// if they have to reject more than a few requests within a second.
func (p Plan) WithBrittleServers() Plan {
	p.Brittle = true
	return p
}

// brittlePeriods makes servers brittle from time to time.
type brittlePeriods struct {
	running sync.WaitGroup
	broken  []string
	falls   int // falls is how often servers fell over.
}

// start makes the cluster's servers brittle at times generated from a seed, until ctx ends.
func (b *brittlePeriods) start(ctx context.Context, c *Cluster, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, brittleStream))
	servers := newBrittleServers(c, soakSlots, brittleDownTime)
	b.running.Go(func() {
		defer func() {
			servers.stop()
			b.falls = servers.falls()
		}()
		for ctx.Err() == nil {
			servers.set(unlimitedRoom, maxRejections)
			sleepContext(ctx, brittleNotice)
			before := servers.falls()
			servers.set(soakSlots, maxRejections)
			sleepContext(ctx, time.Duration(rnd.Int64N(int64(maxBrittleTime))))
			if n := servers.falls() - before; n > AllowedFalls(len(c.Backends)) {
				b.broken = append(b.broken, fmt.Sprintf("brittle servers fell over %d times in one period, allowed %d", n, AllowedFalls(len(c.Backends))))
			}
			servers.set(unlimitedRoom, notBrittle)
			sleepContext(ctx, time.Duration(rnd.Int64N(int64(maxQuietPhase))))
		}
	})
}

// breaches returns the periods in which servers fell over too often.
func (b *brittlePeriods) breaches() []string {
	b.running.Wait()
	return b.broken
}
