package state

import (
	"sync/atomic"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// MemberRow is a member and the local time at which its record last changed.
type MemberRow struct {
	protocol.Member
	Since time.Time `json:"since"`
}

// Members is the table of the cluster's instances. Only the membership loop writes to
// it; all others read a snapshot.
type Members struct {
	rows atomic.Pointer[[]MemberRow]
}

// NewMembers returns an empty table.
func NewMembers() *Members {
	m := &Members{}
	m.Set(nil)
	return m
}

// Set replaces all rows. They must be sorted by name.
func (m *Members) Set(rows []MemberRow) { m.rows.Store(&rows) }

// Rows returns all members, sorted by name. The slice must not be modified.
func (m *Members) Rows() []MemberRow { return *m.rows.Load() }

// Get returns the member with the given name.
func (m *Members) Get(name string) (MemberRow, bool) {
	for _, row := range m.Rows() {
		if row.Name == name {
			return row, true
		}
	}
	return MemberRow{}, false
}
