package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Coordinator is the part of the quarantine that runs on the leader of a term. It collects
// the observations of gateways and decides on changes.
type Coordinator struct {
	table   *CrashTable
	parts   *PartTable
	changes uint64 // changes is the counter of quarantine changes in the log that the table is at.
	watched []protocol.Fingerprint
	pending []protocol.HoldRequest // pending are the parts of prompts of the last decision that are to be held.
}

// NewCoordinator returns a coordinator without observations.
func NewCoordinator() *Coordinator {
	return &Coordinator{table: NewCrashTable(), parts: NewPartTable()}
}

// AddObservations adds the observations of a gateway. Crashes of servers that are leaving
// are ignored.
func (c *Coordinator) AddObservations(gateway string, list []protocol.Observation, isLeaving func(server string) bool, now time.Time) {
	for i := range list {
		if server := list[i].Server; server == "" || !isLeaving(server) {
			c.update(ObservedMsg{Now: now, Gateway: gateway, Observation: list[i]})
		}
	}
}

// update passes a message to both tables.
func (c *Coordinator) update(m Msg) {
	c.table.Update(m)
	c.parts.Update(m)
}

// SetAsks replaces the trials that a gateway asks for.
func (c *Coordinator) SetAsks(gateway string, asks []protocol.TrialAsk, now time.Time) {
	c.parts.Update(AskedMsg{Now: now, Gateway: gateway, Asks: asks})
}

// IgnoreCrash removes the crashes of a server, so that they count against no request. It
// matches only crashes that were observed without the server's start time.
func (c *Coordinator) IgnoreCrash(server string) { c.update(IgnoreCrashMsg{Server: server}) }

// Decide returns the changes to write to the log; see [CrashTable.Decide].
func (c *Coordinator) Decide(l *protocol.QuarantineLog, now, timeOfDay time.Time) protocol.QuarantineMsg {
	if l.Changes != c.changes {
		c.changes = l.Changes
		c.update(LogStateMsg{Now: now, TimeOfDay: timeOfDay, Entries: l.Entries})
	}
	c.watched = append(c.table.Watched(), c.parts.Watched(now)...)
	m, parts := c.table.Decide(now, timeOfDay), c.parts.Decide(now, timeOfDay)
	c.pending = parts.Hold
	m.Hold = append(m.Hold, parts.Hold...)
	m.Try = append(m.Try, parts.Try...)
	m.Free = append(m.Free, parts.Free...)
	return m
}

// Watched returns the requests whose successes gateways should report, as of the last
// decision.
func (c *Coordinator) Watched() []protocol.Fingerprint { return c.watched }

// maxPending bounds the parts that Pending returns.
const maxPending = 256

// Pending returns the parts of prompts that the last decision holds: gateways hold them while they are
// being written to the log.
func (c *Coordinator) Pending() []protocol.HoldRequest {
	return c.pending[:min(len(c.pending), maxPending)]
}
