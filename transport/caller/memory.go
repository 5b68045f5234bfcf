package caller

import (
	"fmt"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/memory"
)

// Memory is the account of the bytes that a process holds for its callers. A nil
// Memory counts nothing and admits all.
type Memory struct {
	registry metrics.Registry
	refused  metrics.Counter

	mu      sync.Mutex // mu guards all below.
	account *memory.Account
	metered map[string]bool // metered are the workspaces that have a gauge.
}

// mostMetered bounds the gauges of workspaces: names come from the operators, and each
// gauge costs memory and a line.
const mostMetered = 512

// NewMemory returns an account of at most some bytes, with its figures in a registry.
func NewMemory(bound int64, r metrics.Registry) *Memory {
	m := &Memory{
		registry: r,
		refused:  metrics.GetOrRegisterCounter("memory.refused", r),
		account:  memory.New(bound),
		metered:  map[string]bool{},
	}
	m.gauge("memory.bound", (*memory.Account).Bound)
	for _, c := range memory.Causes {
		m.gauge(fmt.Sprintf("memory.held{cause=%q}", c), func(a *memory.Account) int64 { return a.HeldFor(c) })
	}
	return m
}

// gauge registers a figure of the account.
func (m *Memory) gauge(name string, figure func(*memory.Account) int64) {
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(func() int64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return figure(m.account)
	})) // It fails for a name that is there already, of an account before this one.
}

// Reserve takes bytes for a cause, all or none.
func (m *Memory) Reserve(h *memory.Hold, c memory.Cause, n int) memory.Decision {
	if m == nil {
		return memory.Decision{Granted: true}
	}
	m.mu.Lock()
	v := m.account.Reserve(h, c, int64(n), time.Now())
	newcomer := v.Granted && h.Workspace != "" && !m.metered[h.Workspace] && len(m.metered) < mostMetered
	if newcomer {
		m.metered[h.Workspace] = true
	}
	m.mu.Unlock()
	// Where a send buffer is full the answer goes on, slower; connections have their own count.
	if !v.Granted && (c == memory.Body || c == memory.Answer) {
		m.refused.Inc(1)
	}
	if newcomer {
		name := h.Workspace
		m.gauge(fmt.Sprintf("memory.held_for{workspace=%q}", name), func(a *memory.Account) int64 { return a.HeldBy(name) })
	}
	return v
}

// Release gives bytes back.
func (m *Memory) Release(h *memory.Hold, c memory.Cause, n int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Release(h, c, int64(n), time.Now())
}

// ReleaseAll gives back all that a hold has.
func (m *Memory) ReleaseAll(h *memory.Hold) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.ReleaseAll(h, time.Now())
}

// most is the largest body that can ever be taken, at most a limit: one beside whose
// connection as much is left for the others.
func (m *Memory) most(limit int) int {
	if m == nil {
		return limit
	}
	return int(min(int64(limit), max(0, m.account.MaxHold()-connectionBytes/2)))
}

// MemoryStatus is the account's state for people.
type MemoryStatus struct {
	Bound      int64            `json:"bound"` // Bound is in bytes, as all are.
	Held       int64            `json:"held"`
	Causes     map[string]int64 `json:"causes"`
	Workspaces map[string]int64 `json:"workspaces"` // Workspaces are those that hold any; "" are callers who are not known.
}

// Status returns the account's state, nil without an account.
func (m *Memory) Status() *MemoryStatus {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	row := &MemoryStatus{Bound: m.account.Bound(), Held: m.account.Held(), Causes: map[string]int64{}, Workspaces: m.account.Workspaces()}
	for _, c := range memory.Causes {
		row.Causes[c.String()] = m.account.HeldFor(c)
	}
	return row
}
