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
	doubtfulAt map[string]time.Time       // doubtfulAt is when recordDoubtfulCrash last recorded a crash of each service.
	unresolved map[string]unresolvedBreak // unresolved are the servers of which it is not known whether they crashed.
}

// unresolvedBreak holds the requests at a server whose connections broke, but which then accepted a
// connection: either it was not at fault, or it has already restarted. Or it refused one while the
// path to the servers seemed lost.
type unresolvedBreak struct {
	at      time.Time
	runs    []quarantine.BrokenRun
	refused bool
}

// unresolvedTTL is how long a break stays unresolved: the platform drops a server, or lists its new
// incarnation, within a few seconds.
const unresolvedTTL = 10 * time.Second

// addUnresolved keeps the requests at a server until it is known whether the server
// crashed: the list of servers tells.
func (c *brokenConnections) addUnresolved(server string, runs []quarantine.BrokenRun, refused bool) {
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
	c.unresolved[server] = unresolvedBreak{at: now, runs: runs, refused: refused}
}

// takeUnresolved removes and returns the requests that were at an incarnation of a server
// when its connections broke, and when that was.
func (c *brokenConnections) takeUnresolved(server string) (runs []quarantine.BrokenRun, brokenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.unresolved[server]
	delete(c.unresolved, server)
	if clock.Now().Sub(o.at) > unresolvedTTL {
		return nil, time.Time{}
	}
	return o.runs, o.at
}

// takeDropped removes and returns the unresolved breaks of servers that refused a connection and are
// not listed any more.
func (c *brokenConnections) takeDropped(isListed func(server string) bool) map[string]unresolvedBreak {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped := map[string]unresolvedBreak{}
	for server, o := range c.unresolved {
		if o.refused && !isListed(server) {
			dropped[server] = o
			delete(c.unresolved, server)
		}
	}
	return dropped
}

// recordBrokenConnection records that the server's connection broke while it had the request.
// Two causes say nothing about the request and are ignored: the server is leaving, or the
// gateway closed the connection itself because the server had restarted behind a network
// partition.
func (t *serverAttempt) recordBrokenConnection(err error) {
	if !isCrash(err) || !t.conn.Sent() || t.x.g.leaving(t.server.ID) {
		return
	}
	g, run := t.x.g, t.brokenRun()
	g.crashes.mu.Lock()
	first := g.crashes.broken.Add(t.server.ID, run)
	g.crashes.mu.Unlock()
	if first {
		go g.probeBroken(t.server) // It ends within BrokenConnectionWindow plus the connect timeout.
	}
}

// brokenRun describes the request for the evidence against requests that crash servers.
func (t *serverAttempt) brokenRun() quarantine.BrokenRun {
	return quarantine.BrokenRun{
		Fingerprint:      t.x.fingerprint(),
		Sent:             t.sentAt,
		Progress:         t.progress(),
		Head:             t.headAt,
		Parts:            t.x.call.SharedParts(),
		PartFingerprints: t.x.partFingerprints(),
		Trial:            t.x.partTrial,
	}
}

// progress returns how much of the answer has arrived.
func (t *serverAttempt) progress() quarantine.Progress {
	switch {
	case !t.firstEventAt.IsZero():
		return quarantine.Writing
	case !t.headAt.IsZero():
		return quarantine.Begun
	}
	return quarantine.Waiting
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
	runs := g.crashes.broken.Take(s.ID)
	g.crashes.mu.Unlock()
	var recorded, byPath bool
	switch presence {
	case tcp.PresenceEnded:
		byPath = g.refusedByPath(s) && g.view.Load().Find(s.ID) != nil
		if byPath {
			g.meters.crashesIgnored.Inc(1)
			recorded = g.recordDoubtfulCrash(s, runs, brokenAt)
			g.crashes.addUnresolved(s.ID, runs, true)
			break
		}
		recorded = true
		g.meters.serversCrashed.Inc(1)
		g.recordCrash(s.ID, runs, brokenAt, clock.Now())
	case tcp.PresenceUp:
		g.crashes.addUnresolved(s.ID, runs, false)
	}
	names, details := quarantine.Describe(runs)
	g.log.Warn().Str("server", s.ID).Str("service", s.Service).Stringer("presence", presence).Bool("recorded", recorded).Bool("by_path", byPath).
		Int("runs", len(runs)).Strs("fingerprints", names).Strs("details", details).Msg("connections of a server broke")
}

// doubtfulCrashInterval is the least time between two recorded crashes that may be a lost path. A
// lost path breaks the connections of all servers at once, and crashes follow one another.
const doubtfulCrashInterval = 200 * time.Millisecond

// recordDoubtfulCrash records the parts of prompts at a server that may have crashed or be out of
// reach, and reports whether it did. While servers crash one after the other the path to them looks
// lost, and the part that crashes them would never be found.
func (g *Gateway) recordDoubtfulCrash(s *place.Server, runs []quarantine.BrokenRun, brokenAt time.Time) bool {
	parts := quarantine.ObservedParts(runs, brokenAt)
	if len(parts) == 0 {
		return false
	}
	c, now := &g.crashes, clock.Now()
	c.mu.Lock()
	last, known := c.doubtfulAt[s.Service]
	due := !known || now.Sub(last) >= doubtfulCrashInterval
	if due && c.doubtfulAt == nil {
		c.doubtfulAt = map[string]time.Time{}
	}
	if due {
		c.doubtfulAt[s.Service] = now
	}
	c.mu.Unlock()
	if due {
		g.recordObservedCrash(s.ID, parts, now)
	}
	return due
}

// fingerprint returns the request's fingerprint, computed on first use.
func (x *exchange) fingerprint() protocol.Fingerprint {
	if x.cachedFingerprint == nil {
		f := x.quarantineRequest().Fingerprint()
		x.cachedFingerprint = &f
	}
	return *x.cachedFingerprint
}

// callerName identifies the caller: by its workspace, or by its key if it has none.
func (x *exchange) callerName() string {
	if name := x.workspaceName(); name != "" {
		return name
	}
	return x.call.Secret
}

// quarantineRequest returns what of the request stays the same when it is sent
// again.
func (x *exchange) quarantineRequest() *quarantine.Request {
	return &quarantine.Request{Caller: x.callerName(), Host: x.call.Host, Path: string(x.in.Header.RequestURI()), Body: x.in.Body()}
}
