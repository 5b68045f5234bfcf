package state

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// Machine is the replicated state machine. It holds the configuration, the claims and
// the state of the leader's duties. It is deterministic: the same commands in the same
// order give the same state on every replica.
type Machine struct {
	now    int64 // latest time of any command, in ms; never decreases
	number uint64
	digest protocol.Digest
	config []byte // canonical form
	claims *Claims

	document     protocol.PutDocumentMsg // opaque document in force
	windows      windows
	tallies      tallies
	dutyHolder   protocol.DutyHolderMsg
	formerHolder string // holder before dutyHolder
	rollouts     rollouts

	quarantine quarantine
	brittle    brittleServices
	baselines  map[string]int // servers of each service when it was first seen
}

// NewMachine returns the initial state.
func NewMachine() *Machine {
	return &Machine{claims: NewClaims(), windows: windows{}, baselines: map[string]int{}}
}

// Apply applies one command.
func (m *Machine) Apply(c *protocol.Command) protocol.Result {
	m.now = max(m.now, c.At)
	switch {
	case c.Apply != nil:
		return protocol.Result{Apply: m.apply(c.Apply)}
	case c.Claim != nil:
		return protocol.Result{Claim: m.claims.Claim(c.Claim, m.now)}
	case c.Transfer != nil:
		return protocol.Result{Claim: m.claims.Transfer(c.Transfer)}
	case c.Finish != nil:
		return protocol.Result{Claim: m.claims.Finish(c.Finish, m.now)}
	case c.Put != nil:
		return protocol.Result{Put: m.putDocument(c.Put)}
	case c.Tally != nil:
		return protocol.Result{Tally: m.tallies.update(c.Tally)}
	case c.Hold != nil:
		return protocol.Result{Hold: m.setDutyHolder(c.Hold)}
	case c.Base != nil:
		return protocol.Result{Base: m.baseline(c.Base)}
	case c.Settle != nil:
		return protocol.Result{Settle: m.windows.settle(c.Settle)}
	case c.BeginRollout != nil:
		return protocol.Result{BeginRollout: m.rollouts.begin(c.BeginRollout, m.now)}
	case c.StageRollout != nil:
		return protocol.Result{StageRollout: m.rollouts.advance(c.StageRollout, m.now)}
	case c.Versions != nil:
		m.rollouts.addVersions(c.Versions)
	case c.Quarantine != nil:
		m.quarantine.apply(c.Quarantine, m.now)
	case c.Brittle != nil:
		m.brittle.replace(c.Brittle)
	}
	return protocol.Result{}
}

// apply accepts a configuration with number n+1 on top of n. Number n is accepted again
// if the digest is the same, since that is a resend.
func (m *Machine) apply(a *protocol.ApplyConfigMsg) *protocol.ApplyConfigReplyMsg {
	digest := protocol.DigestOf(a.Config)
	if a.Number == m.number+1 {
		m.number, m.digest, m.config = a.Number, digest, a.Config
	}
	accepted := a.Number == m.number && digest == m.digest
	return &protocol.ApplyConfigReplyMsg{Accepted: accepted, Number: m.number, Digest: m.digest}
}

// Now returns the latest time of any command, in ms since 1970; 0 before the first.
func (m *Machine) Now() int64 { return m.now }

// Revision returns the accepted configuration; number 0 means none.
func (m *Machine) Revision() (number uint64, config []byte) { return m.number, m.config }

// putDocument accepts a document with a higher number than the current one. Resends and
// older documents change nothing. The reply has the number in force.
func (m *Machine) putDocument(p *protocol.PutDocumentMsg) *protocol.PutDocumentReply {
	if p.Number > m.document.Number {
		m.document = *p
	}
	return &protocol.PutDocumentReply{Number: m.document.Number}
}

// setDutyHolder accepts a duty holder with a higher token. Former in the reply is the
// previous holder, which may have acted until now.
func (m *Machine) setDutyHolder(h *protocol.DutyHolderMsg) *protocol.DutyHolderReply {
	if h.Token > m.dutyHolder.Token {
		m.formerHolder, m.dutyHolder = m.dutyHolder.Holder, *h
	}
	return &protocol.DutyHolderReply{Token: m.dutyHolder.Token, Former: m.formerHolder}
}

// baseline records the first number of servers of a service. With 0 servers it only
// returns the recorded number.
func (m *Machine) baseline(b *protocol.BaselineMsg) *protocol.BaselineReply {
	if _, ok := m.baselines[b.Service]; !ok && b.Servers > 0 {
		m.baselines[b.Service] = b.Servers
	}
	return &protocol.BaselineReply{Servers: m.baselines[b.Service]}
}

// Document returns the opaque document in force; number 0 means none.
func (m *Machine) Document() (number uint64, data []byte) {
	return m.document.Number, m.document.Data
}

// Settled returns the settled usage counts of a window, or nil.
func (m *Machine) Settled(window int64) *protocol.SettleUsageReply { return m.windows.get(window) }

// Rollouts returns the most recent roll-out of each service.
func (m *Machine) Rollouts() []protocol.Rollout { return m.rollouts.list() }

// RolloutLog returns the state of all roll-outs.
func (m *Machine) RolloutLog() protocol.RolloutLog {
	return protocol.RolloutLog{Changes: m.rollouts.changes, Latest: m.rollouts.list(), Known: m.rollouts.known}
}

// RolloutChanges returns the number of changes to the roll-outs and known versions.
func (m *Machine) RolloutChanges() uint64 { return m.rollouts.changes }

// QuarantineLog returns the state of the quarantine, including released requests.
func (m *Machine) QuarantineLog() protocol.QuarantineLog { return m.quarantine.log() }

// QuarantineChanges returns the number of changes to the quarantine.
func (m *Machine) QuarantineChanges() uint64 { return m.quarantine.changes }

// BrittleServices returns the services with brittle servers, sorted by name.
func (m *Machine) BrittleServices() []protocol.BrittleService { return m.brittle.list }

// BrittleChanges returns the number of changes to the services with brittle servers.
func (m *Machine) BrittleChanges() uint64 { return m.brittle.changes }

// PeekClaim answers a claim without changing the state. If the claim would be granted,
// the answer is ClaimFull.
func (m *Machine) PeekClaim(c *protocol.ClaimMsg) *protocol.ClaimReply {
	return m.claims.Peek(c, m.now)
}

// Claims returns the number of claims.
func (m *Machine) Claims() int { return m.claims.Len() }

// Image is a copy of the state at one point in the log. It can be encoded concurrently
// with later commands.
type Image struct {
	Now    int64           `json:"now"`
	Number uint64          `json:"number"`
	Config json.RawMessage `json:"config,omitempty"`
	Claims []*claim        `json:"claims"`

	Document protocol.PutDocumentMsg   `json:"document"`
	Windows  []protocol.SettleUsageMsg `json:"windows,omitempty"`
	Tallies  []protocol.TallyRow       `json:"tallies,omitempty"`
	Bases    map[string]int            `json:"bases,omitempty"`
	Hold     protocol.DutyHolderMsg    `json:"hold"`
	Former   string                    `json:"former,omitempty"`

	Rollouts       []protocol.Rollout `json:"rollouts,omitempty"`
	RolloutCount   uint64             `json:"rollout_count,omitempty"`
	RolloutChanges uint64             `json:"rollout_changes,omitempty"`

	Versions map[string][]string `json:"versions,omitempty"`

	Quarantine        []protocol.Quarantined `json:"quarantine,omitempty"`
	QuarantineChanges uint64                 `json:"quarantine_changes,omitempty"`
	QuarantineFloor   uint64                 `json:"quarantine_floor,omitempty"`

	Brittle        []protocol.BrittleService `json:"brittle,omitempty"`
	BrittleChanges uint64                    `json:"brittle_changes,omitempty"`
}

// Image returns a copy of the state. Claims are copied as pointers, as they are never
// modified in place.
func (m *Machine) Image() *Image {
	return &Image{
		Now: m.now, Number: m.number, Config: m.config, Claims: m.claims.list(), Document: m.document, Windows: m.windows.list(),
		Tallies: m.tallies.list(), Bases: maps.Clone(m.baselines), Hold: m.dutyHolder, Former: m.formerHolder,
		Rollouts: m.rollouts.list(), RolloutCount: m.rollouts.count, RolloutChanges: m.rollouts.changes, Versions: m.rollouts.known,
		Quarantine: m.quarantine.list(), QuarantineChanges: m.quarantine.changes, QuarantineFloor: m.quarantine.floor,
		Brittle: m.brittle.list, BrittleChanges: m.brittle.changes,
	}
}

// Encode encodes the image as a snapshot.
func (i *Image) Encode() ([]byte, error) {
	data, err := json.Marshal(i)
	return data, eris.Wrap(err, "encode snapshot")
}

// Restore replaces the state with a snapshot.
func (m *Machine) Restore(data []byte) error {
	var i Image
	if err := json.Unmarshal(data, &i); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	m.now, m.number, m.config = i.Now, i.Number, i.Config
	m.digest = protocol.Digest{}
	if i.Number > 0 {
		m.digest = protocol.DigestOf(i.Config)
	}
	m.document, m.windows, m.baselines = i.Document, windows{}, map[string]int{}
	maps.Copy(m.baselines, i.Bases)
	m.tallies = tallies{}
	m.tallies.update(&protocol.TallyMsg{Rows: i.Tallies})
	m.dutyHolder, m.formerHolder = i.Hold, i.Former
	m.rollouts = newRollouts(&i)
	m.quarantine = newQuarantine(&i)
	m.brittle = brittleServices{list: i.Brittle, changes: i.BrittleChanges}
	for k := range i.Windows {
		m.windows.settle(&i.Windows[k])
	}
	m.claims = NewClaims()
	for _, c := range i.Claims {
		m.claims.put(c)
	}
	return nil
}
