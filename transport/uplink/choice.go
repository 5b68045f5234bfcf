package uplink

import (
	"time"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/internal/clock"
)

// near returns the address of the instance of the own region to ask; empty for none.
func (c *Client) near() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links.Choose(c.named, clock.Now())
}

// failed has an instance of the own region passed over for a backoff; silent says that it
// did not answer in time.
func (c *Client) failed(address string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.RecordFailure(address, silent, clock.Now())
}

// observe notes how long an answer took.
func (c *Client) observe(address string, took time.Duration) {
	c.answerTime(address).Observe(took)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.RecordAnswer(address)
}

// due returns the timeout after which an instance's answer is overdue.
func (c *Client) due(address string) time.Duration {
	if !c.nears() {
		return answerDue
	}
	first := firstDue
	if !c.topology.MultiRegion() {
		first = 0
	}
	return c.answerTime(address).Timeout(answerDue, first)
}

// answerTime returns how long an instance's answers take.
func (c *Client) answerTime(address string) *link.AnswerTime {
	p := c.answerTimes[address]
	if p == nil {
		p = &link.AnswerTime{}
		c.answerTimes[address] = p
	}
	return p
}
