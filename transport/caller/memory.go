package caller

import (
	"fmt"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/memory"
)

// Memory accounts for the bytes that a process holds for its callers. A nil Memory counts
// nothing and grants every reservation.
type Memory struct {
	registry metrics.Registry
	refused  metrics.Counter

	mu               sync.Mutex // mu guards all below.
	account          *memory.Account
	gaugedWorkspaces map[string]bool // gaugedWorkspaces are the workspaces that have a gauge.
}

// maxWorkspaceGauges bounds the number of per-workspace gauges: names come from operators, and
// each gauge costs memory and a line of output.
const maxWorkspaceGauges = 512

// NewMemory returns an account bounded to the given bytes, with its gauges in a registry.
func NewMemory(bound int64, r metrics.Registry) *Memory {
	m := &Memory{
		registry:         r,
		refused:          metrics.GetOrRegisterCounter("memory.refused", r),
		account:          memory.New(bound),
		gaugedWorkspaces: map[string]bool{},
	}
	m.gauge("memory.bound", (*memory.Account).Bound)
	for _, c := range memory.Causes {
		m.gauge(fmt.Sprintf("memory.held{cause=%q}", c), func(a *memory.Account) int64 { return a.HeldFor(c) })
	}
	return m
}

// gauge registers a gauge of the account.
func (m *Memory) gauge(name string, figure func(*memory.Account) int64) {
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(func() int64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return figure(m.account)
	})) // It fails if the name is already registered by an earlier account.
}

// Reserve reserves n bytes for a cause, all or none.
func (m *Memory) Reserve(h *memory.Hold, c memory.Cause, n int) memory.Decision {
	if m == nil {
		return memory.Decision{Granted: true}
	}
	m.mu.Lock()
	v := m.account.Reserve(h, c, int64(n), time.Now())
	isNew := v.Granted && h.Workspace != "" && !m.gaugedWorkspaces[h.Workspace] && len(m.gaugedWorkspaces) < maxWorkspaceGauges
	if isNew {
		m.gaugedWorkspaces[h.Workspace] = true
	}
	m.mu.Unlock()
	// A refusal for a send buffer only slows the response down, and refused connections have
	// their own counter.
	if !v.Granted && (c == memory.Body || c == memory.Answer) {
		m.refused.Inc(1)
	}
	if isNew {
		name := h.Workspace
		m.gauge(fmt.Sprintf("memory.held_for{workspace=%q}", name), func(a *memory.Account) int64 { return a.HeldBy(name) })
	}
	return v
}

// Release releases n bytes of a cause.
func (m *Memory) Release(h *memory.Hold, c memory.Cause, n int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Release(h, c, int64(n), time.Now())
}

// ReleaseAll releases all bytes of a hold.
func (m *Memory) ReleaseAll(h *memory.Hold) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.ReleaseAll(h, time.Now())
}

// maxBody returns the largest body that can be granted, up to limit: one that, together with
// its connection, leaves the same amount for the others.
func (m *Memory) maxBody(limit int) int {
	if m == nil {
		return limit
	}
	return int(min(int64(limit), max(0, m.account.MaxHold()-connectionBytes/2)))
}

// MemoryStatus is the state of the account as shown to operators.
type MemoryStatus struct {
	Bound      int64            `json:"bound"` // Bound is in bytes, like all values.
	Held       int64            `json:"held"`
	Causes     map[string]int64 `json:"causes"`
	Workspaces map[string]int64 `json:"workspaces"` // Workspaces are the workspaces that hold memory; "" is for unknown callers.
}

// Status returns the state of the account, or nil without an account.
func (m *Memory) Status() *MemoryStatus {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	status := &MemoryStatus{Bound: m.account.Bound(), Held: m.account.Held(), Causes: map[string]int64{}, Workspaces: m.account.Workspaces()}
	for _, c := range memory.Causes {
		status.Causes[c.String()] = m.account.HeldFor(c)
	}
	return status
}
