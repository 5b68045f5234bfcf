package protocol

import "time"

// MemberState is what the cluster holds of an instance. At the same version a
// later state overrides an earlier one; only the instance itself can raise its
// version and so refute it.
type MemberState uint8

// The states of a member.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeft
)

var memberStateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "unknown"
}

// MarshalText renders the state by its name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state by its name.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
		}
	}
	return nil
}

// Member is the record of one instance.
type Member struct {
	Name        string      `json:"name"`
	Address     string      `json:"address"` // Address is the peer address, IP:port.
	Domain      string      `json:"domain"`
	Incarnation uint64      `json:"incarnation"` // Incarnation rises with each start.
	Version     uint64      `json:"version"`     // Version rises with each change by the instance itself.
	State       MemberState `json:"state"`
	Leaving     bool        `json:"leaving"`
	Ready       bool        `json:"ready"`
	Revision    uint64      `json:"revision"` // Revision is the configuration in force there.
	Digest      Digest      `json:"digest"`   // Digest is that configuration's digest.
}

// Newer reports whether m overrides o, a record of the same instance.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.State > o.State
}

// LeavingRetention is how long the record of a leaving server is kept, far longer
// than the platform's list lags.
const LeavingRetention = time.Hour

// Leaving is the record that a backend server takes no new work. It is never
// taken back: identities of servers are not reused. It is dropped once it is
// older than [LeavingRetention].
type Leaving struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`     // At is when the server goes; zero when unknown.
	Seen   time.Time `json:"seen"`   // Seen is when it was learned first, by whoever learned it.
	Origin string    `json:"origin"` // Origin is how it was learned: notice, list, report or refusal.
}

// JoinedRetention is how long the record of a joined server is kept: far longer than
// it takes each instance to read the platform's list for itself.
const JoinedRetention = 5 * time.Minute

// Joined is the record that a backend server is new in the platform's list. It
// saves the others from reading the whole list often.
type Joined struct {
	Instance Instance  `json:"instance"`
	Seen     time.Time `json:"seen"` // Seen is when it was listed first, by whoever read it.
}

// GossipMsg is what instances tell each other: records that changed, or on a
// synchronization all of them.
type GossipMsg struct {
	From    string
	Members []Member
	Leaving []Leaving
	Joined  []Joined
	Full    bool // Full says that these are all records that the sender has.
}

// ProbeMsg asks an instance to probe another one on behalf of a third.
type ProbeMsg struct{ Address string }

// ProbeReplyMsg tells whether the probed instance answered.
type ProbeReplyMsg struct{ Alive bool }

// FetchConfigMsg asks a peer for the configuration in force there.
type FetchConfigMsg struct{ Above uint64 }

// FetchConfigReplyMsg carries the configuration in its canonical form, or none when
// the peer holds nothing above the asked number.
type FetchConfigReplyMsg struct {
	Found  bool
	Number uint64
	Config []byte
}
