package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// BrokenConnections collects, by server, the requests whose connections broke a moment ago.
// The zero value is empty.
type BrokenConnections struct {
	byServer map[string][]brokenRequest
}

// brokenRequest is a request whose connection broke.
type brokenRequest struct {
	fingerprint protocol.Fingerprint
	sent        time.Time
}

// Add records a request whose connection broke, and reports whether it is the first one of
// its server. The caller then probes the server after BrokenConnectionWindow.
func (b *BrokenConnections) Add(server string, f protocol.Fingerprint, sent time.Time) (first bool) {
	if b.byServer == nil {
		b.byServer = map[string][]brokenRequest{}
	}
	list, known := b.byServer[server]
	b.byServer[server] = append(list, brokenRequest{fingerprint: f, sent: sent})
	return !known
}

// Take removes and returns the requests of a server whose first connection broke at the
// given time, and their fingerprints as text for the log.
func (b *BrokenConnections) Take(server string, broke time.Time) (runs []protocol.ObservedRun, names []string) {
	for _, r := range b.byServer[server] {
		runs = append(runs, protocol.ObservedRun{Fingerprint: r.fingerprint, Age: broke.Sub(r.sent)})
		names = append(names, r.fingerprint.String())
	}
	delete(b.byServer, server)
	return runs, names
}

// Len returns the number of servers with broken connections.
func (b *BrokenConnections) Len() int { return len(b.byServer) }

// BrokenConnectionWindow is how long the broken connections of a server are collected. A
// process that ends breaks all of its connections within 3 ms, as measured at nine gateways.
const BrokenConnectionWindow = 20 * time.Millisecond
