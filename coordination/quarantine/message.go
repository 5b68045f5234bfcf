package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to a table.
type Msg interface{ msg() }

// ObservedMsg is what a gateway saw. The same may come several times.
type ObservedMsg struct {
	Now         time.Time
	Gateway     string
	Observation protocol.Observation
}

// ExcusedMsg names a server that ended for another reason than its requests.
type ExcusedMsg struct {
	Server string
	Start  int64 // Start is when it had started; see protocol.Observation.
}

// LoggedMsg is the quarantine as the log has it.
type LoggedMsg struct{ Entries []protocol.Quarantined }

func (ObservedMsg) msg() {}
func (ExcusedMsg) msg()  {}
func (LoggedMsg) msg()   {}
