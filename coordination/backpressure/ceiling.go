package backpressure

import "time"

const (
	// minCeilingProbe is the time after a rejection until the leader grants one place more than the
	// server had room for; each further rejection doubles it, up to maxCeilingProbe.
	minCeilingProbe = time.Second
	maxCeilingProbe = 16 * time.Second
	// sameProbe is the time within which rejections count as one: the requests were under way together.
	sameProbe = 500 * time.Millisecond
)

// ceiling is the number of requests that a server turned out to have room for, where that is less than
// its slots. The zero value is none.
type ceiling struct {
	places     int // places is the number of requests; it holds while probe is not 0.
	probe      time.Duration
	nextProbe  time.Time
	rejectedAt time.Time
}

// reject records that the server rejected a request while it had a number of them.
func (c *ceiling) reject(load int, now time.Time) {
	load = max(1, load)
	if c.probe > 0 && now.Sub(c.rejectedAt) < sameProbe {
		c.places = min(c.places, load)
		return
	}
	c.probe = min(maxCeilingProbe, max(minCeilingProbe, 2*c.probe))
	c.places, c.rejectedAt, c.nextProbe = load, now, now.Add(c.probe)
}

// limit returns how many of the slots may be used at present.
func (c *ceiling) limit(slots int, now time.Time) int {
	if c.probe == 0 {
		return slots
	}
	for !now.Before(c.nextProbe) {
		c.places++
		c.nextProbe = c.nextProbe.Add(minCeilingProbe)
	}
	if c.places >= slots {
		*c = ceiling{}
		return slots
	}
	return c.places
}
