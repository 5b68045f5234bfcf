package place

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// LoadVector is the loads of all listed servers, a byte each, and when each changed: who
// holds an earlier state is told what changed since. At 300 gateways before 3,000
// servers a whole state in each answer was two thirds of what a leader sent.
type LoadVector struct {
	version uint64 // version rises with each change.
	base    uint64 // base is the first version of this list of servers.
	values  []byte
	changed []uint64 // changed are the versions in which the values changed last.
}

// Reset takes the loads of another list of servers.
func (v *LoadVector) Reset(values []byte) {
	v.version++
	v.base = v.version
	v.values, v.changed = bytes.Clone(values), make([]uint64, len(values))
}

// Set takes the loads of the same servers as they are now.
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
			v.values[i], v.changed[i] = n, v.version
		}
	}
}

// Version returns the version of the loads that are held.
func (v *LoadVector) Version() uint64 { return v.version }

// Values returns the loads that are held. They are not to be changed.
func (v *LoadVector) Values() []byte { return v.values }

// Since returns what changed behind a version, or false where all loads are to be told:
// the version is of another list, or the changes are no shorter. A change is how many
// servers lie between it and the one before, as a variable-length number, and the
// server's load.
func (v *LoadVector) Since(version uint64) (changes []byte, ok bool) {
	if version < v.base || version > v.version || v.base == 0 {
		return nil, false
	}
	last := -1
	for i, at := range v.changed {
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

// ErrLoadChanges is returned for changes that are none of the loads that are held.
var ErrLoadChanges = eris.New("the changes of the servers' loads cannot be read")

// WithChanges returns loads with what changed of them.
func WithChanges(loads, changes []byte) ([]byte, error) {
	loads = bytes.Clone(loads)
	at := -1
	for len(changes) > 0 {
		gap, n := binary.Uvarint(changes)
		if n <= 0 || len(changes) == n || gap >= uint64(len(loads)) || at+1+int(gap) >= len(loads) {
			return nil, ErrLoadChanges
		}
		at += 1 + int(gap)
		loads[at] = changes[n]
		changes = changes[n+1:]
	}
	return loads, nil
}

// UpdateLoads returns the loads that an asker has after an answer: those that it held under
// the mark from, with the changes, or the whole ones that the answer holds. An answer
// without changes under another mark is for another list of servers, whose loads are
// whole, if there are any.
func UpdateLoads(held []byte, from protocol.LoadVersion, whole, changes []byte, to protocol.LoadVersion) ([]byte, error) {
	if len(whole) > 0 || from.Incarnation != to.Incarnation || (len(changes) == 0 && from != to) {
		return whole, nil
	}
	return WithChanges(held, changes)
}
