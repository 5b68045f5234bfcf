package transport

import (
	"context"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

const (
	handOverCopies    = 2                // instances that store a repeatable request's record
	handOverLookups   = 3                // instances that are asked for a record
	maxHandOverOffers = 6                // instances that are offered a record
	handOverRetention = 10 * time.Minute // how long a record is stored
	maxHandOvers      = 4096             // records stored at the same time
	handOverTimeout   = time.Second      // for finding instances that accept a record, or one that has it
	// adoptReplyDelay is how long the answer to an offered claim waits for the transfer of the
	// claim, so that a caller that resumes finds the new owner.
	adoptReplyDelay = handOverTimeout / 2
	// adoptRetryInterval is the delay before a transfer whose outcome is not known is repeated.
	adoptRetryInterval = 100 * time.Millisecond
)

// Transferrer changes the owner of a claim; the claims group implements it.
type Transferrer interface {
	Transfer(ctx context.Context, m protocol.TransferClaimMsg) (bool, error)
}

// handOverStore stores the hand-over records received from leaving instances.
type handOverStore struct {
	mu   sync.Mutex
	rows map[protocol.Key]storedHandOver
}

type storedHandOver struct {
	protocol.HandOver
	until time.Time
}

func newHandOvers() *handOverStore { return &handOverStore{rows: map[protocol.Key]storedHandOver{}} }

func (h *handOverStore) put(r protocol.HandOver, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, row := range h.rows {
		if now.After(row.until) {
			delete(h.rows, key)
		}
	}
	if len(h.rows) < maxHandOvers {
		h.rows[r.Request.Key] = storedHandOver{HandOver: r, until: now.Add(handOverRetention)}
	}
}

func (h *handOverStore) get(m protocol.FetchHandOverMsg, now time.Time) (protocol.HandOver, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, ok := h.rows[m.Key]
	if !ok || row.Request.BodyDigest != m.Body || now.After(row.until) {
		return protocol.HandOver{}, false
	}
	return row.HandOver, true
}

// HandOverAll ends every request in progress here and hands it over to other
// instances. The caller of a repeatable request resumes on any instance with its
// key and last event ID. A request that must run at most once is continued by its
// new owner, where the caller's resend finds it.
func (g *Gateway) HandOverAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Warn().Int("requests", len(g.exchanges)).Msg("handing over the requests in progress")
	for _, x := range g.exchanges {
		x.post(attempt.HandOverMsg{})
	}
}

// handOver sends the request's record to other instances after its server has
// ended it.
func (x *exchange) handOver(cmd attempt.HandOverCmd) {
	record := protocol.HandOver{
		Request: *x.request,
		ID:      x.row.Request,
		Attempt: cmd.Attempt,
		Text:    x.text.String(),
		Ends:    x.ends,
		Claimed: x.claimed,
		Owner:   x.owner,
	}
	if cmd.Ended {
		record.Server = cmd.Server
	}
	given := x.g.sendHandOver(record)
	x.claimed = x.claimed && !given // The new owner records the outcome.
	x.log.Info().Bool("given", given).Int("tokens", len(x.ends)).Msg("request handed over")
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeLeaving, "the instance is leaving: resume through another one with the same %s and the last event", protocol.HeaderKey)
	r = r.WithRetryAfter(time.Millisecond)
	if !x.request.Repeatable || len(x.ends) > 0 {
		r = r.WithVerdict(protocol.MayHaveRun)
	}
	x.apply(attempt.StopMsg{Refusal: r})
}

// sendHandOver offers the record to instances in the order of rendezvous hashing of its
// key, until enough of them have accepted it: one for a request that must run at most once.
// It reports whether any has. A claim has one owner at a time, so a second offer of the
// same claim does no harm.
func (g *Gateway) sendHandOver(r protocol.HandOver) bool {
	copies := handOverCopies
	if r.Claimed {
		copies = 1
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	accepted := firstAnswers(ctx, g.rankedPeers(r.Request.Key, maxHandOverOffers), copies, func(peer state.MemberRow) (string, bool) {
		var ok bool
		err := g.links.Call(peer.Address, "HandOver.Put", r, &ok, handOverTimeout)
		if err != nil || !ok {
			g.log.Warn().Err(err).Str("key", r.Request.Key.String()).Str("peer", peer.Name).Msg("hand-over not accepted")
		}
		return peer.Name, err == nil && ok
	})
	g.log.Info().Str("key", r.Request.Key.String()).Strs("accepted_by", accepted).Msg("hand-over offered")
	return len(accepted) > 0
}

// rankedPeers returns up to n live peers in the order of rendezvous hashing of a key.
func (g *Gateway) rankedPeers(key protocol.Key, n int) []state.MemberRow {
	return member.Rendezvous(g.tables.Members.Rows(), key.String(), g.self.Name, n)
}

// findHandOver looks up the record of a request that its caller resumes.
func (g *Gateway) findHandOver(r *protocol.Request) (protocol.HandOver, bool) {
	m := protocol.FetchHandOverMsg{Key: r.Key, Body: r.BodyDigest}
	if row, ok := g.handOvers.get(m, clock.Now()); ok {
		return row, true
	}
	if g.links == nil {
		return protocol.HandOver{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	found := firstAnswers(ctx, g.rankedPeers(r.Key, handOverLookups), 1, func(peer state.MemberRow) (protocol.HandOver, bool) {
		var reply protocol.FetchHandOverReplyMsg
		if err := g.links.Call(peer.Address, "HandOver.Fetch", m, &reply, handOverTimeout); err != nil {
			g.log.Debug().Err(err).Str("peer", peer.Name).Msg("hand-over record not fetched")
			return protocol.HandOver{}, false
		}
		return reply.HandOver, reply.Found
	})
	if len(found) == 0 {
		return protocol.HandOver{}, false
	}
	return found[0], true
}

// resume continues a request from its record. The part of the recorded answer that
// the caller has not received is ready to be written immediately.
func (x *exchange) resume(r protocol.HandOver) {
	held := len(r.Ends)
	x.text.WriteString(r.Text)
	x.ends = r.Ends
	x.importID, x.importAttempt = r.ID, r.Attempt
	x.state = attempt.New(x.request.Repeatable, x.g.settings.Limits.Attempts, max(x.request.Resume, held), held)
	x.state.MoveFrom, x.state.MoveAttempt = r.Server, r.Attempt
	x.state.Attempt, x.state.AttemptsSent = r.Attempt, r.Attempt
	x.state.MaxAttempts += r.Attempt
	if from := x.request.Resume; from < held {
		x.ready = append(x.ready, attempt.EmitCmd{
			Chunk:  attempt.ChunkMsg{Offset: from, Tokens: held - from, Text: textAfter(r.Text, r.Ends, from)},
			Offset: held,
		})
		x.emitted = true
	}
	x.g.metrics.resumed.Inc(1)
}

// textAfter returns the text after a token offset.
func textAfter(text string, ends []uint32, from int) string {
	if from <= 0 || from > len(ends) {
		return text
	}
	return text[ends[from-1]:]
}

// adopt continues a handed-over request that must run at most once, after it has taken over
// the claim; otherwise the request is not run. It sends the outcome of the transfer to
// transferred, which needs room for it.
func (g *Gateway) adopt(r protocol.HandOver, transferred chan<- bool) {
	x := g.newExchange(&r.Request, r.ID)
	x.renewOwner()
	ok := x.takeOverClaim(r.Owner)
	transferred <- ok
	if !ok {
		return
	}
	x.claimed = true
	if !g.tables.Streams.Begin(x.row, g.settings.Limits.Streams) {
		g.recordOutcome(x.finishClaimMsg(protocol.MayHaveRun, nil))
		return
	}
	g.addExchange(x)
	x.resume(r)
	end := x.watch()
	x.requestSlot(true)
	x.apply(attempt.StartMsg{})
	x.finishWithoutCaller()
	x.settleClaim()
	end()
	x.releaseSlot()
	g.removeExchange(x)
	x.report()
}

// takeOverClaim transfers the claim from its former owner to this exchange, and reports
// whether this exchange holds it. A transfer whose outcome is not known, as while no replica
// leads, is repeated until the request's deadline.
func (x *exchange) takeOverClaim(from protocol.Owner) bool {
	m := protocol.TransferClaimMsg{Key: x.request.Key, From: from, To: x.owner}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		ok, err := x.g.transfer.Transfer(ctx, m)
		cancel()
		switch {
		case err == nil && !ok:
			x.log.Warn().Str("from", from.Instance).Msg("claim not transferred: another instance has taken it over, or its outcome is recorded")
			return false
		case err == nil:
			return true
		case clock.Until(x.request.Deadline) <= adoptRetryInterval:
			x.log.Error().Err(err).Str("from", from.Instance).Msg("claim not transferred by the request's deadline")
			x.g.recordOutcome(x.finishClaimMsg(protocol.MayHaveRun, nil)) // The transfer may have succeeded despite the error.
			return false
		}
		x.log.Warn().Err(err).Str("from", from.Instance).Msg("outcome of a claim's transfer not known: repeating it")
		time.Sleep(adoptRetryInterval)
	}
}

// HandOverService handles hand-over calls from other instances.
type HandOverService struct{ g *Gateway }

// NewHandOverService returns the receiver to register under "HandOver".
func NewHandOverService(g *Gateway) *HandOverService { return &HandOverService{g: g} }

// Put accepts a hand-over record. For a claim, ok is false if this instance cannot take the
// claim over; after adoptReplyDelay it is true though the transfer is still in progress.
func (s *HandOverService) Put(r protocol.HandOver, ok *bool) error {
	if s.g.stopping.Load() {
		return errStopping
	}
	*ok = true
	if !r.Claimed {
		s.g.handOvers.put(r, clock.Now())
		return nil
	}
	transferred := make(chan bool, 1)
	go s.g.adopt(r, transferred)
	delay := time.NewTimer(adoptReplyDelay)
	defer delay.Stop()
	select {
	case *ok = <-transferred:
	case <-delay.C:
	}
	return nil
}

// Fetch returns a stored hand-over record.
func (s *HandOverService) Fetch(m protocol.FetchHandOverMsg, reply *protocol.FetchHandOverReplyMsg) error {
	reply.HandOver, reply.Found = s.g.handOvers.get(m, clock.Now())
	return nil
}
