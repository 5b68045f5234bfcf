// Package state holds the state that is shared within one process, and the state that
// outlives the process.
//
// Shared tables. [Tables] combines the configuration in force, the backend servers and
// the members of the cluster. Each table has its own lock. A goroutine that needs two
// of them must acquire them in this order:
//
//  1. configuration (Tables.config)
//  2. backend servers (Backends.mu)
//  3. streams (Streams.mu)
//
// The member table has a single writer and no lock.
//
// Readers on the request path take no locks: they read immutable snapshots through
// atomic pointers, and counters through atomics.
//
// Durable state. The log, snapshots, the accepted configuration and the claims are kept
// in one data directory and count only once they are synced to disk.
package state

import (
	"sync"
	"sync/atomic"

	"github.com/weldstream/weldstream/protocol"
)

// Tables combines the shared tables of one process.
type Tables struct {
	Backends *Backends
	Members  *Members
	Streams  *Streams

	config  sync.Mutex // serializes Install calls
	index   atomic.Pointer[Index]
	changed chan struct{} // closed and replaced by each Install
}

// NewTables returns empty tables.
func NewTables() *Tables {
	return &Tables{
		Backends: NewBackends(),
		Members:  NewMembers(),
		Streams:  NewStreams(),
		changed:  make(chan struct{}),
	}
}

// Index returns the configuration in force, or nil before the first Install.
func (t *Tables) Index() *Index { return t.index.Load() }

// Install puts a revision in force if its number is higher than that of the current
// one, and reports whether it did.
func (t *Tables) Install(rev protocol.Revision) bool {
	t.config.Lock()
	defer t.config.Unlock()
	if cur := t.index.Load(); cur != nil && rev.Number <= cur.Number {
		return false
	}
	t.index.Store(NewIndex(rev))
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a newer revision is installed.
func (t *Tables) Changed() <-chan struct{} {
	t.config.Lock()
	defer t.config.Unlock()
	return t.changed
}

// Revision returns the number and digest of the configuration in force; both are zero
// before the first Install.
func (t *Tables) Revision() (uint64, protocol.Digest) {
	ix := t.index.Load()
	if ix == nil {
		return 0, protocol.Digest{}
	}
	return ix.Number, ix.Digest
}
