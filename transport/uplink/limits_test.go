package uplink

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/protocol"
)

// fakeLimiter is a Limiter that always has a report and counts the replies.
type fakeLimiter struct {
	answered atomic.Int64 // answered counts replies of a leader.
	failed   atomic.Int64 // failed counts reports without a reply.
}

func (*fakeLimiter) LimitsOutdated(uint64, uint64) bool       { return false }
func (*fakeLimiter) ReportLimits() (protocol.LimitsMsg, bool) { return protocol.LimitsMsg{}, true }
func (*fakeLimiter) ObservedLimits() []protocol.ReportedLimit { return nil }
func (*fakeLimiter) AddSharedLimits([]protocol.ReportedLimit) {}
func (l *fakeLimiter) HandleLimitsReply(_ *protocol.LimitsMsg, reply *protocol.LimitsReply, _ time.Time) {
	if reply == nil {
		l.failed.Add(1)
		return
	}
	l.answered.Add(1)
}

// limitsCaller answers Uplink.Limits calls with a func.
type limitsCaller struct {
	calls  atomic.Int64
	answer func(reply *protocol.LimitsReply) error
}

func (c *limitsCaller) Call(_, _ string, _, reply any, _ time.Duration) error {
	c.calls.Add(1)
	return c.answer(reply.(*protocol.LimitsReply))
}

// TestLimitsWithoutLeader checks that the gateway is told about each report
// without an answer from a leader, also if the leader's build lacks the method, and that failed
// reports are not repeated without a pause.
// Guards against client requests that wait in vain and against a busy loop of calls.
func TestLimitsWithoutLeader(t *testing.T) {
	for name, c := range map[string]struct {
		leader   string
		answer   func(*protocol.LimitsReply) error
		answered bool
	}{
		"no leader is known":   {"", func(*protocol.LimitsReply) error { return nil }, false},
		"method is missing":    {"leader", func(*protocol.LimitsReply) error { return errors.New("no such method") }, false},
		"no longer the leader": {"leader", func(*protocol.LimitsReply) error { return nil }, false},
		"leader answers":       {"leader", func(r *protocol.LimitsReply) error { r.Leads = true; return nil }, true},
	} {
		calls, gateway := &limitsCaller{answer: c.answer}, &fakeLimiter{}
		client := New(calls, nil, nil, nil, zerolog.Nop(), WithLimiter(gateway))
		client.setLeader(c.leader, c.leader)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(ended)
			_ = client.RunLimits(ctx) // It returns only when ctx ends.
		}()
		for gateway.answered.Load()+gateway.failed.Load() < 5 {
			client.SyncLimitsNow()
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		cancel()
		<-ended
		if answered := gateway.failed.Load() == 0; answered != c.answered {
			t.Errorf("%s: %d reports answered, %d failed", name, gateway.answered.Load(), gateway.failed.Load())
		}
		if !c.answered && took < 4*searchPause {
			t.Errorf("%s: five reports in %v", name, took)
		}
	}
}

// sharedLimitsCaller answers for control instances of which none leads.
type sharedLimitsCaller struct {
	mu    sync.Mutex // mu guards asked.
	asked map[string][]protocol.SharedLimitsMsg
}

func (c *sharedLimitsCaller) Call(address, method string, args, reply any, _ time.Duration) error {
	if method != "Uplink.Passed" {
		return errors.New("no leader")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[address] = append(c.asked[address], args.(protocol.SharedLimitsMsg))
	*reply.(*protocol.SharedLimitsReply) = protocol.SharedLimitsReply{
		Holds: protocol.SharedLimitsVersion{Incarnation: 7, Change: uint64(len(c.asked[address]))},
		Heard: []protocol.ReportedLimit{{Server: address}},
	}
	return nil
}

// recordingLimiter is a fakeLimiter that counts the shared limits by server.
type recordingLimiter struct {
	fakeLimiter
	added map[string]int
}

func (h *recordingLimiter) ObservedLimits() []protocol.ReportedLimit {
	return []protocol.ReportedLimit{{Server: "own"}}
}
func (h *recordingLimiter) AddSharedLimits(rows []protocol.ReportedLimit) {
	for _, row := range rows {
		h.added[row.Server]++
	}
}

// TestSharedLimitsWithoutLeader checks that a gateway without a leader polls all control
// instances in turn, sends each its own version and the limits observed by the gateway, and
// that a gateway that was never linked polls none.
func TestSharedLimitsWithoutLeader(t *testing.T) {
	calls, gateway := &sharedLimitsCaller{asked: map[string][]protocol.SharedLimitsMsg{}}, &recordingLimiter{added: map[string]int{}}
	client := New(calls, nil, []string{"a", "b"}, nil, zerolog.Nop(), WithLimiter(gateway))
	client.syncSharedLimits()
	if len(calls.asked) > 0 {
		t.Errorf("a gateway that was never linked polled %v", calls.asked)
	}
	client.gatewayCount.Store(3)
	client.setControls([]string{"a", "b", "c"}, nil)
	for range 6 {
		client.syncSharedLimits()
	}
	for _, address := range []string{"a", "b", "c"} {
		asked := calls.asked[address]
		if len(asked) != 2 || gateway.added[address] != 2 {
			t.Fatalf("%s was polled %d times, and %d limits were added from it, want 2 and 2", address, len(asked), gateway.added[address])
		}
		if asked[1].Held.Change != 1 || len(asked[1].Heard) != 1 {
			t.Errorf("%s got the second request %+v, want version 1 and one limit", address, asked[1])
		}
	}
}
