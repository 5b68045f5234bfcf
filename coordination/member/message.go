package member

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to [State.Update].
type Msg interface{ msg() }

// TickMsg is the passing of time.
type TickMsg struct {
	Now  time.Time
	Rand uint64 // Rand is fresh randomness.
}

// GossipMsg is what another instance sent.
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

// SetSelfMsg sets what this instance says of itself.
type SetSelfMsg struct {
	Ready    bool
	Leaving  bool
	Left     bool
	Revision uint64
	Digest   protocol.Digest
	Now      time.Time
	Rand     uint64
}

// ServerLeavingMsg tells that this instance learned of a leaving backend server.
type ServerLeavingMsg struct {
	Leaving protocol.Leaving
	Rand    uint64
}

// ServerJoinedMsg tells that this instance found a new backend server in the
// platform's list.
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

// ProbeCmd probes a member, with news; if it is silent, by way of others. The
// outcome comes back as a [ProbedMsg].
type ProbeCmd struct {
	Name    string
	Address string
	Gossip  protocol.GossipMsg
	Via     []string
}

// PushCmd sends news and awaits nothing.
type PushCmd struct {
	Address string
	Gossip  protocol.GossipMsg
}

// SyncCmd sends all records; the answer, all of the other's, comes back as a
// [GossipMsg].
type SyncCmd struct {
	Address string
	Gossip  protocol.GossipMsg
}

// ServerLeavingCmd tells the tables of a leaving backend server.
type ServerLeavingCmd struct{ Leaving protocol.Leaving }

// ServerJoinedCmd tells the tables of a new backend server.
type ServerJoinedCmd struct{ Joined protocol.Joined }

// FetchConfigCmd fetches a configuration that another instance has in force.
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
