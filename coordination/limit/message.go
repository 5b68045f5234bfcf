package limit

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to [Limiter.Update].
type Msg interface{ msg() }

// ArriveMsg is a request that wants a slot.
type ArriveMsg struct {
	ID        uint64
	Workspace string
	Share     int
	Priority  protocol.Priority
	StartBy   time.Time // Latest is when it must have begun.
	Deadline  time.Time // Deadline is when it must have ended; zero for never.
	Admitted  bool      // Taken says that the system took it on before: it waits for nothing.
	Now       time.Time
}

// DoneMsg is a request that gives its slot, or its place in the queue, back.
type DoneMsg struct {
	ID  uint64
	Now time.Time
}

// GrantMsg is the coordinator's answer.
type GrantMsg struct {
	protocol.GrantMsg
	ExpiresAt time.Time // Until is when the grant runs out.
	Now       time.Time
}

// PoolMsg tells what this instance itself knows of the pool.
type PoolMsg struct {
	Slots     int // Slots are those of all servers of the pool; 0 means that nothing is limited.
	Instances int // Instances are those that may send to the pool.
	Now       time.Time
}

// TickMsg is the passing of time.
type TickMsg struct{ Now time.Time }

func (ArriveMsg) msg() {}
func (DoneMsg) msg()   {}
func (GrantMsg) msg()  {}
func (PoolMsg) msg()   {}
func (TickMsg) msg()   {}

// Cmd is a command from [Limiter.Update].
type Cmd interface{ cmd() }

// StartCmd lets a request begin.
type StartCmd struct{ ID uint64 }

// RefuseCmd turns a request away, which has not run. RetryAfter is when a slot
// for it should be free.
type RefuseCmd struct {
	ID         uint64
	RetryAfter time.Duration
}

func (StartCmd) cmd()  {}
func (RefuseCmd) cmd() {}
