package forward

import (
	"context"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// gatherBroken is for how long the broken connections of one server are gathered before
// it is probed: a process that ends breaks all of them within 3 ms, as the output of nine
// gateways showed.
const gatherBroken = 20 * time.Millisecond

// crashes are servers whose connections broke a moment ago, with the requests that were
// there.
type crashes struct {
	mu     sync.Mutex // mu guards broken.
	broken map[string][]brokenRun
}

// brokenRun is a request whose connection broke.
type brokenRun struct {
	print protocol.Fingerprint
	sent  time.Time
}

// add notes a request whose connection broke, and reports whether it is the first of its
// server, which is then to be probed.
func (c *crashes) add(server string, r brokenRun) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = map[string][]brokenRun{}
	}
	list, ok := c.broken[server]
	c.broken[server] = append(list, r)
	return !ok
}

// take returns the requests that were gathered for a server, and forgets them.
func (c *crashes) take(server string) []brokenRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.broken[server]
	delete(c.broken, server)
	return list
}

// brokeOff notes that the server's connection ended under the request. A server that
// leaves ends requests for that reason, which says nothing about them.
func (t *try) brokeOff(err error) {
	if !isCrash(err) || !t.conn.Sent() || t.x.g.leaving(t.server.ID) {
		return
	}
	g := t.x.g
	if g.crashes.add(t.server.ID, brokenRun{print: t.x.fingerprint(), sent: t.began}) {
		go g.probe(t.server) // It ends within gatherBroken and the limit of a connect.
	}
}

// leaving reports whether a server is listed as one that leaves.
func (g *Gateway) leaving(id string) bool {
	s := g.view.Load().Find(id)
	return s != nil && s.Leaving
}

// probe finds out whether a server whose connections broke has ended. Only then do the
// requests there come into question: connections are reset for many other reasons.
func (g *Gateway) probe(s *place.Server) {
	broke := time.Now()
	pause.For(context.Background(), gatherBroken)
	presence := g.pool.Probe(s.Address)
	list := g.crashes.take(s.ID)
	names := make([]string, len(list))
	runs := make([]protocol.ObservedRun, len(list))
	for i, r := range list {
		names[i] = r.print.String()
		runs[i] = protocol.ObservedRun{Fingerprint: r.print, Age: broke.Sub(r.sent)}
	}
	g.log.Warn().Str("server", s.ID).Str("service", s.Service).Stringer("presence", presence).Int("runs", len(list)).Strs("fingerprints", names).Msg("connections of a server broke")
	if presence == backend.PresenceEnded {
		g.meters.serversEnded.Inc(1)
		g.sawEnd(s.ID, runs)
	}
}

// fingerprint returns the request's fingerprint.
func (x *exchange) fingerprint() protocol.Fingerprint {
	if x.print == nil {
		f := x.request().Fingerprint()
		x.print = &f
	}
	return *x.print
}

// request returns what the request has in common with one that is sent again.
func (x *exchange) request() *quarantine.Request {
	who := x.workspaceName()
	if who == "" {
		who = x.call.Secret
	}
	return &quarantine.Request{Caller: who, Host: x.call.Host, Path: string(x.in.Header.RequestURI()), Body: x.in.Body()}
}
