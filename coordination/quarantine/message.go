package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to a [CrashTable].
type Msg interface{ msg() }

// ObservedMsg is an observation of a gateway. It may arrive more than once.
type ObservedMsg struct {
	Now         time.Time
	Gateway     string
	Observation protocol.Observation
}

// IgnoreCrashMsg names a server that crashed for a reason other than its requests.
type IgnoreCrashMsg struct {
	Server string
	Start  int64 // Start is when the server had started; see protocol.Observation.
}

// LogStateMsg is the state of the quarantine in the log.
type LogStateMsg struct {
	Now       time.Time
	TimeOfDay time.Time // TimeOfDay is the wall-clock time at Now.
	Entries   []protocol.Quarantined
}

// AskedMsg holds all trials that a gateway asks for.
type AskedMsg struct {
	Now     time.Time
	Gateway string
	Asks    []protocol.TrialAsk
}

func (ObservedMsg) msg()    {}
func (IgnoreCrashMsg) msg() {}
func (LogStateMsg) msg()    {}
func (AskedMsg) msg()       {}
