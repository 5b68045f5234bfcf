package forward

import (
	"context"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/internal/tcp"
	"github.com/weldstream/weldstream/protocol"
)

// crashes are servers whose connections broke, until it is known what that was.
type crashes struct {
	mu     sync.Mutex // mu guards all below.
	broken quarantine.BrokenConnections
	open   map[string]openEnd // open are the servers that answered a connect behind that.
}

// openEnd are the requests at a server whose connections broke and which answered a
// connect: it was not at fault, or has started again since.
type openEnd struct {
	at   time.Time
	runs []protocol.ObservedRun
}

// openKept is for how long it is left open which it was: the platform lists a new start
// within some seconds.
const openKept = 10 * time.Second

// leave leaves open what the requests at a server have to do with its broken connections.
func (c *crashes) leave(server string, runs []protocol.ObservedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[string]openEnd{}
	}
	now := clock.Now()
	for id, o := range c.open {
		if now.Sub(o.at) > openKept {
			delete(c.open, id)
		}
	}
	c.open[server] = openEnd{at: now, runs: runs}
}

// unsolved returns the requests that were at a start of a server when its connections
// broke, and forgets them.
func (c *crashes) unsolved(server string) []protocol.ObservedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[server]
	delete(c.open, server)
	if clock.Now().Sub(o.at) > openKept {
		return nil
	}
	return o.runs
}

// brokeOff notes that the server's connection ended under the request. A server that
// leaves ends requests for that reason, which says nothing about them; nor does a
// connection that was closed here, as the server had started again behind a cut.
func (t *try) brokeOff(err error) {
	if !isCrash(err) || !t.conn.Sent() || t.x.g.leaving(t.server.ID) {
		return
	}
	g, fingerprint := t.x.g, t.x.fingerprint()
	g.crashes.mu.Lock()
	first := g.crashes.broken.Add(t.server.ID, fingerprint, t.began)
	g.crashes.mu.Unlock()
	if first {
		go g.probe(t.server) // It ends within GatherBroken and the limit of a connect.
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
	pause.For(context.Background(), quarantine.BrokenConnectionWindow)
	presence := tcp.Probe(s.Address, dialTime)
	g.crashes.mu.Lock()
	runs, names := g.crashes.broken.Take(s.ID, broke)
	g.crashes.mu.Unlock()
	switch presence {
	case tcp.PresenceEnded:
		g.meters.serversEnded.Inc(1)
		g.sawEnd(s.ID, runs)
	case tcp.PresenceUp:
		g.crashes.leave(s.ID, runs)
	}
	g.log.Warn().Str("server", s.ID).Str("service", s.Service).Stringer("presence", presence).Int("runs", len(runs)).Strs("fingerprints", names).Msg("connections of a server broke")
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
