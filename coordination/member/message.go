package member

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to [State.Update].
type Msg interface{ msg() }

// TickMsg is sent at each tick.
type TickMsg struct {
	Now  time.Time
	Rand uint64 // Rand is a new random seed.
}

// GossipMsg holds records received from another instance.
type GossipMsg struct {
	Gossip protocol.GossipMsg
	Now    time.Time
	Rand   uint64
}

// ProbedMsg is the outcome of a [ProbeCmd].
type ProbedMsg struct {
	Name  string
	Alive bool
	Now   time.Time
	Rand  uint64
}

// SetSelfMsg sets this instance's own record.
type SetSelfMsg struct {
	Ready    bool
	Leaving  bool
	Left     bool
	Revision uint64
	Digest   protocol.Digest
	Now      time.Time
	Rand     uint64
}

// ServerLeavingMsg reports a leaving backend server that this instance learned of itself.
type ServerLeavingMsg struct {
	Leaving protocol.Leaving
	Rand    uint64
}

// ServerJoinedMsg reports a new backend server that this instance found in the platform's
// list.
type ServerJoinedMsg struct {
	Joined protocol.Joined
	Rand   uint64
}

func (TickMsg) msg()          {}
func (GossipMsg) msg()        {}
func (ProbedMsg) msg()        {}
func (SetSelfMsg) msg()       {}
func (ServerLeavingMsg) msg() {}
func (ServerJoinedMsg) msg()  {}

// Cmd is a command from [State.Update].
type Cmd interface{ cmd() }

// ProbeCmd probes a member and sends gossip with the probe. If the member does not answer,
// it is probed through the members in Via. The outcome is returned as a [ProbedMsg].
type ProbeCmd struct {
	Name    string
	Address string
	Gossip  protocol.GossipMsg
	Via     []string
}

// PushCmd sends gossip without waiting for a reply.
type PushCmd struct {
	Address string
	Gossip  protocol.GossipMsg
}

// SyncCmd sends all records. The reply, all records of the other instance, is returned as
// a [GossipMsg].
type SyncCmd struct {
	Address string
	Gossip  protocol.GossipMsg
}

// ServerLeavingCmd records a leaving backend server in the tables.
type ServerLeavingCmd struct{ Leaving protocol.Leaving }

// ServerJoinedCmd records a new backend server in the tables.
type ServerJoinedCmd struct{ Joined protocol.Joined }

// FetchConfigCmd fetches a configuration from an instance that has it in force.
type FetchConfigCmd struct {
	Address string
	Number  uint64
}

func (ProbeCmd) cmd()         {}
func (PushCmd) cmd()          {}
func (SyncCmd) cmd()          {}
func (ServerLeavingCmd) cmd() {}
func (ServerJoinedCmd) cmd()  {}
func (FetchConfigCmd) cmd()   {}
