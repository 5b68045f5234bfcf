package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// BrokenConnections are servers whose connections broke a moment ago, with the requests that were
// there: a process that ends breaks all of them within 3 ms, as the output of nine gateways
// showed. The zero value holds none.
type BrokenConnections struct {
	runs map[string][]brokenRun
}

// brokenRun is a request whose connection broke.
type brokenRun struct {
	fingerprint protocol.Fingerprint
	sent        time.Time
}

// Add notes a request whose connection broke, and reports whether it is the first of its
// server, which is then to be probed in a while.
func (b *BrokenConnections) Add(server string, f protocol.Fingerprint, sent time.Time) (first bool) {
	if b.runs == nil {
		b.runs = map[string][]brokenRun{}
	}
	list, known := b.runs[server]
	b.runs[server] = append(list, brokenRun{fingerprint: f, sent: sent})
	return !known
}

// Take returns the requests at a server whose first connection broke at a time, and their
// fingerprints as they are logged, and forgets them.
func (b *BrokenConnections) Take(server string, broke time.Time) (runs []protocol.ObservedRun, names []string) {
	for _, r := range b.runs[server] {
		runs = append(runs, protocol.ObservedRun{Fingerprint: r.fingerprint, Age: broke.Sub(r.sent)})
		names = append(names, r.fingerprint.String())
	}
	delete(b.runs, server)
	return runs, names
}

// Len returns how many servers are held.
func (b *BrokenConnections) Len() int { return len(b.runs) }

// BrokenConnectionWindow is for how long the broken connections of a server are gathered.
const BrokenConnectionWindow = 20 * time.Millisecond
