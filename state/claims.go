package state

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// claim is the record of one request that must be executed at most once. It is never
// modified in place.
type claim struct {
	Key      protocol.Key        `json:"key"`
	Body     protocol.Digest     `json:"body"`
	Owner    protocol.Owner      `json:"owner"`
	IssuedAt int64               `json:"issued_at"`
	Until    int64               `json:"until"` // time after which resends are rejected as too old
	State    protocol.ClaimState `json:"state"`
	Answer   *protocol.Answer    `json:"answer,omitempty"`
	Order    uint64              `json:"order"` // sequence number of the retained answer; the lowest is dropped first
}

// Claims is the table that ensures at-most-once execution of requests.
//
// Each request carries the time at which its caller first issued it, and resends repeat
// that time. A request older than the window is rejected, whether or not it was
// executed. A claim can therefore be dropped once its request is that old, as no resend
// would be admitted any more. This bounds the claims by age; the number of claims and
// the size of retained answers have separate limits.
type Claims struct {
	rows      map[protocol.Key]*claim
	expiries  expiryHeap
	answers   []protocol.Key // keys of claims with retained answers, oldest first
	bytes     int            // total size of retained answers
	lastOrder uint64         // highest claim.Order so far
}

// NewClaims returns an empty table.
func NewClaims() *Claims { return &Claims{rows: map[protocol.Key]*claim{}} }

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.rows) }

// Claim grants a request to the claimant unless it may have been executed already.
func (c *Claims) Claim(m *protocol.ClaimMsg, now int64) *protocol.ClaimReply {
	c.expire(now)
	if reply := c.reject(m, now); reply != nil {
		return reply
	}
	c.put(&claim{
		Key:      m.Key,
		Body:     m.Body,
		Owner:    m.Owner,
		IssuedAt: m.IssuedAt,
		Until:    m.IssuedAt + m.Limits.WindowMS,
		State:    protocol.ClaimRunning,
	})
	return &protocol.ClaimReply{State: protocol.ClaimGranted, Owner: m.Owner}
}

// Peek answers a claim without changing the table. If the claim would be granted, the
// answer is ClaimFull.
func (c *Claims) Peek(m *protocol.ClaimMsg, now int64) *protocol.ClaimReply {
	if reply := c.reject(m, now); reply != nil {
		return reply
	}
	return &protocol.ClaimReply{State: protocol.ClaimFull}
}

// reject returns the reply for a claim that must not be granted, and nil for one that
// may be.
func (c *Claims) reject(m *protocol.ClaimMsg, now int64) *protocol.ClaimReply {
	switch {
	case m.IssuedAt < now-m.Limits.WindowMS:
		return &protocol.ClaimReply{State: protocol.ClaimExpired}
	case m.IssuedAt > now+m.Limits.SkewMS:
		return &protocol.ClaimReply{State: protocol.ClaimFuture}
	}
	row := c.rows[m.Key]
	switch {
	case row != nil && row.State != protocol.ClaimReleased:
		return c.answerExisting(row, m)
	case row != nil && row.Owner == m.Owner:
		return &protocol.ClaimReply{State: protocol.ClaimReleased, Owner: row.Owner}
	case row == nil && len(c.rows) >= m.Limits.Count:
		return &protocol.ClaimReply{State: protocol.ClaimFull}
	}
	return nil
}

// answerExisting answers a claim for a key that is already claimed. If the owner
// repeats its own claim because the reply was lost, it is granted again.
func (c *Claims) answerExisting(row *claim, m *protocol.ClaimMsg) *protocol.ClaimReply {
	if row.Body != m.Body || row.IssuedAt != m.IssuedAt {
		return &protocol.ClaimReply{State: protocol.ClaimConflict, Owner: row.Owner}
	}
	if row.State == protocol.ClaimRunning && row.Owner == m.Owner {
		return &protocol.ClaimReply{State: protocol.ClaimGranted, Owner: row.Owner}
	}
	return &protocol.ClaimReply{State: row.State, Owner: row.Owner, Answer: row.Answer}
}

// Finish records the outcome of a request. A release without an existing claim is
// recorded too, since the claim itself may still be in transit.
func (c *Claims) Finish(m *protocol.FinishClaimMsg, now int64) *protocol.ClaimReply {
	c.expire(now)
	row := c.rows[m.Key]
	if row != nil && (row.Owner != m.Owner || row.State != protocol.ClaimRunning) {
		return &protocol.ClaimReply{State: row.State, Owner: row.Owner}
	}
	if row == nil {
		if m.Verdict != protocol.NotRun || m.IssuedAt < now-m.Limits.WindowMS || len(c.rows) >= m.Limits.Count {
			return &protocol.ClaimReply{State: protocol.ClaimExpired}
		}
		row = &claim{Key: m.Key, Owner: m.Owner, IssuedAt: m.IssuedAt, Until: m.IssuedAt + m.Limits.WindowMS}
	}
	next := *row
	next.State = outcome(m.Verdict)
	if next.State == protocol.ClaimRan && m.Answer != nil && m.Answer.Size() <= m.Limits.AnswerBytes {
		c.lastOrder++
		next.Answer, next.Order = m.Answer, c.lastOrder
	}
	c.put(&next)
	c.dropAnswers(m.Limits.AnswerBytes)
	return &protocol.ClaimReply{State: next.State, Owner: next.Owner}
}

// Transfer moves a running claim to another owner. The reply is ClaimGranted if the new
// owner holds the claim.
func (c *Claims) Transfer(m *protocol.TransferClaimMsg) *protocol.ClaimReply {
	row := c.rows[m.Key]
	if row == nil || row.State != protocol.ClaimRunning || (row.Owner != m.From && row.Owner != m.To) {
		return &protocol.ClaimReply{State: protocol.ClaimMayHaveRun}
	}
	next := *row
	next.Owner = m.To
	c.put(&next)
	return &protocol.ClaimReply{State: protocol.ClaimGranted, Owner: m.To}
}

func outcome(v protocol.Verdict) protocol.ClaimState {
	switch v {
	case protocol.NotRun:
		return protocol.ClaimReleased
	case protocol.Ran:
		return protocol.ClaimRan
	case protocol.MayHaveRun:
	}
	return protocol.ClaimMayHaveRun
}

// put inserts or replaces the row with the same key.
func (c *Claims) put(row *claim) {
	old := c.rows[row.Key]
	c.rows[row.Key] = row
	if old == nil || old.Until != row.Until {
		heap.Push(&c.expiries, expiry{key: row.Key, until: row.Until})
	}
	if row.Answer != nil {
		c.answers = append(c.answers, row.Key)
		c.bytes += row.Answer.Size()
		c.lastOrder = max(c.lastOrder, row.Order)
	}
}

// expire drops claims whose request is older than the window.
func (c *Claims) expire(now int64) {
	for len(c.expiries) > 0 && c.expiries[0].until < now {
		e := heap.Pop(&c.expiries).(expiry)
		row := c.rows[e.key]
		if row == nil || row.Until != e.until {
			continue
		}
		delete(c.rows, e.key)
		if row.Answer != nil {
			c.bytes -= row.Answer.Size()
		}
	}
}

// dropAnswers drops the oldest answers until the total size is within limit. The claims
// themselves remain.
func (c *Claims) dropAnswers(limit int) {
	for c.bytes > limit && len(c.answers) > 0 {
		key := c.answers[0]
		c.answers = c.answers[1:]
		row := c.rows[key]
		if row == nil || row.Answer == nil {
			continue
		}
		c.bytes -= row.Answer.Size()
		next := *row
		next.Answer = nil
		c.rows[key] = &next
	}
}

// list returns all claims. Those with answers are in the order in which the answers
// were retained, so that a restored copy drops answers in the same order.
func (c *Claims) list() []*claim {
	rows := make([]*claim, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *claim) int {
		return cmp.Or(
			cmp.Compare(a.Order, b.Order),
			cmp.Compare(a.Key.Workspace, b.Key.Workspace),
			cmp.Compare(a.Key.ID, b.Key.ID),
		)
	})
	return rows
}

// expiry is the time after which a claim can be dropped.
type expiry struct {
	key   protocol.Key
	until int64
}

// expiryHeap is a min-heap of claims by expiry.
type expiryHeap []expiry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
