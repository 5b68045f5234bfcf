package transport

import (
	"context"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	handOverPeers   = 2                // instances that keep a repeatable request's record
	handOverAsk     = 3                // instances that are asked for one
	handOverKeep    = 10 * time.Minute // how long a record is kept
	handOverMost    = 4096             // records kept at once
	handOverTimeout = time.Second      // for one call to another instance
)

// Transferrer gives a claim to another owner; the claims group can.
type Transferrer interface {
	Transfer(ctx context.Context, m protocol.TransferClaimMsg) (bool, error)
}

// handOvers keeps what leaving instances gave to this one.
type handOvers struct {
	mu   sync.Mutex
	rows map[protocol.Key]keptHandOver
}

type keptHandOver struct {
	protocol.HandOver
	until time.Time
}

func newHandOvers() *handOvers { return &handOvers{rows: map[protocol.Key]keptHandOver{}} }

func (h *handOvers) put(r protocol.HandOver, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, row := range h.rows {
		if now.After(row.until) {
			delete(h.rows, key)
		}
	}
	if len(h.rows) < handOverMost {
		h.rows[r.Request.Key] = keptHandOver{HandOver: r, until: now.Add(handOverKeep)}
	}
}

func (h *handOvers) get(m protocol.FetchHandOverMsg, now time.Time) (protocol.HandOver, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, ok := h.rows[m.Key]
	if !ok || row.Request.BodyDigest != m.Body || now.After(row.until) {
		return protocol.HandOver{}, false
	}
	return row.HandOver, true
}

// HandOverAll ends every request in progress here and gives it to other
// instances: the caller of a repeatable one resumes anywhere with its key and
// last event; one that must run at most once is run on by its new owner, where
// the caller's resend finds it.
func (g *Gateway) HandOverAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Warn().Int("requests", len(g.exchanges)).Msg("handing over what is in progress")
	for _, x := range g.exchanges {
		x.post(attempt.HandOverMsg{})
	}
}

// handOver gives the request away once its server has ended it.
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
	given := x.g.give(record)
	x.claimed = x.claimed && !given // The new owner settles the claim.
	x.log.Info().Bool("given", given).Int("tokens", len(x.ends)).Msg("request handed over")
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeLeaving, "the instance is leaving: resume through another one with the same %s and the last event", protocol.HeaderKey)
	r = r.WithRetryAfter(time.Millisecond)
	if !x.request.Repeatable || len(x.ends) > 0 {
		r = r.WithVerdict(protocol.MayHaveRun)
	}
	x.apply(attempt.StopMsg{Refusal: r})
}

// give sends the record to the instances that its key chooses. A request that
// must run at most once goes to one only.
func (g *Gateway) give(r protocol.HandOver) bool {
	n := handOverPeers
	if r.Claimed {
		n = 1
	}
	given := false
	for _, peer := range member.Rendezvous(g.tables.Members.Rows(), r.Request.Key.String(), g.self.Name, n) {
		var ok bool
		err := g.links.Call(peer.Address, "HandOver.Put", r, &ok, handOverTimeout)
		if err != nil {
			g.log.Warn().Err(err).Str("peer", peer.Name).Msg("hand-over failed")
		}
		given = given || (err == nil && ok)
	}
	return given
}

// findHandOver looks for a record of a request that its caller resumes.
func (g *Gateway) findHandOver(r *protocol.Request) (protocol.HandOver, bool) {
	m := protocol.FetchHandOverMsg{Key: r.Key, Body: r.BodyDigest}
	if row, ok := g.handOvers.get(m, clock.Now()); ok {
		return row, true
	}
	if g.links == nil {
		return protocol.HandOver{}, false
	}
	for _, peer := range member.Rendezvous(g.tables.Members.Rows(), r.Key.String(), g.self.Name, handOverAsk) {
		var reply protocol.FetchHandOverReplyMsg
		err := g.links.Call(peer.Address, "HandOver.Fetch", m, &reply, handOverTimeout)
		if err == nil && reply.Found {
			return reply.HandOver, true
		}
	}
	return protocol.HandOver{}, false
}

// resume continues a request from a record: the answer so far is known, and
// what the caller lacks of it is due at once.
func (x *exchange) resume(r protocol.HandOver) {
	held := len(r.Ends)
	x.text.WriteString(r.Text)
	x.ends = r.Ends
	x.moveID, x.movedAt = r.ID, r.Attempt
	x.state = attempt.New(x.request.Repeatable, x.g.settings.Limits.Attempts, max(x.request.Resume, held), held)
	x.state.MoveFrom, x.state.MoveAttempt = r.Server, r.Attempt
	x.state.Attempt, x.state.AttemptsSent = r.Attempt, r.Attempt
	x.state.MaxAttempts += r.Attempt
	if from := x.request.Resume; from < held {
		x.ready = append(x.ready, attempt.EmitCmd{
			Chunk:  attempt.ChunkMsg{Offset: from, Tokens: held - from, Text: cutText(r.Text, r.Ends, from)},
			Offset: held,
		})
		x.emitted = true
	}
	x.g.metrics.resumed.Inc(1)
}

// cutText returns the text behind a token offset.
func cutText(text string, ends []uint32, from int) string {
	if from <= 0 || from > len(ends) {
		return text
	}
	return text[ends[from-1]:]
}

// adopt runs a request on that must run at most once and was handed over. Its
// claim changes hands first: if that fails, it is not run.
func (g *Gateway) adopt(r protocol.HandOver) {
	x := g.newExchange(&r.Request, r.ID)
	x.newOwner()
	ctx, cancel := context.WithTimeout(context.Background(), claimWait)
	defer cancel()
	ok, err := g.transfer.Transfer(ctx, protocol.TransferClaimMsg{Key: r.Request.Key, From: r.Owner, To: x.owner})
	if err != nil || !ok {
		g.log.Error().Err(err).Str("key", r.Request.Key.String()).Msg("a claim could not be taken over")
		g.record(x.finishOf(protocol.MayHaveRun, nil))
		return
	}
	x.claimed = true
	if !g.tables.Streams.Begin(x.row, g.settings.Limits.Streams) {
		g.record(x.finishOf(protocol.MayHaveRun, nil))
		return
	}
	g.addExchange(x)
	x.resume(r)
	end := x.watch()
	x.enterPool(true)
	x.apply(attempt.StartMsg{})
	x.finishAlone()
	x.settle()
	end()
	x.leavePool()
	g.removeExchange(x)
	x.report()
}

// HandOverService answers the other instances' calls for hand-overs.
type HandOverService struct{ g *Gateway }

// NewHandOverService returns the receiver to register under "HandOver".
func NewHandOverService(g *Gateway) *HandOverService { return &HandOverService{g: g} }

// Put takes a request over.
func (s *HandOverService) Put(r protocol.HandOver, ok *bool) error {
	if s.g.stopping.Load() {
		return errStopping
	}
	*ok = true
	if r.Claimed {
		go s.g.adopt(r)
		return nil
	}
	s.g.handOvers.put(r, clock.Now())
	return nil
}

// Fetch returns a request that was handed over.
func (s *HandOverService) Fetch(m protocol.FetchHandOverMsg, reply *protocol.FetchHandOverReplyMsg) error {
	reply.HandOver, reply.Found = s.g.handOvers.get(m, clock.Now())
	return nil
}
