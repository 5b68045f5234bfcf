package uplink

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/protocol"
)

// fakeBorrower is a gateway that wants retries once.
type fakeBorrower struct {
	wants   bool
	replies chan *protocol.RetryReply
}

func (b *fakeBorrower) ReportRetries() (protocol.RetryMsg, bool) {
	wants := b.wants
	b.wants = false
	return protocol.RetryMsg{Gateway: "g"}, wants
}

func (b *fakeBorrower) HandleRetryReply(_ *protocol.RetryMsg, reply *protocol.RetryReply, _ time.Time) {
	b.replies <- reply
}

// retriesCaller answers Uplink.Retries calls with a fixed reply.
type retriesCaller struct {
	reply protocol.RetryReply
	err   error
}

func (c *retriesCaller) Call(_, _ string, _, reply any, _ time.Duration) error {
	*reply.(*protocol.RetryReply) = c.reply
	return c.err
}

// TestRetriesAreRequestedFromLeader checks that retries are requested when they are wanted, and
// that only the answer of a leader counts.
func TestRetriesAreRequestedFromLeader(t *testing.T) {
	leads := protocol.RetryReply{Leads: true}
	for name, c := range map[string]struct {
		leader string
		calls  retriesCaller
		lent   bool
	}{
		"leader":               {"leader", retriesCaller{reply: leads}, true},
		"no longer the leader": {"leader", retriesCaller{}, false},
		"leader is down":       {"leader", retriesCaller{reply: leads, err: errors.New("no answer")}, false},
		"no leader is known":   {"", retriesCaller{reply: leads}, false},
	} {
		gateway := &fakeBorrower{wants: true, replies: make(chan *protocol.RetryReply, 1)}
		client := New(&c.calls, nil, nil, nil, zerolog.Nop(), WithRetries(gateway))
		client.setLeader(c.leader, c.leader)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- client.RunRetries(ctx) }()
		client.RequestRetriesNow()
		if reply := <-gateway.replies; (reply != nil) != c.lent {
			t.Errorf("%s: reply %+v", name, reply)
		}
		client.RequestRetriesNow() // Nothing is wanted any more.
		cancel()
		if err := <-ended; err != nil || len(gateway.replies) > 0 {
			t.Errorf("%s: ended with %v, %d further replies", name, err, len(gateway.replies))
		}
	}
}
