package control

import (
	"context"
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
	// gatherTime is for how long a relay gathers questions: a part of a round trip
	// between regions, as requests wait for parts of their quotas. With one batch under
	// way at a time half of them waited 35 ms instead of 25 (8 ms one way).
	gatherTime = 3 * time.Millisecond
	// batchSlack is how much longer than usual the leader's answer to a batch may take
	// before it is overdue. It is less than the gateways' own slack (100 ms), so that they
	// are told before they give the relay up.
	batchSlack = 60 * time.Millisecond
	// batchFirst is what the first answer of a leader may take besides: a connection and
	// a round trip at 80 ms one way.
	batchFirst = 400 * time.Millisecond
	// mostBatches are under way at once: over a round trip at 12 ms one way, one for each
	// gatherTime. Further away a relay gathers for longer.
	mostBatches = 8
	// batchTime is the timeout of the call: the answer to a batch may hold a whole list.
	batchTime = 1500 * time.Millisecond
)

// Caller calls another instance.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// Relay answers the gateways of its region, or a part of them where they are many. It
// gathers their questions and sends them to the leader as a batch. It answers each from the leader's answer to a batch that was
// sent after the question came in, so that what is vouched for is as new as if the
// gateway had asked the leader.
type Relay struct {
	uplink *Uplink
	caller Caller
	name   string // name is what the leader knows the relay by.
	own    string // own is its peer address.
	life   uint64
	slack  time.Duration // slack is batchSlack, and more where a test is not to depend on it.
	wake   chan struct{} // wake receives that there are questions.
	meters relayMeters

	mu         sync.Mutex // mu guards all below.
	waiting    []*question
	copies     *copies
	sum        *place.Sum
	gateways   map[string]time.Time // gateways tells when each gateway in the sum asked last.
	batch      uint64               // batch is the latest that was sent.
	base       uint64               // base is the batch that the sums of the next one build on; 0 for none.
	renewed    uint64               // renewed is the latest whose answer the copies follow.
	underWay   int                  // underWay are the batches without an answer yet.
	asked      string               // asked is the leader that the latest batch went to.
	answerTime link.AnswerTime
	limits     protocol.LimitsVersion // limits are those of the leader, as of its last answer.
	listLate   bool                   // listLate says that its list was out of date then.
	overdue    bool                   // overdue says that the leader is late with the answer to a batch, and none came since.
	stopped    bool                   // stopped says that Run has ended: nobody answers questions any more.
}

// question is one of a gateway that waits for its answer.
type question struct {
	m      protocol.SyncMsg
	at     time.Time
	answer chan protocol.SyncReply
}

// relayMeters count a relay's work.
type relayMeters struct {
	batches, questions, overdue metrics.Counter
}

// NewRelay has an uplink answer gateways that ask it to relay while it does not lead.
func NewRelay(u *Uplink, c Caller, name, peer string, r metrics.Registry) *Relay {
	relay := &Relay{
		uplink:   u,
		caller:   c,
		name:     name,
		own:      peer,
		life:     rand.Uint64(),
		slack:    batchSlack,
		wake:     make(chan struct{}, 1),
		copies:   newCopies(u.topology),
		sum:      place.NewSum(),
		gateways: map[string]time.Time{},
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

// relayed answers a gateway from what the leader vouches for, where it asks for that
// and this instance is a relay.
func (u *Uplink) relayed(m protocol.SyncMsg, reply *protocol.SyncReply) error {
	if r := u.relay.Load(); r != nil && m.Relayed {
		r.sync(m, reply)
	}
	return nil
}

// relayedPlace finds a server for a long prompt where this instance is a relay.
func (u *Uplink) relayedPlace(m *protocol.PlaceMsg, reply *protocol.PlaceReply) error {
	if r := u.relay.Load(); r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.overdue {
			r.copies.place(m, reply)
		}
	}
	return nil
}

// sync keeps a gateway's question until the answer to a later batch, or until that is
// overdue. Either takes no longer than a batch may. A relay that has ended answers at once.
func (r *Relay) sync(m protocol.SyncMsg, reply *protocol.SyncReply) {
	q := &question{m: m, at: clock.Now(), answer: make(chan protocol.SyncReply, 1)}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	r.waiting = append(r.waiting, q)
	r.mu.Unlock()
	r.wakeUp()
	a := <-q.answer
	a.Controls, a.Domains = reply.Controls, reply.Domains
	*reply = a
}

func (r *Relay) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // Run has not looked since it was woken up last.
	}
}

// Run sends the batches, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	exchanges.Go(func() { r.watchLimits(ctx) })
	for {
		select {
		case <-r.wake:
			pause.For(ctx, r.gather())
			if b := r.next(); b != nil {
				exchanges.Go(func() { r.send(ctx, b) })
			}
		case <-ctx.Done():
			r.mu.Lock()
			r.stopped = true
			r.mu.Unlock()
			r.refuse(r.gathered(), "")
			return nil
		}
	}
}

// exchange is a batch with the questions that it is for.
type exchange struct {
	leader  string
	m       protocol.BatchMsg
	list    []*question
	due     time.Duration   // due is the time after which the answer is overdue.
	changed <-chan struct{} // changed is closed when another leader may be known.
}

// next returns the next batch to send, if there is one. While the leader's answer is
// overdue, gateways are told so at once.
func (r *Relay) next() *exchange {
	b := &exchange{changed: r.uplink.group.Changed()}
	b.leader, _ = r.uplink.peers()
	r.mu.Lock()
	full, overdue := r.underWay >= mostBatches, r.overdue
	r.mu.Unlock()
	switch {
	case overdue || b.leader == "" || b.leader == r.own:
		r.refuse(r.gathered(), b.leader)
		return nil
	case full:
		return nil // The end of a batch wakes Run up again.
	}
	if b.list = r.gathered(); len(b.list) == 0 {
		return nil
	}
	b.m, b.due = r.compose(b.leader, b.list)
	return b
}

// gathered returns the questions that wait, and leaves none.
func (r *Relay) gathered() []*question {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.waiting
	r.waiting = nil
	return list
}

// refuse tells gateways that the relay cannot answer, and who leads, as far as known.
func (r *Relay) refuse(list []*question, leader string) {
	for _, q := range list {
		q.answer <- protocol.SyncReply{Leader: leader}
	}
}

// send sends a batch, and answers its questions once the leader answers or is overdue.
func (r *Relay) send(ctx context.Context, b *exchange) {
	defer r.wakeUp()
	defer r.ended()
	sent := clock.Now()
	answers := r.call(b.leader, b.m)
	overdue := time.NewTimer(b.due)
	defer overdue.Stop()
	for {
		select {
		case reply := <-answers:
			r.take(b, reply, clock.Since(sent))
			return
		case <-overdue.C:
			r.setOverdue(b.leader)
			r.refuse(b.list, b.leader)
			b.list = nil
			r.wakeUp() // Those that came meanwhile are told as well.
		case <-b.changed:
			b.changed = r.uplink.group.Changed()
			if next, _ := r.uplink.peers(); next != b.leader {
				r.lost()
				r.refuse(b.list, next)
				return
			}
		case <-ctx.Done():
			r.refuse(b.list, "")
			return
		}
	}
}

// ended notes that a batch is under way no more.
func (r *Relay) ended() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.underWay--
}

// call sends a batch. The answer is nil where the call failed.
func (r *Relay) call(leader string, m protocol.BatchMsg) <-chan *protocol.BatchReply {
	answers := make(chan *protocol.BatchReply, 1)
	go func() {
		var reply protocol.BatchReply
		if err := r.caller.Call(leader, "Uplink.Batch", m, &reply, batchTime); err != nil {
			r.uplink.log.Warn().Err(err).Str("leader", leader).Msg("a relay's batch got no answer")
			answers <- nil
			return
		}
		answers <- &reply
	}()
	return answers
}

// compose makes the batch for the questions of some gateways, and returns when its
// answer is overdue.
func (r *Relay) compose(leader string, list []*question) (protocol.BatchMsg, time.Duration) {
	r.uplink.ready()
	number, _ := r.uplink.document()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if leader != r.asked {
		r.asked, r.answerTime = leader, link.AnswerTime{}
		r.sum.Invalidate()
	}
	r.batch++
	m := protocol.BatchMsg{Relay: r.name, Life: r.life, Batch: r.batch, Number: number}
	for _, q := range list {
		r.copies.identify(&q.m)
		r.note(&q.m, now)
		m.Parts = append(m.Parts, partOf(&q.m, now.Sub(q.at)))
	}
	r.dropIdle(now)
	r.copies.ask(&m)
	sums, whole := r.sum.Changes()
	m.Sums = sums
	if !whole {
		m.Base = r.base
	}
	r.base = r.batch
	r.underWay++
	r.meters.batches.Inc(1)
	r.meters.questions.Inc(int64(len(list)))
	return m, r.answerTime.Timeout(r.slack, batchFirst)
}

// note takes what a gateway's question tells this relay. It needs r.mu.
func (r *Relay) note(m *protocol.SyncMsg, now time.Time) {
	r.gateways[m.Gateway] = now
	r.sum.SetReport(m.Gateway, place.GatewayReport{Domain: m.Domain, Running: m.Running, Distrusts: m.Distrusts})
	r.copies.done(m.Done)
	r.copies.read(m.Readings)
}

// dropIdle forgets the gateways that have not asked for gatewayKept. It needs r.mu.
func (r *Relay) dropIdle(now time.Time) {
	for name, at := range r.gateways {
		if now.Sub(at) > gatewayKept {
			r.drop(name)
		}
	}
}

// drop forgets a gateway and its part of the sums. It needs r.mu.
func (r *Relay) drop(name string) {
	delete(r.gateways, name)
	r.sum.Drop(name)
}

// take answers the questions of a batch with the leader's answer, if that counts.
func (r *Relay) take(b *exchange, reply *protocol.BatchReply, took time.Duration) {
	if reply == nil || !reply.Leads {
		r.lost()
		next := ""
		if reply != nil && reply.Leader != b.leader {
			next = reply.Leader
		}
		r.refuse(b.list, next)
		return
	}
	if err := r.renew(b, reply, took); err != nil {
		r.uplink.log.Error().Err(err).Uint64("number", reply.Number).Msg("a relay cannot read the leader's answer")
		r.refuse(b.list, b.leader)
		return
	}
	number, document := r.uplink.document()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range b.list {
		var a protocol.SyncReply
		if i >= len(reply.Answers) || r.copies.answer(&q.m, &reply.Answers[i], number, document, &a) != nil {
			a = protocol.SyncReply{Leader: b.leader}
		}
		if r.limits.Term == a.Term {
			a.Limits, a.ListLate = r.limits.Change, r.listLate
		}
		q.answer <- a
	}
}

// errOvertaken is returned for an answer of another term than that of a batch which was
// sent later and answered first.
var errOvertaken = eris.New("another leader has answered meanwhile")

// renew has the copies and sums follow the leader's answer. One that comes after the
// answer to a later batch renews only the document, sums and readings: the rest of what is
// held is newer.
func (r *Relay) renew(b *exchange, reply *protocol.BatchReply, took time.Duration) error {
	if len(reply.Document) > 0 {
		if err := r.uplink.learn(reply.Number, reply.Document); err != nil {
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
	if b.m.Batch < r.renewed {
		if reply.Term != r.copies.term {
			return errOvertaken
		}
		r.copies.hear(&b.m, reply)
		return nil
	}
	r.renewed = b.m.Batch
	if err := r.copies.renew(b.leader, reply); err != nil {
		// Answers to batches under way may hold only changes of what is dropped here: those
		// are treated as overtaken.
		r.copies, r.renewed = newCopies(r.uplink.topology), r.batch+1
		return err
	}
	r.copies.hear(&b.m, reply)
	return nil
}

// lost notes that a batch got no answer that counts: whether the leader has its sums is
// not known, so the next ones are whole.
func (r *Relay) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overdue = false
	r.sum.Invalidate()
}

// setOverdue notes that the answer to a batch is overdue.
func (r *Relay) setOverdue(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overdue = true
	r.meters.overdue.Inc(1)
	r.uplink.log.Warn().Str("leader", leader).Int("gateways", len(r.gateways)).Msg("a relay's batch is overdue")
}
