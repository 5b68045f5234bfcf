package limit

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to [Limiter.Update].
type Msg interface{ msg() }

// ArriveMsg is a request that needs a slot.
type ArriveMsg struct {
	ID        uint64
	Workspace string
	Share     int
	Priority  protocol.Priority
	StartBy   time.Time // StartBy is when the request must have started.
	Deadline  time.Time // Deadline is when the request must have ended; zero for no deadline.
	Admitted  bool      // Admitted means that the system admitted the request before: it starts at once.
	Now       time.Time
}

// DoneMsg is a request that has ended, or leaves the queue.
type DoneMsg struct {
	ID  uint64
	Now time.Time
}

// GrantMsg is a grant of the coordinator.
type GrantMsg struct {
	protocol.GrantMsg
	ExpiresAt time.Time // ExpiresAt is the end of the grant's lease.
	Now       time.Time
}

// PoolMsg is what this instance knows of the pool.
type PoolMsg struct {
	Slots     int // Slots is the number of slots of all servers in the pool; 0 means no limit.
	Instances int // Instances is the number of instances that may send to the pool.
	Now       time.Time
}

// TickMsg reports the current time.
type TickMsg struct{ Now time.Time }

func (ArriveMsg) msg() {}
func (DoneMsg) msg()   {}
func (GrantMsg) msg()  {}
func (PoolMsg) msg()   {}
func (TickMsg) msg()   {}

// Cmd is a command from [Limiter.Update].
type Cmd interface{ cmd() }

// StartCmd starts a request.
type StartCmd struct{ ID uint64 }

// RefuseCmd refuses a request, which has not run. RetryAfter is when a slot should be free
// for it.
type RefuseCmd struct {
	ID         uint64
	RetryAfter time.Duration
}

func (StartCmd) cmd()  {}
func (RefuseCmd) cmd() {}
