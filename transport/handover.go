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
	handOverCopies    = 2                // instances that store a repeatable request's record
	handOverLookups   = 3                // instances that are asked for a record
	handOverRetention = 10 * time.Minute // how long a record is stored
	maxHandOvers      = 4096             // records stored at the same time
	handOverTimeout   = time.Second      // for one call to another instance
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

// sendHandOver sends the record to the instances selected by rendezvous hashing of
// its key. A request that must run at most once is sent to only one.
func (g *Gateway) sendHandOver(r protocol.HandOver) bool {
	n := handOverCopies
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

// findHandOver looks up the record of a request that its caller resumes.
func (g *Gateway) findHandOver(r *protocol.Request) (protocol.HandOver, bool) {
	m := protocol.FetchHandOverMsg{Key: r.Key, Body: r.BodyDigest}
	if row, ok := g.handOvers.get(m, clock.Now()); ok {
		return row, true
	}
	if g.links == nil {
		return protocol.HandOver{}, false
	}
	for _, peer := range member.Rendezvous(g.tables.Members.Rows(), r.Key.String(), g.self.Name, handOverLookups) {
		var reply protocol.FetchHandOverReplyMsg
		err := g.links.Call(peer.Address, "HandOver.Fetch", m, &reply, handOverTimeout)
		if err == nil && reply.Found {
			return reply.HandOver, true
		}
	}
	return protocol.HandOver{}, false
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

// adopt continues a handed-over request that must run at most once. It first
// transfers the claim; if that fails, the request is not run.
func (g *Gateway) adopt(r protocol.HandOver) {
	x := g.newExchange(&r.Request, r.ID)
	x.renewOwner()
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	ok, err := g.transfer.Transfer(ctx, protocol.TransferClaimMsg{Key: r.Request.Key, From: r.Owner, To: x.owner})
	if err != nil || !ok {
		g.log.Error().Err(err).Str("key", r.Request.Key.String()).Msg("transferring a claim failed")
		g.recordOutcome(x.finishClaimMsg(protocol.MayHaveRun, nil))
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

// HandOverService handles hand-over calls from other instances.
type HandOverService struct{ g *Gateway }

// NewHandOverService returns the receiver to register under "HandOver".
func NewHandOverService(g *Gateway) *HandOverService { return &HandOverService{g: g} }

// Put accepts a hand-over record.
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

// Fetch returns a stored hand-over record.
func (s *HandOverService) Fetch(m protocol.FetchHandOverMsg, reply *protocol.FetchHandOverReplyMsg) error {
	reply.HandOver, reply.Found = s.g.handOvers.get(m, clock.Now())
	return nil
}
