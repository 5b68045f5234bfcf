package uplink

import (
	"time"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/internal/clock"
)

// chooseInstance returns the address of the instance that the link selector picks for this
// gateway, or "" if it picks none.
func (c *Client) chooseInstance() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links.Choose(c.reportedLeader, clock.Now())
}

// recordFailure makes the link selector skip an instance for a backoff period. timedOut is
// true if the instance did not answer in time.
func (c *Client) recordFailure(address string, timedOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.RecordFailure(address, timedOut, clock.Now())
}

// recordAnswer records the latency of an answer and clears the instance's failures.
func (c *Client) recordAnswer(address string, took time.Duration) {
	c.answerTime(address).Observe(took)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.RecordAnswer(address)
}

// answerTimeout returns the time after which an instance's answer is overdue.
func (c *Client) answerTimeout(address string) time.Duration {
	if !c.mayUseRelay() {
		return overdueTimeout
	}
	first := firstAnswerAllowance
	if !c.topology.MultiRegion() {
		first = 0
	}
	return c.answerTime(address).Timeout(overdueTimeout, first)
}

// answerTime returns the latency estimate of an instance, creating it on first use.
func (c *Client) answerTime(address string) *link.AnswerTime {
	p := c.answerTimes[address]
	if p == nil {
		p = &link.AnswerTime{}
		c.answerTimes[address] = p
	}
	return p
}
