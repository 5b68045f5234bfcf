package uplink

import (
	"context"
	"errors"
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

func (*limiter) LimitsBehind(uint64, uint64) bool         { return false }
func (*limiter) ReportLimits() (protocol.LimitsMsg, bool) { return protocol.LimitsMsg{}, true }
func (l *limiter) AnsweredLimits(_ *protocol.LimitsMsg, reply *protocol.LimitsReply, _ time.Time) {
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
		client.lead(c.leader)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(ended)
			_ = client.RunLimits(ctx) // It ends with ctx alone.
		}()
		for gateway.answered.Load()+gateway.failed.Load() < 5 {
			client.LimitsNow()
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
