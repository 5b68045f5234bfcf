package state

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// claim is the record of one request that must run at most once. It is never
// changed in place.
type claim struct {
	Key      protocol.Key        `json:"key"`
	Body     protocol.Digest     `json:"body"`
	Owner    protocol.Owner      `json:"owner"`
	IssuedAt int64               `json:"issued_at"`
	Until    int64               `json:"until"` // Until is when a resend is too old anyway.
	State    protocol.ClaimState `json:"state"`
	Answer   *protocol.Answer    `json:"answer,omitempty"`
	Order    uint64              `json:"order"` // Order is when the answer was kept, for dropping the oldest.
}

// Claims keeps what is needed to run a request at most once.
//
// A request carries the time at which its caller first issued it, and resends
// repeat that time. One older than the window is refused, run or not. So a
// claim can be dropped once its request is that old: nothing that could need
// it would be let in. That bounds the claims by age; their count and the bytes
// of kept answers have bounds of their own.
type Claims struct {
	rows    map[protocol.Key]*claim
	ages    ageHeap
	answers []protocol.Key // answers are the keys with kept answers, oldest first.
	bytes   int
	order   uint64
}

// NewClaims returns no claims.
func NewClaims() *Claims { return &Claims{rows: map[protocol.Key]*claim{}} }

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.rows) }

// Claim grants a request to its asker unless it may have run already.
func (c *Claims) Claim(m *protocol.ClaimMsg, now int64) *protocol.ClaimReply {
	c.expire(now)
	if reply := c.refuse(m, now); reply != nil {
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

// Peek answers a claim without changing anything: one that would be granted is
// refused for want of room.
func (c *Claims) Peek(m *protocol.ClaimMsg, now int64) *protocol.ClaimReply {
	if reply := c.refuse(m, now); reply != nil {
		return reply
	}
	return &protocol.ClaimReply{State: protocol.ClaimFull}
}

// refuse answers a claim that is not to be granted; else it returns nil.
func (c *Claims) refuse(m *protocol.ClaimMsg, now int64) *protocol.ClaimReply {
	switch {
	case m.IssuedAt < now-m.Limits.WindowMS:
		return &protocol.ClaimReply{State: protocol.ClaimExpired}
	case m.IssuedAt > now+m.Limits.SkewMS:
		return &protocol.ClaimReply{State: protocol.ClaimFuture}
	}
	row := c.rows[m.Key]
	switch {
	case row != nil && row.State != protocol.ClaimReleased:
		return c.known(row, m)
	case row != nil && row.Owner == m.Owner:
		return &protocol.ClaimReply{State: protocol.ClaimReleased, Owner: row.Owner}
	case row == nil && len(c.rows) >= m.Limits.Count:
		return &protocol.ClaimReply{State: protocol.ClaimFull}
	}
	return nil
}

// known answers a claim of a key that is taken. The owner's own claim, sent
// again since its answer was lost, is granted again.
func (c *Claims) known(row *claim, m *protocol.ClaimMsg) *protocol.ClaimReply {
	if row.Body != m.Body || row.IssuedAt != m.IssuedAt {
		return &protocol.ClaimReply{State: protocol.ClaimConflict, Owner: row.Owner}
	}
	if row.State == protocol.ClaimRunning && row.Owner == m.Owner {
		return &protocol.ClaimReply{State: protocol.ClaimGranted, Owner: row.Owner}
	}
	return &protocol.ClaimReply{State: row.State, Owner: row.Owner, Answer: row.Answer}
}

// Finish records what became of a request. A release that finds no claim
// leaves a mark, since the claim itself may still be on its way.
func (c *Claims) Finish(m *protocol.FinishMsg, now int64) *protocol.ClaimReply {
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
		c.order++
		next.Answer, next.Order = m.Answer, c.order
	}
	c.put(&next)
	c.dropAnswers(m.Limits.AnswerBytes)
	return &protocol.ClaimReply{State: next.State, Owner: next.Owner}
}

// Transfer gives a running claim to another owner. The reply is granted if the
// new owner holds it.
func (c *Claims) Transfer(m *protocol.TransferMsg) *protocol.ClaimReply {
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

// put stores a row in place of the one with its key.
func (c *Claims) put(row *claim) {
	old := c.rows[row.Key]
	c.rows[row.Key] = row
	if old == nil || old.Until != row.Until {
		heap.Push(&c.ages, age{key: row.Key, until: row.Until})
	}
	if row.Answer != nil {
		c.answers = append(c.answers, row.Key)
		c.bytes += row.Answer.Size()
		c.order = max(c.order, row.Order)
	}
}

// expire drops the claims whose request is older than the window.
func (c *Claims) expire(now int64) {
	for len(c.ages) > 0 && c.ages[0].until < now {
		a := heap.Pop(&c.ages).(age)
		row := c.rows[a.key]
		if row == nil || row.Until != a.until {
			continue
		}
		delete(c.rows, a.key)
		if row.Answer != nil {
			c.bytes -= row.Answer.Size()
		}
	}
}

// dropAnswers drops the oldest answers until the rest fits. The claims stay.
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

// list returns all claims, those with answers in the order in which they were
// kept, so that a restored copy drops the same ones.
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

// age is when a claim can be dropped.
type age struct {
	key   protocol.Key
	until int64
}

// ageHeap has the claim to be dropped next in front.
type ageHeap []age

// Len implements heap.Interface.
func (h ageHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ageHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap implements heap.Interface.
func (h ageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(age)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
