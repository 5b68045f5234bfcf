package quarantine

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Progress is how much of an answer had arrived when its connection broke.
type Progress uint8

// The steps of progress.
const (
	Waiting Progress = iota // Waiting means that no byte of the answer had arrived.
	Begun                   // Begun means that the head had arrived, and no whole event or body.
	Writing                 // Writing means that events had arrived.
)

// String returns the name of the step as shown in logs.
func (p Progress) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Begun:
		return "begun"
	case Writing:
		return "writing"
	}
	return fmt.Sprintf("Progress(%d)", uint8(p))
}

// BrokenRun is a request whose connection broke.
type BrokenRun struct {
	Fingerprint protocol.Fingerprint
	Sent        time.Time // Sent is when it was sent to the server.
	Progress    Progress
	Head        time.Time             // Head is when the head of the answer arrived; zero if it did not.
	Parts       []protocol.PromptPart // Parts are the parts of its prompt that other requests may share.
	// PartFingerprints are those of Parts.
	PartFingerprints []protocol.Fingerprint
	Trial            bool // Trial reports that some of its parts are held, and that this was a trial of them.
}

// String describes the run for the log: its fingerprint, its progress and the IDs of its parts.
func (r *BrokenRun) String() string {
	return fmt.Sprintf("%v %v %s", r.Fingerprint, r.Progress, strings.Join(PartIDs(r.Parts), ","))
}

// PartIDs returns the IDs of parts as they are written in requests.
func PartIDs(parts []protocol.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(p.ID, 16)
	}
	return ids
}

// BrokenConnections collects, by server, the requests whose connections broke a moment ago.
// The zero value is empty.
type BrokenConnections struct {
	byServer map[string][]BrokenRun
}

// Add records a request whose connection broke, and reports whether it is the first one of
// its server. The caller then probes the server after BrokenConnectionWindow.
func (b *BrokenConnections) Add(server string, r BrokenRun) (first bool) {
	if b.byServer == nil {
		b.byServer = map[string][]BrokenRun{}
	}
	list, known := b.byServer[server]
	b.byServer[server] = append(list, r)
	return !known
}

// Take removes and returns the requests of a server.
func (b *BrokenConnections) Take(server string) []BrokenRun {
	runs := b.byServer[server]
	delete(b.byServer, server)
	return runs
}

// Len returns the number of servers with broken connections.
func (b *BrokenConnections) Len() int { return len(b.byServer) }

// ObservedRuns returns the observation of runs whose connections broke at the given time.
func ObservedRuns(runs []BrokenRun, broke time.Time) []protocol.ObservedRun {
	list := make([]protocol.ObservedRun, len(runs))
	for i := range runs {
		list[i] = protocol.ObservedRun{Fingerprint: runs[i].Fingerprint, Age: broke.Sub(runs[i].Sent)}
	}
	return list
}

// Describe returns the fingerprints of runs and their descriptions, for the log.
func Describe(runs []BrokenRun) (fingerprints, details []string) {
	for i := range runs {
		fingerprints = append(fingerprints, runs[i].Fingerprint.String())
		details = append(details, runs[i].String())
	}
	return fingerprints, details
}

// BrokenConnectionWindow is how long the broken connections of a server are collected. A
// process that ends breaks all of its connections within 3 ms, as measured at nine gateways.
const BrokenConnectionWindow = 20 * time.Millisecond
