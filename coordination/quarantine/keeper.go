package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Keeper is what the leader of a term knows, and decides.
type Keeper struct {
	table   *Table
	changes uint64 // changes is the change of the quarantine that the table follows.
	watched []protocol.Fingerprint
}

// NewKeeper returns a keeper without reports.
func NewKeeper() *Keeper { return &Keeper{table: NewTable()} }

// Take takes what a gateway observed. The ends of servers that leave speak against nobody.
func (k *Keeper) Take(gateway string, list []protocol.Observation, leaves func(server string) bool, now time.Time) {
	for i := range list {
		if server := list[i].Server; server == "" || !leaves(server) {
			k.table.Update(ObservedMsg{Now: now, Gateway: gateway, Observation: list[i]})
		}
	}
}

// Excuse has the end of a server speak against nobody.
func (k *Keeper) Excuse(server string) { k.table.Update(ExcusedMsg{Server: server}) }

// Decide returns what is to change in the log; see [Table.Judge].
func (k *Keeper) Decide(l *protocol.QuarantineLog, now, date time.Time) protocol.QuarantineMsg {
	if l.Changes != k.changes {
		k.changes = l.Changes
		k.table.Update(LoggedMsg{Entries: l.Entries})
	}
	k.watched = k.table.Watched()
	return k.table.Judge(now, date)
}

// Watched returns the requests whose good ends gateways are to tell, as of the last
// decision.
func (k *Keeper) Watched() []protocol.Fingerprint { return k.watched }
