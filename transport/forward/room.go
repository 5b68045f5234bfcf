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
)

// Owner implements caller.Admitter. A key that is not known belongs to no workspace.
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
func (g *Gateway) OutOfMemoryResponse(req *fasthttp.Request, v memory.Decision) *fasthttp.Response {
	call := g.dialect.Call(req)
	_, workspace := g.Owner(req)
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no memory is left for a body of this size").WithRetryAfter(v.RetryAfter)
	g.meters.requests.Inc(1)
	g.meters.refused.Inc(1)
	g.meters.end(outcome{"", workspace, r.Verdict})
	g.log.Info().Str("request", call.ID).Str("workspace", workspace).Str("outcome", "refused").Str("code", string(r.Code)).Stringer("verdict", r.Verdict).
		Int("status", r.Status).Str("reason", r.Message).Int64("bytes", v.Bytes).Int64("share", v.Workspace).Bool("own", v.OverShare).Int64("held", v.Held).Int64("bound", v.Bound).
		Int64("wait", v.RetryAfter.Milliseconds()).Msg("request")
	resp := &fasthttp.Response{}
	g.dialect.Refuse(resp, call.ID, r)
	return resp
}

// smallBody, in bytes, is the largest body that is not counted at servers: as many of
// them as a server has slots do not use up its memory.
const smallBody = 4 << 10

// inFlight counts the bytes at the servers of a service.
type inFlight struct {
	mu sync.Mutex // mu guards the embedded counts.
	*memory.InFlight
}

// bytesAt returns the counts of a service, and registers its gauges with the first call.
func (g *Gateway) bytesAt(service string) *inFlight {
	if f, ok := g.inFlight.Load(service); ok {
		return f.(*inFlight)
	}
	f, loaded := g.inFlight.LoadOrStore(service, &inFlight{InFlight: memory.NewInFlight()})
	if !loaded {
		name := service
		_ = g.meters.registry.Register(fmt.Sprintf("servers.bytes{service=%q}", name), metrics.NewFunctionalGauge(func() int64 { return g.bytesAt(name).all() }))
		_ = g.meters.registry.Register(fmt.Sprintf("servers.bytes_limit{service=%q}", name), metrics.NewFunctionalGauge(func() int64 { return g.bytesAt(name).most() }))
	}
	return f.(*inFlight)
}

func (f *inFlight) all() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.TotalBytes()
}

func (f *inFlight) most() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Limit()
}

// countedBody is how many bytes of the request count at its server; 0 for a small one.
func (x *exchange) countedBody() int64 {
	if n := len(x.in.Body()); n > smallBody {
		return int64(n)
	}
	return 0
}

// fullServers returns the servers that have no room for the request's body.
func (x *exchange) fullServers() []string {
	n := x.countedBody()
	if n == 0 {
		return nil
	}
	f := x.g.bytesAt(x.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Full(n)
}

// excluded are the servers that are not sent the request: those that had it, those that
// have no room for its body, and those that take nothing now.
func (x *exchange) excluded() []string {
	return slices.Concat(x.avoid, x.fullServers(), x.closed)
}

// noRoomAtServers refuses a request that no server has room for.
func (x *exchange) noRoomAtServers() *protocol.Refusal {
	f := x.g.bytesAt(x.service)
	x.log.Info().Str("service", x.service).Int64("bytes", x.countedBody()).Int64("at_servers", f.all()).Int64("limit", f.most()).Msg("no server has room for a body")
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no server has room for a body of this size").WithRetryAfter(resend.RetryAfter(x.route.Target))
}

// noConnection refuses a request for which no connection may be opened. No server is at fault.
func (x *exchange) noConnection() *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "the gateway has too many connections to servers").WithRetryAfter(resend.RetryAfter(x.route.Target))
	if x.state.MayHaveRun {
		return r.WithVerdict(protocol.MayHaveRun).WithStatus(protocol.StatusBadGateway)
	}
	return r
}

// beginBytes counts the request's body as in flight at its server.
func (t *try) beginBytes() {
	if n := t.x.countedBody(); n > 0 {
		f := t.x.g.bytesAt(t.x.service)
		f.mu.Lock()
		defer f.mu.Unlock()
		t.crashes = f.RequestStarted(t.server.ID, n)
	}
}

// endBytes counts it no longer, once the server has done with the request.
func (t *try) endBytes() {
	if n := t.x.countedBody(); n > 0 {
		f := t.x.g.bytesAt(t.x.service)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.RequestEnded(t.server.ID, n, t.done)
	}
}

// isCrash reports whether an error can follow from the bytes that a server has: its
// process ended, or takes no more of a body. A time-out (an unreachable machine) and an
// answer too large for the gateway have other causes.
func isCrash(err error) bool { return !errors.Is(err, errTooLarge) && tcp.EndedByPeer(err) }

// crashed lowers the limit of bytes if the server ended the request as a crash does. A
// server that is leaving ends requests for that reason, and teaches nothing.
func (t *try) crashed(err error) {
	if t.x.countedBody() == 0 || !isCrash(err) {
		return
	}
	if s := t.x.g.view.Load().Find(t.server.ID); s != nil && s.Leaving {
		return
	}
	f := t.x.g.bytesAt(t.x.service)
	f.mu.Lock()
	bytes, lower := f.Bytes()[t.server.ID], f.Crashed(t.server.ID, t.crashes)
	limit := f.Limit()
	f.mu.Unlock()
	if lower {
		t.x.log.Warn().Str("server", t.server.ID).Str("service", t.x.service).Int64("bytes", bytes).Int64("limit", limit).Msg("server failed with many bytes under way")
	}
}

// InFlightRow is what this gateway has in flight at the servers of a service, as dumps show it.
type InFlightRow struct {
	Limit   int64            `json:"limit"` // Limit is what one server gets, in bytes; 0 before one failed with many.
	Servers map[string]int64 `json:"servers"`
}

// InFlight returns the bytes at servers, by service.
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

// answerPiece, in bytes, is the first buffer of an answer without a length. Answers that fit into
// it, as most do, are a part of what the connection costs.
const answerPiece = 16 << 10

// errNoRoom ends the reading of an answer that the account of memory has no room for.
var errNoRoom = errors.New("no memory is left for the answer")

// readWhole reads an answer to its end, each piece taken from the account first. The
// answer's length, where it is told, is taken at once.
func (x *exchange) readWhole(body io.Reader, length int) ([]byte, error) {
	size := answerPiece
	if length >= 0 {
		size = length + 1 // The last byte finds the end.
	}
	if size > maxAnswer+1 {
		return nil, errTooLarge
	}
	if size > answerPiece {
		if err := x.takeRoom(size); err != nil {
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
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		if data, err = x.grow(data); err != nil {
			return nil, err
		}
	}
}

// grow returns the answer with more room.
func (x *exchange) grow(data []byte) ([]byte, error) {
	size := memory.GrownSize(cap(data), answerPiece, maxAnswer+1)
	if size <= cap(data) {
		return nil, errTooLarge
	}
	if err := x.takeRoom(size - cap(data)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), data...), nil
}

// takeRoom takes bytes for the answer from the account of memory.
func (x *exchange) takeRoom(n int) error {
	v := x.answer.Reserve(n)
	if v.Granted {
		return nil
	}
	x.log.Info().Int64("bytes", v.Bytes).Int64("share", v.Workspace).Bool("own", v.OverShare).Int64("held", v.Held).Int64("bound", v.Bound).Msg("no room for an answer")
	return errNoRoom
}

// noRoomForAnswer ends an attempt whose answer does not fit into the account. The server
// is not at fault, and the answer of another one would not fit either.
func (t *try) noRoomForAnswer() *protocol.Refusal {
	t.conn.Close()
	return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeMemory, "no memory is left for the answer").WithVerdict(protocol.MayHaveRun)
}
