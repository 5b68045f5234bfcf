package forward

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/tcp"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// Owner implements caller.Admitter. An unknown key belongs to no workspace.
func (g *Gateway) Owner(req *fasthttp.Request) (request, workspace string) {
	call := g.dialect.Call(req)
	if ix := g.index.Load(); ix != nil {
		if w := ix.Workspace(call.Secret); w != nil {
			workspace = w.Name
		}
	}
	return call.ID, workspace
}

// OutOfMemoryResponse implements caller.Admitter.
func (g *Gateway) OutOfMemoryResponse(req *fasthttp.Request, decision memory.Decision) *fasthttp.Response {
	call := g.dialect.Call(req)
	_, workspace := g.Owner(req)
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no memory is left for a body of this size").WithRetryAfter(decision.RetryAfter)
	g.meters.requests.Inc(1)
	g.meters.refused.Inc(1)
	g.meters.countOutcome(outcome{"", workspace, r.Verdict})
	g.log.Info().Str("request", call.ID).Str("workspace", workspace).Str("outcome", "refused").Str("code", string(r.Code)).Stringer("verdict", r.Verdict).
		Int("status", r.Status).Str("reason", r.Message).Int64("bytes", decision.Bytes).Int64("share", decision.Workspace).Bool("own", decision.OverShare).Int64("held", decision.Held).Int64("bound", decision.Bound).
		Int64("wait", decision.RetryAfter.Milliseconds()).Msg("request")
	resp := &fasthttp.Response{}
	g.dialect.Refuse(resp, call.ID, r)
	return resp
}

// uncountedBodyBytes is the size of the largest body that is not counted at servers: as many
// of them as a server has slots do not exhaust its memory.
const uncountedBodyBytes = 4 << 10

// inFlight counts the body bytes at the servers of a service.
type inFlight struct {
	mu sync.Mutex // mu guards the embedded counts.
	*memory.InFlight
}

// inFlightAt returns the counts of a service. The first call for a service registers its
// gauges.
func (g *Gateway) inFlightAt(service string) *inFlight {
	if f, ok := g.inFlight.Load(service); ok {
		return f.(*inFlight)
	}
	f, loaded := g.inFlight.LoadOrStore(service, &inFlight{InFlight: memory.NewInFlight()})
	if !loaded {
		name := service
		_ = g.meters.registry.Register(fmt.Sprintf("servers.bytes{service=%q}", name), metrics.NewFunctionalGauge(func() int64 { return g.inFlightAt(name).totalBytes() }))
		_ = g.meters.registry.Register(fmt.Sprintf("servers.bytes_limit{service=%q}", name), metrics.NewFunctionalGauge(func() int64 { return g.inFlightAt(name).limitBytes() }))
	}
	return f.(*inFlight)
}

func (f *inFlight) totalBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.TotalBytes()
}

func (f *inFlight) limitBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Limit()
}

// countedBodyBytes returns the body size that is counted at the request's server; 0 for a
// small body.
func (x *exchange) countedBodyBytes() int64 {
	if n := len(x.in.Body()); n > uncountedBodyBytes {
		return int64(n)
	}
	return 0
}

// fullServers returns the servers that have no memory left for the request's body.
func (x *exchange) fullServers() []string {
	n := x.countedBodyBytes()
	if n == 0 {
		return nil
	}
	f := x.g.inFlightAt(x.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Full(n)
}

// excluded returns the servers to which the request is not sent: those that had it before,
// those without memory for its body, those that accept no requests at present, and those that are
// not reached.
func (x *exchange) excluded() []string {
	return slices.Concat(x.tried, x.fullServers(), x.unavailable, x.g.lostServers(x.service))
}

// refuseServersFull refuses a request whose body fits no server.
func (x *exchange) refuseServersFull() *protocol.Refusal {
	f := x.g.inFlightAt(x.service)
	x.log.Info().Str("service", x.service).Int64("bytes", x.countedBodyBytes()).Int64("at_servers", f.totalBytes()).Int64("limit", f.limitBytes()).Msg("no server has memory for a body")
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no server has room for a body of this size").WithRetryAfter(resend.RetryAfter(x.route.Target))
}

// refuseNoConnection refuses a request for which no connection may be opened. This is not a
// fault of any server.
func (x *exchange) refuseNoConnection() *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "the gateway has too many connections to servers").WithRetryAfter(resend.RetryAfter(x.route.Target))
	if x.state.MayHaveRun {
		return r.WithVerdict(protocol.MayHaveRun).WithStatus(protocol.StatusBadGateway)
	}
	return r
}

// addBodyInFlight counts the request's body as in flight at its server.
func (t *serverAttempt) addBodyInFlight() {
	if n := t.x.countedBodyBytes(); n > 0 {
		f := t.x.g.inFlightAt(t.x.service)
		f.mu.Lock()
		defer f.mu.Unlock()
		t.crashesAtSend = f.RequestStarted(t.server.ID, n)
	}
}

// removeBodyInFlight ends the count of the request's body, once the server has finished with
// the request.
func (t *serverAttempt) removeBodyInFlight() {
	if n := t.x.countedBodyBytes(); n > 0 {
		f := t.x.g.inFlightAt(t.x.service)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.RequestEnded(t.server.ID, n, t.complete)
	}
}

// isCrash reports whether an error can be caused by the bytes in flight at a server: its
// process terminated, or it no longer reads a body. A time-out (an unreachable machine), an answer too
// large for the gateway and a malformed one have other causes.
func isCrash(err error) bool {
	return !errors.Is(err, errTooLarge) && !errors.Is(err, backend.ErrMalformed) && tcp.EndedByPeer(err)
}

// recordBodyCrash lowers the limit of body bytes if the server ended the request as in a
// crash. A leaving server ends requests because it leaves, which says nothing about its
// memory.
func (t *serverAttempt) recordBodyCrash(err error) {
	if t.x.countedBodyBytes() == 0 || !isCrash(err) || t.x.g.pathSuspected(t.x.service) {
		return
	}
	if s := t.x.g.view.Load().Find(t.server.ID); s != nil && s.Leaving {
		return
	}
	f := t.x.g.inFlightAt(t.x.service)
	f.mu.Lock()
	bytes, lowered := f.Bytes()[t.server.ID], f.Crashed(t.server.ID, t.crashesAtSend)
	limit := f.Limit()
	f.mu.Unlock()
	if lowered {
		t.x.log.Warn().Str("server", t.server.ID).Str("service", t.x.service).Int64("bytes", bytes).Int64("limit", limit).Msg("server crashed with large bodies in flight")
	}
}

// InFlightRow is what this gateway has in flight at the servers of a service, as shown in
// dumps.
type InFlightRow struct {
	Limit   int64            `json:"limit"` // Limit is the limit in bytes for one server; 0 before a crash with large bodies in flight.
	Servers map[string]int64 `json:"servers"`
}

// InFlight returns the body bytes in flight at servers, by service.
func (g *Gateway) InFlight() map[string]InFlightRow {
	out := map[string]InFlightRow{}
	g.inFlight.Range(func(service, value any) bool {
		f := value.(*inFlight)
		f.mu.Lock()
		defer f.mu.Unlock()
		out[service.(string)] = InFlightRow{Limit: f.Limit(), Servers: f.Bytes()}
		return true
	})
	return out
}

// answerBufferBytes is the size of the first buffer for an answer of unknown length. Most
// answers fit into it; it is accounted for as part of the connection's cost.
const answerBufferBytes = 16 << 10

// errOutOfMemory ends the reading of an answer that exceeds the memory account.
var errOutOfMemory = errors.New("no memory is left for the answer")

// readWhole reads an answer to its end, reserving memory before each buffer is allocated. If
// the answer's length is known, it is reserved at once. With an error it returns what was read.
func (x *exchange) readWhole(body io.Reader, length int) ([]byte, error) {
	size := answerBufferBytes
	if length >= 0 {
		size = length + 1 // The extra byte detects the end of the body.
	}
	if size > maxAnswerBytes+1 {
		return nil, errTooLarge
	}
	if size > answerBufferBytes {
		if err := x.reserveMemory(size); err != nil {
			return nil, err
		}
	}
	data := make([]byte, 0, size)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if len(data) < cap(data) {
			continue
		}
		if data, err = x.growAnswer(data); err != nil {
			return nil, err
		}
	}
}

// growAnswer returns the answer in a larger buffer.
func (x *exchange) growAnswer(data []byte) ([]byte, error) {
	size := memory.GrownSize(cap(data), answerBufferBytes, maxAnswerBytes+1)
	if size <= cap(data) {
		return nil, errTooLarge
	}
	if err := x.reserveMemory(size - cap(data)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), data...), nil
}

// reserveEvent makes room for further bytes of an incomplete event, and reserves memory for it if the
// event is large. It returns errTooLarge for an event that is larger than an answer may be.
func (x *exchange) reserveEvent(n int) error {
	e := &x.events
	if len(e.partial) == 0 && cap(e.partial) > answerBufferBytes {
		x.freeEvent()
	}
	for len(e.partial)+n > max(cap(e.partial), answerBufferBytes) {
		grown, err := x.growAnswer(e.partial)
		if err != nil {
			return err
		}
		e.partial = grown
	}
	return nil
}

// freeEvent drops an incomplete event and returns the memory that was reserved for it.
func (x *exchange) freeEvent() {
	x.events.dropPartial()
	x.events.partial = nil
	x.answer.Release()
}

// reserveMemory reserves bytes for the answer in the memory account.
func (x *exchange) reserveMemory(n int) error {
	decision := x.answer.Reserve(n)
	if decision.Granted {
		return nil
	}
	x.log.Info().Int64("bytes", decision.Bytes).Int64("share", decision.Workspace).Bool("own", decision.OverShare).Int64("held", decision.Held).Int64("bound", decision.Bound).Msg("not enough memory for an answer")
	return errOutOfMemory
}

// refuseForAnswerMemory ends an attempt whose answer exceeds the memory account. The server
// is not at fault, and the answer of another server would not fit either.
func (t *serverAttempt) refuseForAnswerMemory() *protocol.Refusal {
	t.conn.Close()
	return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeMemory, "no memory is left for the answer").WithVerdict(protocol.MayHaveRun)
}
