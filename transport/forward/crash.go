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

// brokenConnections tracks servers whose connections broke until the cause is known.
type brokenConnections struct {
	mu         sync.Mutex // mu guards the fields below.
	broken     quarantine.BrokenConnections
	unresolved map[string]unresolvedBreak // unresolved are the servers that accepted a connection after the break.
}

// unresolvedBreak holds the requests at a server whose connections broke, but which then
// accepted a connection: either it was not at fault, or it has already restarted.
type unresolvedBreak struct {
	at   time.Time
	runs []protocol.ObservedRun
}

// unresolvedTTL is how long a break stays unresolved: the platform lists a new incarnation
// within a few seconds.
const unresolvedTTL = 10 * time.Second

// addUnresolved keeps the requests at a server until it is known whether the server
// restarted.
func (c *brokenConnections) addUnresolved(server string, runs []protocol.ObservedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresolved == nil {
		c.unresolved = map[string]unresolvedBreak{}
	}
	now := clock.Now()
	for id, o := range c.unresolved {
		if now.Sub(o.at) > unresolvedTTL {
			delete(c.unresolved, id)
		}
	}
	c.unresolved[server] = unresolvedBreak{at: now, runs: runs}
}

// takeUnresolved removes and returns the requests that were at an incarnation of a server
// when its connections broke.
func (c *brokenConnections) takeUnresolved(server string) []protocol.ObservedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.unresolved[server]
	delete(c.unresolved, server)
	if clock.Now().Sub(o.at) > unresolvedTTL {
		return nil
	}
	return o.runs
}

// recordBrokenConnection records that the server's connection broke while it had the request.
// Two causes say nothing about the request and are ignored: the server is leaving, or the
// gateway closed the connection itself because the server had restarted behind a network
// partition.
func (t *serverAttempt) recordBrokenConnection(err error) {
	if !isCrash(err) || !t.conn.Sent() || t.x.g.leaving(t.server.ID) {
		return
	}
	g, fingerprint := t.x.g, t.x.fingerprint()
	g.crashes.mu.Lock()
	first := g.crashes.broken.Add(t.server.ID, fingerprint, t.sentAt)
	g.crashes.mu.Unlock()
	if first {
		go g.probeBroken(t.server) // It ends within BrokenConnectionWindow plus the connect timeout.
	}
}

// leaving reports whether a server is listed as leaving.
func (g *Gateway) leaving(id string) bool {
	s := g.view.Load().Find(id)
	return s != nil && s.Leaving
}

// probeBroken finds out whether a server whose connections broke has terminated. Only then
// are the requests at it suspects: connections are reset for many other reasons.
func (g *Gateway) probeBroken(s *place.Server) {
	brokenAt := time.Now()
	pause.For(context.Background(), quarantine.BrokenConnectionWindow)
	presence := tcp.Probe(s.Address, dialTimeout)
	g.crashes.mu.Lock()
	runs, names := g.crashes.broken.Take(s.ID, brokenAt)
	g.crashes.mu.Unlock()
	switch presence {
	case tcp.PresenceEnded:
		if g.refusedByPath(s) {
			break
		}
		g.meters.serversCrashed.Inc(1)
		g.recordCrash(s.ID, runs)
	case tcp.PresenceUp:
		g.crashes.addUnresolved(s.ID, runs)
	}
	g.log.Warn().Str("server", s.ID).Str("service", s.Service).Stringer("presence", presence).Int("runs", len(runs)).Strs("fingerprints", names).Msg("connections of a server broke")
}

// fingerprint returns the request's fingerprint, computed on first use.
func (x *exchange) fingerprint() protocol.Fingerprint {
	if x.cachedFingerprint == nil {
		f := x.quarantineRequest().Fingerprint()
		x.cachedFingerprint = &f
	}
	return *x.cachedFingerprint
}

// quarantineRequest returns the parts of the request that stay the same when it is sent
// again.
func (x *exchange) quarantineRequest() *quarantine.Request {
	caller := x.workspaceName()
	if caller == "" {
		caller = x.call.Secret
	}
	return &quarantine.Request{Caller: caller, Host: x.call.Host, Path: string(x.in.Header.RequestURI()), Body: x.in.Body()}
}
