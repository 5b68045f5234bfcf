package protocol

import "time"

// MemberState is the membership state of an instance. Between records with the same
// version, the later state takes precedence. Only the instance itself raises its
// version, which lets it refute a false suspicion.
type MemberState uint8

// The membership states, in order of precedence.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeft
)

var memberStateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state.
func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "unknown"
}

// MarshalText encodes the state as its name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state from its name. An unknown name leaves s unchanged.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
		}
	}
	return nil
}

// Member is the membership record of one instance.
type Member struct {
	Name        string      `json:"name"`
	Address     string      `json:"address"` // peer address, IP:port
	Domain      string      `json:"domain"`
	Incarnation uint64      `json:"incarnation"` // increases with each start of the instance
	Version     uint64      `json:"version"`     // increases with each change made by the instance itself
	State       MemberState `json:"state"`
	Leaving     bool        `json:"leaving"`
	Ready       bool        `json:"ready"`
	Revision    uint64      `json:"revision"` // number of the configuration in force at the instance
	Digest      Digest      `json:"digest"`   // digest of that configuration
}

// Newer reports whether m supersedes o, another record of the same instance.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.State > o.State
}

// LeavingRetention is how long the record of a leaving server is kept. It is far longer
// than the lag of the platform's list.
const LeavingRetention = time.Hour

// Leaving records that a backend server accepts no new requests. The record is never
// revoked, since server IDs are not reused. It is dropped once it is older than
// [LeavingRetention].
type Leaving struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`     // when the server stops; zero if unknown
	Seen   time.Time `json:"seen"`   // when this was first learned by any instance
	Origin string    `json:"origin"` // how it was learned: notice, list, report or refusal
}

// JoinedRetention is how long the record of a joined server is kept. It is far longer
// than each instance needs to read the platform's list itself.
const JoinedRetention = 5 * time.Minute

// Joined records that a backend server is new in the platform's list. Sharing it saves
// the other instances from reading the complete list frequently.
type Joined struct {
	Instance Instance  `json:"instance"`
	Seen     time.Time `json:"seen"` // when the server was first listed, as read by any instance
}

// GossipMsg is what instances exchange about membership: changed records, or all of
// them in a full synchronization.
type GossipMsg struct {
	From    string
	Members []Member
	Leaving []Leaving
	Joined  []Joined
	Full    bool // the message holds all records that the sender has
}

// ProbeMsg asks an instance to probe another one on behalf of the sender (an indirect
// probe).
type ProbeMsg struct{ Address string }

// ProbeReplyMsg reports whether the probed instance answered.
type ProbeReplyMsg struct{ Alive bool }

// FetchConfigMsg asks a peer for the configuration in force there, if its number is
// higher than Above.
type FetchConfigMsg struct{ Above uint64 }

// FetchConfigReplyMsg carries the configuration in canonical form. Found is false if
// the peer has none with a higher number than requested.
type FetchConfigReplyMsg struct {
	Found  bool
	Number uint64
	Config []byte
}
