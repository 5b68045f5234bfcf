package control

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// batchDelay is how long a relay collects requests for a batch. It is a fraction of a
	// round trip between regions, because requests wait for quota meanwhile. When only one
	// batch was in flight at a time, half of them waited 35 ms instead of 25 ms (8 ms one way).
	batchDelay = 3 * time.Millisecond
	// batchSlack is how much longer than usual the leader may take to answer a batch
	// before the answer is overdue. It is less than the gateways' own slack (100 ms), so
	// that the relay tells them before they abandon it.
	batchSlack = 60 * time.Millisecond
	// firstBatchSlack is the additional time for the first answer of a leader: a connection
	// and a round trip at 80 ms one way.
	firstBatchSlack = 400 * time.Millisecond
	// maxBatches is the maximum number of batches in flight. It allows one per batchDelay
	// over a round trip at 12 ms one way; relays further away collect for longer.
	maxBatches = 8
	// batchTimeout bounds the call; the answer to a batch may contain a complete list.
	batchTimeout = 1500 * time.Millisecond
)

// Caller calls another instance.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// Relay answers the gateways of its region, or some of them in a large region. It collects
// their requests and sends them to the leader in batches. It answers each request from the
// leader's answer to a batch that was sent after the request arrived, so that the answer is
// as current as if the gateway had asked the leader.
type Relay struct {
	uplink      *Uplink
	caller      Caller
	name        string // name is the leader's name for the relay.
	peer        string // peer is the relay's peer address.
	incarnation uint64
	slack       time.Duration // slack is batchSlack, or more in tests that must not depend on it.
	wake        chan struct{} // wake signals that requests are waiting.
	meters      relayMeters

	mu           sync.Mutex // mu guards the fields below.
	waiting      []*pendingSync
	state        *leaderState
	sum          *place.Sum
	gateways     map[string]time.Time // gateways holds the time of the last request of each gateway in the sum.
	lastBatch    uint64               // lastBatch is the number of the last batch sent.
	baseBatch    uint64               // baseBatch is the batch that the next batch's sums build on; 0 for none.
	appliedBatch uint64               // appliedBatch is the newest batch whose answer has been applied to state.
	inFlight     int                  // inFlight is the number of batches without an answer yet.
	batchLeader  string               // batchLeader is the leader that the last batch was sent to.
	answerTime   link.AnswerTime
	limits       protocol.LimitsVersion // limits is the version of the leader's limits in its last answer.
	listLate     bool                   // listLate is set if the leader's list was out of date then.
	overdue      bool                   // overdue is set while the leader's answer to a batch is late and no other answer has arrived.
	stopped      bool                   // stopped is set once Run has ended and no more requests are answered.
}

// pendingSync is a gateway's request that waits for its answer.
type pendingSync struct {
	m          protocol.SyncMsg
	receivedAt time.Time
	reply      chan protocol.SyncReply
}

// relayMeters are a relay's counters.
type relayMeters struct {
	batches, questions, overdue metrics.Counter
}

// NewRelay makes an uplink answer gateways that use it as a relay while it does not lead.
func NewRelay(u *Uplink, c Caller, name, peer string, r metrics.Registry) *Relay {
	relay := &Relay{
		uplink:      u,
		caller:      c,
		name:        name,
		peer:        peer,
		incarnation: rand.Uint64(),
		slack:       batchSlack,
		wake:        make(chan struct{}, 1),
		state:       newLeaderState(u.topology),
		sum:         place.NewSum(),
		gateways:    map[string]time.Time{},
		meters: relayMeters{
			batches:   metrics.NewRegisteredCounter("relay.batches", r),
			questions: metrics.NewRegisteredCounter("relay.questions", r),
			overdue:   metrics.NewRegisteredCounter("relay.overdue", r),
		},
	}
	metrics.NewRegisteredFunctionalGauge("relay.gateways", r, func() int64 { return int64(relay.State().Gateways) })
	u.relay.Store(relay)
	return relay
}

// relaySync answers a gateway with the leader's data, if the gateway asks for that and this
// instance is a relay.
func (u *Uplink) relaySync(m protocol.SyncMsg, reply *protocol.SyncReply) error {
	if r := u.relay.Load(); r != nil && m.Relayed {
		r.sync(m, reply)
	}
	return nil
}

// relayPlace selects a server for a long prompt if this instance is a relay.
func (u *Uplink) relayPlace(m *protocol.PlaceMsg, reply *protocol.PlaceReply) error {
	if r := u.relay.Load(); r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.overdue {
			r.state.place(m, reply)
		}
	}
	return nil
}

// sync holds a gateway's request until a later batch is answered or overdue, which takes no
// longer than a batch may. A relay that has stopped answers immediately.
func (r *Relay) sync(m protocol.SyncMsg, reply *protocol.SyncReply) {
	q := &pendingSync{m: m, receivedAt: clock.Now(), reply: make(chan protocol.SyncReply, 1)}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	r.waiting = append(r.waiting, q)
	r.mu.Unlock()
	r.wakeUp()
	a := <-q.reply
	a.Controls, a.Domains = reply.Controls, reply.Domains
	*reply = a
}

func (r *Relay) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // Run has not yet handled the last signal.
	}
}

// Run sends the batches until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	exchanges.Go(func() { r.pollLimits(ctx) })
	for {
		select {
		case <-r.wake:
			pause.For(ctx, r.gatherDelay())
			if b := r.nextBatch(); b != nil {
				exchanges.Go(func() { r.send(ctx, b) })
			}
		case <-ctx.Done():
			r.mu.Lock()
			r.stopped = true
			r.mu.Unlock()
			r.reject(r.takeWaiting(), "")
			return nil
		}
	}
}

// exchange is a batch with the requests that it answers.
type exchange struct {
	leader  string
	m       protocol.BatchMsg
	pending []*pendingSync
	due     time.Duration   // due is the time after which the answer is overdue.
	changed <-chan struct{} // changed is closed when the known leader may have changed.
}

// nextBatch returns the next batch to send, if there is one. While the leader's answer is
// overdue, it rejects the waiting requests.
func (r *Relay) nextBatch() *exchange {
	b := &exchange{changed: r.uplink.group.Changed()}
	b.leader, _ = r.uplink.peers()
	r.mu.Lock()
	full, overdue := r.inFlight >= maxBatches, r.overdue
	r.mu.Unlock()
	switch {
	case overdue || b.leader == "" || b.leader == r.peer:
		r.reject(r.takeWaiting(), b.leader)
		return nil
	case full:
		return nil // The end of a batch wakes Run again.
	}
	if b.pending = r.takeWaiting(); len(b.pending) == 0 {
		return nil
	}
	b.m, b.due = r.newBatch(b.leader, b.pending)
	return b
}

// takeWaiting removes and returns the waiting requests.
func (r *Relay) takeWaiting() []*pendingSync {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.waiting
	r.waiting = nil
	return list
}

// reject answers requests with the leader only, as far as it is known.
func (r *Relay) reject(list []*pendingSync, leader string) {
	for _, q := range list {
		q.reply <- protocol.SyncReply{Leader: leader}
	}
}

// send sends a batch and answers its requests once the leader has answered or is overdue.
func (r *Relay) send(ctx context.Context, b *exchange) {
	defer r.wakeUp()
	defer r.batchEnded()
	sent := clock.Now()
	answers := r.call(b.leader, b.m)
	overdue := time.NewTimer(b.due)
	defer overdue.Stop()
	for {
		select {
		case reply := <-answers:
			r.handleReply(b, reply, clock.Since(sent))
			return
		case <-overdue.C:
			r.setOverdue(b.leader)
			r.reject(b.pending, b.leader)
			b.pending = nil
			r.wakeUp() // This rejects the requests that arrived meanwhile.
		case <-b.changed:
			b.changed = r.uplink.group.Changed()
			if next, _ := r.uplink.peers(); next != b.leader {
				r.batchLost()
				r.reject(b.pending, next)
				return
			}
		case <-ctx.Done():
			r.reject(b.pending, "")
			return
		}
	}
}

// batchEnded removes a batch from those in flight.
func (r *Relay) batchEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// call sends a batch and returns a channel for the answer, which is nil if the call failed.
func (r *Relay) call(leader string, m protocol.BatchMsg) <-chan *protocol.BatchReply {
	answers := make(chan *protocol.BatchReply, 1)
	go func() {
		var reply protocol.BatchReply
		if err := r.caller.Call(leader, "Uplink.Batch", m, &reply, batchTimeout); err != nil {
			r.uplink.log.Warn().Err(err).Str("leader", leader).Msg("relay: batch call to the leader failed")
			answers <- nil
			return
		}
		answers <- &reply
	}()
	return answers
}

// newBatch builds the batch for some requests and returns the time after which its answer
// is overdue.
func (r *Relay) newBatch(leader string, list []*pendingSync) (protocol.BatchMsg, time.Duration) {
	r.uplink.prepareDocument()
	number, _ := r.uplink.document()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if leader != r.batchLeader {
		r.batchLeader, r.answerTime = leader, link.AnswerTime{}
		r.sum.Invalidate()
	}
	r.lastBatch++
	m := protocol.BatchMsg{Relay: r.name, Life: r.incarnation, Batch: r.lastBatch, Number: number}
	for _, q := range list {
		r.state.resolveNames(&q.m)
		r.recordSync(&q.m, now)
		m.Parts = append(m.Parts, toBatchPart(&q.m, now.Sub(q.receivedAt)))
	}
	r.dropIdle(now)
	r.state.fillBatch(&m)
	sums, whole := r.sum.Changes()
	m.Sums = sums
	if !whole {
		m.Base = r.baseBatch
	}
	r.baseBatch = r.lastBatch
	r.inFlight++
	r.meters.batches.Inc(1)
	r.meters.questions.Inc(int64(len(list)))
	return m, r.answerTime.Timeout(r.slack, firstBatchSlack)
}

// recordSync records the contents of a gateway's request that the relay uses itself. The
// caller holds r.mu.
func (r *Relay) recordSync(m *protocol.SyncMsg, now time.Time) {
	r.gateways[m.Gateway] = now
	r.sum.SetReport(m.Gateway, place.GatewayReport{Domain: m.Domain, Running: m.Running, Distrusts: m.Distrusts})
	r.state.recordDone(m.Done)
	r.state.addReadings(m.Readings)
}

// dropIdle removes the gateways without a request within gatewayTTL. The caller holds r.mu.
func (r *Relay) dropIdle(now time.Time) {
	for name, at := range r.gateways {
		if now.Sub(at) > gatewayTTL {
			r.drop(name)
		}
	}
}

// drop removes a gateway and its part of the sums. The caller holds r.mu.
func (r *Relay) drop(name string) {
	delete(r.gateways, name)
	r.sum.Drop(name)
}

// handleReply answers the requests of a batch from the leader's answer, if that is valid.
func (r *Relay) handleReply(b *exchange, reply *protocol.BatchReply, took time.Duration) {
	if reply == nil || !reply.Leads {
		r.batchLost()
		next := ""
		if reply != nil && reply.Leader != b.leader {
			next = reply.Leader
		}
		r.reject(b.pending, next)
		return
	}
	if err := r.applyReply(b, reply, took); err != nil {
		r.uplink.log.Error().Err(err).Uint64("number", reply.Number).Msg("relay: cannot apply the leader's answer")
		r.reject(b.pending, b.leader)
		return
	}
	number, document := r.uplink.document()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range b.pending {
		var a protocol.SyncReply
		if i >= len(reply.Answers) || r.state.fillReply(&q.m, &reply.Answers[i], number, document, &a) != nil {
			a = protocol.SyncReply{Leader: b.leader}
		}
		a.Limits = unknownLimits
		if r.limits.Term == a.Term {
			a.Limits, a.ListLate = r.limits.Change, r.listLate
		}
		q.reply <- a
	}
}

// unknownLimits is the version that a relay tells gateways while it does not know that of the leader's limits, so
// that they ask for them: one that has just started must not send to servers that may have limits.
const unknownLimits = math.MaxUint64

// errSuperseded is returned for an answer of another term than that of a later batch that
// was answered first.
var errSuperseded = eris.New("another leader has answered meanwhile")

// applyReply applies the leader's answer to the relay's state and sums. If a later batch was
// answered first, only the document, sums and readings are applied: the rest is older than
// what the relay holds.
func (r *Relay) applyReply(b *exchange, reply *protocol.BatchReply, took time.Duration) error {
	if len(reply.Document) > 0 {
		if err := r.uplink.setPackedDocument(reply.Number, reply.Document); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overdue = false
	r.answerTime.Observe(took)
	if reply.Resend {
		r.sum.Invalidate()
	}
	for _, name := range reply.Moved {
		r.drop(name)
	}
	if b.m.Batch < r.appliedBatch {
		if reply.Term != r.state.term {
			return errSuperseded
		}
		r.state.applyReadings(&b.m, reply)
		return nil
	}
	r.appliedBatch = b.m.Batch
	if err := r.state.applyReply(b.leader, reply); err != nil {
		// Answers to batches in flight may contain only changes relative to the state discarded
		// here, so they are treated as superseded.
		r.state, r.appliedBatch = newLeaderState(r.uplink.topology), r.lastBatch+1
		return err
	}
	r.state.applyReadings(&b.m, reply)
	return nil
}

// batchLost handles a batch without a valid answer: it is unknown whether the leader has
// applied its sums, so the next batch contains complete ones.
func (r *Relay) batchLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overdue = false
	r.sum.Invalidate()
}

// setOverdue marks the answer to a batch as overdue.
func (r *Relay) setOverdue(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overdue = true
	r.meters.overdue.Inc(1)
	r.uplink.log.Warn().Str("leader", leader).Int("gateways", len(r.gateways)).Msg("relay: the leader's answer is overdue")
}
