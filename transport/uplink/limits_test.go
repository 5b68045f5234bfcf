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

// limiter is a gateway whose servers name limits.
type limiter struct {
	answered atomic.Int64 // answered counts the answers of a leader.
	failed   atomic.Int64 // failed counts questions that got none.
}

func (*limiter) LimitsOutdated(uint64, uint64) bool       { return false }
func (*limiter) ReportLimits() (protocol.LimitsMsg, bool) { return protocol.LimitsMsg{}, true }
func (*limiter) ObservedLimits() []protocol.ReportedLimit { return nil }
func (*limiter) AddSharedLimits([]protocol.ReportedLimit) {}
func (l *limiter) HandleLimitsReply(_ *protocol.LimitsMsg, reply *protocol.LimitsReply, _ time.Time) {
	if reply == nil {
		l.failed.Add(1)
		return
	}
	l.answered.Add(1)
}

// limitsCaller answers questions for permits as it is set to.
type limitsCaller struct {
	calls  atomic.Int64
	answer func(reply *protocol.LimitsReply) error
}

func (c *limitsCaller) Call(_, _ string, _, reply any, _ time.Duration) error {
	c.calls.Add(1)
	return c.answer(reply.(*protocol.LimitsReply))
}

// TestLimitsWithoutLeader checks that requests which wait are told at once where no leader
// answers, one of a build that has no such call among them, and that it is not asked again and again without a pause.
func TestLimitsWithoutLeader(t *testing.T) {
	for name, c := range map[string]struct {
		leader string
		answer func(*protocol.LimitsReply) error
		good   bool
	}{
		"none is known":       {"", func(*protocol.LimitsReply) error { return nil }, false},
		"it has no such call": {"leader", func(*protocol.LimitsReply) error { return errors.New("no such method") }, false},
		"it leads no more":    {"leader", func(*protocol.LimitsReply) error { return nil }, false},
		"it answers":          {"leader", func(r *protocol.LimitsReply) error { r.Leads = true; return nil }, true},
	} {
		calls, gateway := &limitsCaller{answer: c.answer}, &limiter{}
		client := New(calls, nil, nil, nil, zerolog.Nop(), WithLimiter(gateway))
		client.lead(c.leader, c.leader)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(ended)
			_ = client.RunLimits(ctx) // It ends with ctx alone.
		}()
		for gateway.answered.Load()+gateway.failed.Load() < 5 {
			client.SyncLimitsNow()
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		cancel()
		<-ended
		if good := gateway.failed.Load() == 0; good != c.good {
			t.Errorf("%s: %d answers, %d without one", name, gateway.answered.Load(), gateway.failed.Load())
		}
		if !c.good && took < 4*searchPause {
			t.Errorf("%s: five questions in %v", name, took)
		}
	}
}

// passedCaller answers for control instances none of which leads.
type passedCaller struct {
	mu    sync.Mutex // mu guards asked.
	asked map[string][]protocol.SharedLimitsMsg
}

func (c *passedCaller) Call(address, method string, args, reply any, _ time.Duration) error {
	if method != "Uplink.Passed" {
		return errors.New("none leads")
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

// hearing is a limiter that notes what is passed on to it.
type hearing struct {
	limiter
	took map[string]int
}

func (h *hearing) ObservedLimits() []protocol.ReportedLimit {
	return []protocol.ReportedLimit{{Server: "own"}}
}
func (h *hearing) AddSharedLimits(rows []protocol.ReportedLimit) {
	for _, row := range rows {
		h.took[row.Server]++
	}
}

// TestPassedWithoutLeader checks that a gateway without a leader asks all control instances
// in turn, with the mark of each, and tells them what it heard itself; and that one that was
// never linked asks none.
func TestPassedWithoutLeader(t *testing.T) {
	calls, gateway := &passedCaller{asked: map[string][]protocol.SharedLimitsMsg{}}, &hearing{took: map[string]int{}}
	client := New(calls, nil, []string{"a", "b"}, nil, zerolog.Nop(), WithLimiter(gateway))
	client.askPassed()
	if len(calls.asked) > 0 {
		t.Errorf("a gateway that was never linked asked %v", calls.asked)
	}
	client.members.Store(3)
	client.learn([]string{"a", "b", "c"}, nil)
	for range 6 {
		client.askPassed()
	}
	for _, address := range []string{"a", "b", "c"} {
		asked := calls.asked[address]
		if len(asked) != 2 || gateway.took[address] != 2 {
			t.Fatalf("%s was asked %d times, and %d limits were taken from it", address, len(asked), gateway.took[address])
		}
		if asked[1].Held.Change != 1 || len(asked[1].Heard) != 1 {
			t.Errorf("%s was asked %+v", address, asked[1])
		}
	}
}
