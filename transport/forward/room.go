package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
	"github.com/weldstream/weldstream/coordination/resend"
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

// NoRoom implements caller.Admitter.
func (g *Gateway) NoRoom(req *fasthttp.Request, v memory.Verdict) *fasthttp.Response {
	call := g.dialect.Call(req)
	_, workspace := g.Owner(req)
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no memory is left for a body of this size").WithRetryAfter(v.Wait)
	g.meters.requests.Inc(1)
	g.meters.refused.Inc(1)
	g.meters.end(outcome{"", workspace, r.Verdict})
	g.log.Info().Str("request", call.ID).Str("workspace", workspace).Str("outcome", "refused").Str("code", string(r.Code)).Stringer("verdict", r.Verdict).
		Int("status", r.Status).Str("reason", r.Message).Int64("bytes", v.Bytes).Int64("share", v.Space).Bool("own", v.Own).Int64("held", v.Held).Int64("bound", v.Bound).
		Int64("wait", v.Wait.Milliseconds()).Msg("request")
	resp := &fasthttp.Response{}
	g.dialect.Refuse(resp, call.ID, r)
	return resp
}

// smallBody is a body that is not counted at servers: any number of slots bears it.
const smallBody = 4 << 10

// flight are the bytes at the servers of a service.
type flight struct {
	mu sync.Mutex // mu guards Flights.
	*memory.Flights
}

// bytesAt returns the bytes at the servers of a service.
func (g *Gateway) bytesAt(service string) *flight {
	if f, ok := g.flights.Load(service); ok {
		return f.(*flight)
	}
	f, loaded := g.flights.LoadOrStore(service, &flight{Flights: memory.NewFlights()})
	if !loaded {
		name := service
		_ = g.meters.registry.Register(fmt.Sprintf("servers.bytes{service=%q}", name), metrics.NewFunctionalGauge(func() int64 { return g.bytesAt(name).all() }))
		_ = g.meters.registry.Register(fmt.Sprintf("servers.bytes_limit{service=%q}", name), metrics.NewFunctionalGauge(func() int64 { return g.bytesAt(name).most() }))
	}
	return f.(*flight)
}

func (f *flight) all() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.All()
}

func (f *flight) most() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Limit()
}

// body is how many bytes of the request count at its server; 0 for a small one.
func (x *exchange) body() int64 {
	if n := len(x.in.Body()); n > smallBody {
		return int64(n)
	}
	return 0
}

// full returns the servers that have no room for the request's body.
func (x *exchange) full() []string {
	n := x.body()
	if n == 0 {
		return nil
	}
	f := x.g.bytesAt(x.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Full(n)
}

// passedOver are the servers that are not sent the request: those that had it, and those
// that have no room for its body.
func (x *exchange) passedOver() []string {
	return append(slices.Clip(x.avoid), x.full()...)
}

// noServer refuses a request that no server has room for.
func (x *exchange) noServer() *protocol.Refusal {
	f := x.g.bytesAt(x.service)
	x.log.Info().Str("service", x.service).Int64("bytes", x.body()).Int64("at_servers", f.all()).Int64("limit", f.most()).Msg("no server has room for a body")
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no server has room for a body of this size").WithRetryAfter(resend.Later(x.route.Target))
}

// crowded refuses a request for which no connection may be opened. No server is at fault.
func (x *exchange) crowded() *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "the gateway has too many connections to servers").WithRetryAfter(resend.Later(x.route.Target))
	if x.state.MayHaveRun {
		return r.WithVerdict(protocol.MayHaveRun).WithStatus(protocol.StatusBadGateway)
	}
	return r
}

// takesBytes notes that the request's body is sent to a server, and givesBytes that it
// is not held there any more.
func (t *try) takesBytes() {
	if n := t.x.body(); n > 0 {
		f := t.x.g.bytesAt(t.x.service)
		f.mu.Lock()
		defer f.mu.Unlock()
		t.falls = f.Began(t.server.ID, n)
	}
}

func (t *try) givesBytes() {
	if n := t.x.body(); n > 0 {
		f := t.x.g.bytesAt(t.x.service)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.Ended(t.server.ID, n, t.done)
	}
}

// fellOver reports whether an error says that a server's process ended, or takes nothing
// any more. A machine that is silent, and an answer that the gateway does not take, do not
// follow from the bytes that the server has.
func fellOver(err error) bool {
	var timeout net.Error
	return !errors.Is(err, errTooLarge) && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// fell notes that the server ended the request without an answer. One that was told to
// stop has a reason of its own.
func (t *try) fell(err error) {
	if t.x.body() == 0 || !fellOver(err) {
		return
	}
	if s := t.x.g.view.Load().Find(t.server.ID); s != nil && s.Leaving {
		return
	}
	f := t.x.g.bytesAt(t.x.service)
	f.mu.Lock()
	bytes, lower := f.Bytes()[t.server.ID], f.Fell(t.server.ID, t.falls)
	limit := f.Limit()
	f.mu.Unlock()
	if lower {
		t.x.log.Warn().Str("server", t.server.ID).Str("service", t.x.service).Int64("bytes", bytes).Int64("limit", limit).Msg("server failed with many bytes under way")
	}
}

// FlightRow is what the servers of a service have of this gateway, for people.
type FlightRow struct {
	Limit   int64            `json:"limit"` // Limit is what one server gets, in bytes; 0 before one failed with many.
	Servers map[string]int64 `json:"servers"`
}

// Flights returns the bytes at servers, by service.
func (g *Gateway) Flights() map[string]FlightRow {
	out := map[string]FlightRow{}
	g.flights.Range(func(service, value any) bool {
		f := value.(*flight)
		f.mu.Lock()
		defer f.mu.Unlock()
		out[service.(string)] = FlightRow{Limit: f.Limit(), Servers: f.Bytes()}
		return true
	})
	return out
}

// answerPiece is what an answer begins with that tells no length. Answers that fit into
// it, as most do, are a part of what the connection costs.
const answerPiece = 16 << 10

// errNoRoom ends an answer that has no more room.
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
		if err := x.room(size); err != nil {
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
	size := memory.Grown(cap(data), answerPiece, maxAnswer+1)
	if size <= cap(data) {
		return nil, errTooLarge
	}
	if err := x.room(size - cap(data)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), data...), nil
}

// room takes bytes for the answer.
func (x *exchange) room(n int) error {
	v := x.answer.Hold(n)
	if v.Taken {
		return nil
	}
	x.log.Info().Int64("bytes", v.Bytes).Int64("share", v.Space).Bool("own", v.Own).Int64("held", v.Held).Int64("bound", v.Bound).Msg("no room for an answer")
	return errNoRoom
}

// unread ends an attempt whose answer found no room. The server is not at fault, and
// another one's answer would find none either.
func (t *try) unread() *protocol.Refusal {
	t.conn.Close()
	return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeMemory, "no memory is left for the answer").WithVerdict(protocol.MayHaveRun)
}
