package state

import (
	"sync/atomic"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// MemberRow is a member with the local time at which its record last changed.
type MemberRow struct {
	protocol.Member
	Since time.Time `json:"since"`
}

// Members is the table of instances of the cluster. Its one writer is the
// membership's loop; everybody else reads a snapshot.
type Members struct {
	rows atomic.Pointer[[]MemberRow]
}

// NewMembers returns an empty table.
func NewMembers() *Members {
	m := &Members{}
	m.Set(nil)
	return m
}

// Set replaces all rows, which must be sorted by name.
func (m *Members) Set(rows []MemberRow) { m.rows.Store(&rows) }

// Rows returns all members by name. The slice must not be changed.
func (m *Members) Rows() []MemberRow { return *m.rows.Load() }

// Get returns the member with a name.
func (m *Members) Get(name string) (MemberRow, bool) {
	for _, row := range m.Rows() {
		if row.Name == name {
			return row, true
		}
	}
	return MemberRow{}, false
}
