package backpressure

import "time"

const (
	// leaderTimeout is how long a gateway waits for an answer from a leader before it sends
	// without permits: most elections are over by then.
	leaderTimeout = 700 * time.Millisecond
	// leaderlessShare is the part of a limit that all gateways together use without a leader.
	// It is below 1 because their requests are then not coordinated, so that some windows get
	// half as many again as others.
	leaderlessShare = 0.5
	// leaderlessUsePart is the part of leaderlessShare that is divided by how much each gateway
	// used the server under the last leader; the rest by the allotted parts. Routing prefers near
	// servers, so a few gateways send most of the requests for one.
	leaderlessUsePart = 0.6
	// bucketRetention is how long the level of a bucket is kept after its last use.
	bucketRetention = 10 * time.Second
)

// leaderlessBucket is a token bucket of one request. It limits what a gateway sends to one
// server while no leader answers; the more gateways there are, the slower it fills.
type leaderlessBucket struct {
	rate        float64   // rate is in requests per second.
	level       float64   // level is the part of the next request that is available, 0 to 1.
	updatedAt   time.Time // updatedAt is when level was last updated.
	preparedFor time.Time // preparedFor is the start (unansweredSince) of the leaderless period that the bucket was last initialized for.
}

// isLeaderless reports whether reports to the leader have been unanswered for longer than
// leaderTimeout.
func (l *Limits) isLeaderless(now time.Time) bool {
	return !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) > leaderTimeout
}

// prepare updates the rate and, in each leaderless period, initializes the bucket once. A
// bucket not used for bucketRetention starts at a random level: if hundreds of gateways each
// started with a full one, they would together send the server several times its limit at
// once.
func (b *leaderlessBucket) prepare(l *Limits, s *serverState, now time.Time) {
	b.rate = max(s.limit.PerSecond, minRate) * leaderlessShare * l.leaderlessPart(s, now)
	if b.preparedFor.Equal(l.unansweredSince) {
		return
	}
	if b.updatedAt.IsZero() || now.Sub(b.updatedAt) > bucketRetention {
		b.level = l.random()
	}
	b.preparedFor, b.updatedAt = l.unansweredSince, now
}

// leaderlessPart returns this gateway's part of leaderlessShare for a server. It is the allotted
// one if the last leader had not counted the requests to the server, or reports no uses.
func (l *Limits) leaderlessPart(s *serverState, now time.Time) float64 {
	even := l.part.Size(now)
	if !l.usesKnown || !s.counted {
		return even
	}
	return (1-leaderlessUsePart)*even + leaderlessUsePart*s.usePart
}

// take uses a whole request if the bucket holds one, and reports whether it did.
func (b *leaderlessBucket) take(now time.Time) bool {
	b.level = min(1, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.level < 1 {
		return false
	}
	b.level = 0
	return true
}

// untilNext returns how long it takes until the bucket holds a whole request; the retention of
// the bucket if it does not fill.
func (b *leaderlessBucket) untilNext() time.Duration {
	if b.rate <= 0 {
		return bucketRetention
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}
