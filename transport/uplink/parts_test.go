package uplink

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/protocol"
)

// fakePartHolder is a gateway that holds half of the whole.
type fakePartHolder struct{ received chan float64 }

func (h *fakePartHolder) ReportPart() protocol.PartMsg {
	return protocol.PartMsg{Gateway: "g", Holds: 0.5}
}

func (h *fakePartHolder) HandlePartReply(reply *protocol.PartReply, _ time.Time) {
	h.received <- reply.Part
}

// partCaller answers Uplink.Part calls with replies in turn, and with an error after the last.
type partCaller struct {
	t       *testing.T
	client  *Client
	replies []protocol.PartReply
}

func (c *partCaller) Call(_, method string, m, reply any, _ time.Duration) error {
	if m := m.(protocol.PartMsg); method != "Uplink.Part" || m.Holds != 0.5 || m.Life != c.client.incarnation {
		c.t.Errorf("called %s with %+v", method, m)
	}
	if len(c.replies) == 0 {
		return errors.New("no answer")
	}
	*reply.(*protocol.PartReply) = c.replies[0]
	c.replies = c.replies[1:]
	return nil
}

// TestPartIsRequestedFromLeader checks that the part is requested until a leader answers, and that
// the answer of an instance that does not lead does not count.
func TestPartIsRequestedFromLeader(t *testing.T) {
	holder, calls := &fakePartHolder{received: make(chan float64, 2)}, &partCaller{t: t}
	client := New(calls, nil, nil, nil, zerolog.Nop(), WithPartHolder(holder))
	calls.client = client
	if client.renewPart() {
		t.Error("a part without a leader")
	}
	client.setLeader("leader", "leader")
	calls.replies = []protocol.PartReply{{Part: 0.9}, {Leads: true, Part: 0.25}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.RunParts(ctx) }()
	if part := <-holder.received; part != 0.25 {
		t.Errorf("received %v", part)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if client.renewPart() {
		t.Error("a part from a leader that does not answer")
	}
}
