package place

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// LoadVector holds the loads of all listed servers, one byte each, and the version in which
// each changed last, so that a peer with an earlier version gets only the changes. With 300
// gateways and 3,000 servers, complete loads in each answer were two thirds of the leader's
// outgoing traffic.
type LoadVector struct {
	version      uint64 // version increases with each change.
	firstVersion uint64 // firstVersion is the first version of the current list of servers.
	values       []byte
	changedAt    []uint64 // changedAt holds the version in which each value changed last.
}

// Reset sets the loads of a new list of servers.
func (v *LoadVector) Reset(values []byte) {
	v.version++
	v.firstVersion = v.version
	v.values, v.changedAt = bytes.Clone(values), make([]uint64, len(values))
}

// Set sets the current loads of the same list of servers.
func (v *LoadVector) Set(values []byte) {
	if len(values) != len(v.values) {
		v.Reset(values)
		return
	}
	if bytes.Equal(values, v.values) {
		return
	}
	v.version++
	for i, n := range values {
		if v.values[i] != n {
			v.values[i], v.changedAt[i] = n, v.version
		}
	}
}

// Version returns the current version.
func (v *LoadVector) Version() uint64 { return v.version }

// Values returns the current loads. They must not be modified.
func (v *LoadVector) Values() []byte { return v.values }

// Since returns the changes after a version, or false if the complete loads must be sent:
// because the version belongs to another list, or because the changes are no shorter. A
// change is encoded as the number of unchanged servers since the previous change (uvarint)
// and the server's load.
func (v *LoadVector) Since(version uint64) (changes []byte, ok bool) {
	if version < v.firstVersion || version > v.version || v.firstVersion == 0 {
		return nil, false
	}
	last := -1
	for i, at := range v.changedAt {
		if at <= version {
			continue
		}
		changes = binary.AppendUvarint(changes, uint64(i-last-1))
		changes = append(changes, v.values[i])
		last = i
		if len(changes) >= len(v.values) {
			return nil, false
		}
	}
	return changes, true
}

// ErrLoadChanges is returned for changes that do not fit the held loads.
var ErrLoadChanges = eris.New("cannot decode the changes of the servers' loads")

// WithChanges returns a copy of the loads with the changes applied.
func WithChanges(loads, changes []byte) ([]byte, error) {
	loads = bytes.Clone(loads)
	at := -1
	for len(changes) > 0 {
		gap, n := binary.Uvarint(changes)
		if n <= 0 || len(changes) == n || gap >= uint64(len(loads)) || at+1+int(gap) >= len(loads) {
			return nil, eris.Wrapf(ErrLoadChanges, "%d bytes left after %d of %d servers", len(changes), at+1, len(loads))
		}
		at += 1 + int(gap)
		loads[at] = changes[n]
		changes = changes[n+1:]
	}
	return loads, nil
}

// UpdateLoads returns the loads of a client after an answer: those that it held at version
// from, with the changes up to version to applied, or the complete loads in the answer. An
// answer without changes at another version belongs to another list of servers and holds
// its complete loads, if there are any.
func UpdateLoads(held []byte, from protocol.LoadVersion, whole, changes []byte, to protocol.LoadVersion) ([]byte, error) {
	if len(whole) > 0 || from.Incarnation != to.Incarnation || (len(changes) == 0 && from != to) {
		return whole, nil
	}
	return WithChanges(held, changes)
}
