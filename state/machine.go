package state

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// Machine is the replicated state: the configuration and the claims. It is a
// function of the log alone: the same commands in the same order give the same
// state on every replica.
type Machine struct {
	now    int64 // now is the latest time of any command, in ms; it never goes back.
	number uint64
	digest protocol.Digest
	config []byte // config is the canonical form.
	claims *Claims

	document protocol.PutDocumentMsg // document is the opaque one that holds.
	windows  windows
	tallies  tallies
	hold     protocol.DutyHolderMsg
	former   string // former held the duties before the holder.
	rollouts rollouts

	quarantine quarantine
	bases      map[string]int // bases are the servers of each service when it was first seen.
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	return &Machine{claims: NewClaims(), windows: windows{}, bases: map[string]int{}}
}

// Apply carries out one command.
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
		return protocol.Result{Put: m.put(c.Put)}
	case c.Tally != nil:
		return protocol.Result{Tally: m.tallies.keep(c.Tally)}
	case c.Hold != nil:
		return protocol.Result{Hold: m.take(c.Hold)}
	case c.Base != nil:
		return protocol.Result{Base: m.base(c.Base)}
	case c.Settle != nil:
		return protocol.Result{Settle: m.windows.settle(c.Settle)}
	case c.BeginRollout != nil:
		return protocol.Result{BeginRollout: m.rollouts.begin(c.BeginRollout, m.now)}
	case c.StageRollout != nil:
		return protocol.Result{StageRollout: m.rollouts.stage(c.StageRollout, m.now)}
	case c.Versions != nil:
		m.rollouts.know(c.Versions)
	case c.Quarantine != nil:
		m.quarantine.change(c.Quarantine, m.now)
	}
	return protocol.Result{}
}

// apply accepts number n+1 on top of n, and n again with the same digest: that
// is a resend.
func (m *Machine) apply(a *protocol.ApplyMsg) *protocol.ApplyReplyMsg {
	digest := protocol.DigestOf(a.Config)
	if a.Number == m.number+1 {
		m.number, m.digest, m.config = a.Number, digest, a.Config
	}
	accepted := a.Number == m.number && digest == m.digest
	return &protocol.ApplyReplyMsg{Accepted: accepted, Number: m.number, Digest: m.digest}
}

// Now returns the latest time of any command, in ms since 1970; 0 before the first.
func (m *Machine) Now() int64 { return m.now }

// Revision returns the configuration that is accepted; number 0 means none.
func (m *Machine) Revision() (number uint64, config []byte) { return m.number, m.config }

// put takes a document with a higher number in place of the one that holds. A
// resend, or an older one, changes nothing and learns what holds.
func (m *Machine) put(p *protocol.PutDocumentMsg) *protocol.PutDocumentReply {
	if p.Number > m.document.Number {
		m.document = *p
	}
	return &protocol.PutDocumentReply{Number: m.document.Number}
}

// take names a holder of the duties with a higher token. Former is who may have
// acted last before it.
func (m *Machine) take(h *protocol.DutyHolderMsg) *protocol.DutyHolderReply {
	if h.Token > m.hold.Token {
		m.former, m.hold = m.hold.Holder, *h
	}
	return &protocol.DutyHolderReply{Token: m.hold.Token, Former: m.former}
}

// base fixes a service's first number of servers. With 0 it only tells it.
func (m *Machine) base(b *protocol.BaselineMsg) *protocol.BaselineReply {
	if _, ok := m.bases[b.Service]; !ok && b.Servers > 0 {
		m.bases[b.Service] = b.Servers
	}
	return &protocol.BaselineReply{Servers: m.bases[b.Service]}
}

// Document returns the opaque document that holds; number 0 means none.
func (m *Machine) Document() (number uint64, data []byte) {
	return m.document.Number, m.document.Data
}

// Settled returns what is settled for a window, or nil.
func (m *Machine) Settled(window int64) *protocol.SettleUsageReply { return m.windows.get(window) }

// Rollouts returns the newest roll-out of each service.
func (m *Machine) Rollouts() []protocol.Rollout { return m.rollouts.list() }

// RolloutLog returns all that is known of roll-outs.
func (m *Machine) RolloutLog() protocol.RolloutLog {
	return protocol.RolloutLog{Changes: m.rollouts.changes, Latest: m.rollouts.list(), Known: m.rollouts.known}
}

// RolloutChanges returns how often what is known of roll-outs changed.
func (m *Machine) RolloutChanges() uint64 { return m.rollouts.changes }

// QuarantineLog returns the requests that are kept from servers, and those that were.
func (m *Machine) QuarantineLog() protocol.QuarantineLog { return m.quarantine.log() }

// QuarantineChanges returns how often the quarantine changed.
func (m *Machine) QuarantineChanges() uint64 { return m.quarantine.changes }

// PeekClaim answers a claim as far as that changes nothing: one that would be
// granted is refused for want of room.
func (m *Machine) PeekClaim(c *protocol.ClaimMsg) *protocol.ClaimReply {
	return m.claims.Peek(c, m.now)
}

// Claims returns the number of claims kept.
func (m *Machine) Claims() int { return m.claims.Len() }

// Image is a copy of the state at one moment, to be encoded elsewhere.
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
}

// Image returns a copy of the state. Claims are never changed in place, so the
// copy is one of pointers.
func (m *Machine) Image() *Image {
	return &Image{
		Now: m.now, Number: m.number, Config: m.config, Claims: m.claims.list(), Document: m.document, Windows: m.windows.list(),
		Tallies: m.tallies.list(), Bases: maps.Clone(m.bases), Hold: m.hold, Former: m.former,
		Rollouts: m.rollouts.list(), RolloutCount: m.rollouts.count, RolloutChanges: m.rollouts.changes, Versions: m.rollouts.known,
		Quarantine: m.quarantine.list(), QuarantineChanges: m.quarantine.changes, QuarantineFloor: m.quarantine.floor,
	}
}

// Encode renders the image as a snapshot.
func (i *Image) Encode() ([]byte, error) {
	data, err := json.Marshal(i)
	return data, eris.Wrap(err, "encode snapshot")
}

// Restore replaces the state by a snapshot.
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
	m.document, m.windows, m.bases = i.Document, windows{}, map[string]int{}
	maps.Copy(m.bases, i.Bases)
	m.tallies = tallies{}
	m.tallies.keep(&protocol.TallyMsg{Rows: i.Tallies})
	m.hold, m.former = i.Hold, i.Former
	m.rollouts = newRollouts(&i)
	m.quarantine = newQuarantine(&i)
	for k := range i.Windows {
		m.windows.settle(&i.Windows[k])
	}
	m.claims = NewClaims()
	for _, c := range i.Claims {
		m.claims.put(c)
	}
	return nil
}
