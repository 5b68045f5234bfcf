package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Coordinator is what the leader of a term knows, and decides.
type Coordinator struct {
	table   *Table
	changes uint64 // changes is the change of the quarantine that the table follows.
	watched []protocol.Fingerprint
}

// NewCoordinator returns a keeper without reports.
func NewCoordinator() *Coordinator { return &Coordinator{table: NewTable()} }

// AddObservations takes what a gateway observed. The ends of servers that leave speak against nobody.
func (k *Coordinator) AddObservations(gateway string, list []protocol.Observation, leaves func(server string) bool, now time.Time) {
	for i := range list {
		if server := list[i].Server; server == "" || !leaves(server) {
			k.table.Update(ObservedMsg{Now: now, Gateway: gateway, Observation: list[i]})
		}
	}
}

// IgnoreCrash has the end of a server speak against nobody.
func (k *Coordinator) IgnoreCrash(server string) { k.table.Update(ExcusedMsg{Server: server}) }

// Decide returns what is to change in the log; see [Table.Judge].
func (k *Coordinator) Decide(l *protocol.QuarantineLog, now, date time.Time) protocol.QuarantineMsg {
	if l.Changes != k.changes {
		k.changes = l.Changes
		k.table.Update(LoggedMsg{Entries: l.Entries})
	}
	k.watched = k.table.Watched()
	return k.table.Judge(now, date)
}

// Watched returns the requests whose good ends gateways are to tell, as of the last
// decision.
func (k *Coordinator) Watched() []protocol.Fingerprint { return k.watched }
