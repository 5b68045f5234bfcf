// Package state holds what the workers of one process share, and what lasts
// beyond the process.
//
// Shared tables. [Tables] joins the configuration in force, the backend
// servers and the members of the cluster. Each table has one lock of its own.
// A worker that needs two of them takes them in this order, and never back:
//
//  1. configuration (Tables.config)
//  2. backend servers (Backends.mu)
//  3. streams (Streams.mu)
//
// The members have one writer and no lock.
//
// Readers on the request path take no lock: they read immutable snapshots
// through atomic pointers, and counters through atomics.
//
// Lasting state. The log, snapshots, the accepted configuration and the
// claims live under one data folder and count only once they are synced.
package state

import (
	"sync"
	"sync/atomic"

	"github.com/weldstream/weldstream/protocol"
)

// Tables joins the shared tables of one process.
type Tables struct {
	Backends *Backends
	Members  *Members
	Streams  *Streams

	config  sync.Mutex // config orders Install calls.
	index   atomic.Pointer[Index]
	changed chan struct{} // changed is closed and replaced by each Install.
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

// Index returns the configuration in force, or nil before the first.
func (t *Tables) Index() *Index { return t.index.Load() }

// Install puts a revision in force if it is above the one that is, and reports
// whether it did. A revision never goes back.
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

// Changed returns a channel that is closed when a newer revision is in force.
func (t *Tables) Changed() <-chan struct{} {
	t.config.Lock()
	defer t.config.Unlock()
	return t.changed
}

// Revision returns the number and digest in force; zero before the first.
func (t *Tables) Revision() (uint64, protocol.Digest) {
	ix := t.index.Load()
	if ix == nil {
		return 0, protocol.Digest{}
	}
	return ix.Number, ix.Digest
}
