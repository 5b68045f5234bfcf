package backpressure

import (
	"math"
	"time"
)

// useMemory is the time constant with which earlier requests lose their weight in a
// gatewayUse. It is longer than a Window, in which a server may get no requests at all after a
// burst.
const useMemory = 2 * Window

// gatewayUse counts the requests of each gateway to one server, with exponential decay. The
// zero value is empty.
type gatewayUse struct {
	counts    map[gatewayIncarnation]float64
	total     float64
	decayedAt time.Time // decayedAt is when the counts were last decayed.
}

// minUseCount is the decayed count below which a gateway is forgotten.
const minUseCount = 0.01

// add counts requests of a gateway.
func (u *gatewayUse) add(from gatewayIncarnation, requests int, now time.Time) {
	if requests == 0 {
		return
	}
	u.decay(now)
	if u.counts == nil {
		u.counts = map[gatewayIncarnation]float64{}
	}
	u.counts[from] += float64(requests)
	u.total += float64(requests)
}

// part returns the part of the requests that a gateway sent, 0 to 1.
func (u *gatewayUse) part(from gatewayIncarnation, now time.Time) float64 {
	u.decay(now)
	if u.total == 0 {
		return 0
	}
	return u.counts[from] / u.total
}

// decayInterval is the shortest time between two decays, which visit all gateways.
const decayInterval = time.Second

// decay reduces all counts by the time that has passed.
func (u *gatewayUse) decay(now time.Time) {
	passed := now.Sub(u.decayedAt)
	if passed < decayInterval {
		return
	}
	factor := math.Exp(-passed.Seconds() / useMemory.Seconds())
	u.decayedAt, u.total = now, 0
	for g, n := range u.counts {
		if n *= factor; n < minUseCount {
			delete(u.counts, g)
			continue
		}
		u.counts[g] = n
		u.total += n
	}
}
