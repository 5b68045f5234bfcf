package control

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/uplink"
)

// singleRelay connects a gateway to one relay only.
type singleRelay struct {
	relay   *Uplink
	answers chan bool // answers receives whether each answer of the relay is valid.
}

const relayAddr = "10.0.0.1:7000"

func (c singleRelay) Call(address, method string, args, reply any, _ time.Duration) error {
	if address != relayAddr {
		return errors.New("unreachable")
	}
	if m, ok := args.(protocol.LeaderMsg); ok {
		*reply.(*protocol.LeaderReply) = protocol.LeaderReply{Leader: leaderAddr, Controls: []string{leaderAddr, relayAddr}, Domains: []string{"b1", "a1"}}
		if m.Besides == leaderAddr {
			reply.(*protocol.LeaderReply).Leader = ""
		}
		return nil
	}
	r := reply.(*protocol.SyncReply)
	err := c.relay.Sync(args.(protocol.SyncMsg), r)
	select {
	case c.answers <- r.Leads:
	default:
	}
	return err
}

// confirmingGateway is a gateway that records until when its document was confirmed as newest.
type confirmingGateway struct {
	uplink.Gateway // Gateway is nil; the methods below are all that is called.

	number    uint64
	confirmed chan confirmation
}

type confirmation struct {
	number uint64
	at     time.Time
}

func (g *confirmingGateway) Report(uint64) protocol.SyncMsg {
	return protocol.SyncMsg{Gateway: "g", Domain: "a1", Number: g.number, Lister: 1}
}
func (g *confirmingGateway) HandleSyncReply(*protocol.SyncMsg, *protocol.SyncReply, time.Time) {}
func (g *confirmingGateway) SetRollouts(*protocol.SyncReply, time.Time)                        {}
func (g *confirmingGateway) SetQuarantine(*protocol.SyncReply)                                 {}
func (g *confirmingGateway) SetLanes([]protocol.ServiceLanes)                                  {}
func (g *confirmingGateway) ListLate()                                                         {}
func (g *confirmingGateway) Overdue()                                                          {}
func (g *confirmingGateway) Document(number uint64, _ []byte) error {
	g.number = number
	return nil
}
func (g *confirmingGateway) Confirm(at time.Time, _ int) { g.confirmed <- confirmation{g.number, at} }

// TestKeyRevokedBehindDisconnectedRelay checks that a gateway whose relay is disconnected from
// the leader does not confirm its document for any time after another one, which revokes a
// key, was accepted; the last confirmed time is what makes it refuse requests within the
// bound. After the relay has reconnected, the gateway holds the newer document before it
// confirms again.
func TestKeyRevokedBehindDisconnectedRelay(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newTestRelay(t, w, "a", defaultSlack)
	leader.Install(5, []byte("the key stands"))
	calls := singleRelay{relay, make(chan bool, 1000)}
	g := &confirmingGateway{confirmed: make(chan confirmation, 1000)}
	regions := topology.New(map[string]string{"a1": "a", "b1": "b"})
	client := uplink.New(calls, g, []string{relayAddr}, UnpackList, zerolog.Nop(), uplink.WithRegions(regions, "a1", "g"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = client.Run(t.Context())
	}()
	t.Cleanup(func() { <-ended })
	if c := receive(t, g.confirmed, "the first answer"); c.number != 5 {
		t.Fatalf("confirmed document %d, want 5", c.number)
	}
	hold := make(chan struct{})
	w.set(func() { w.hold = hold })
	leader.Install(6, []byte("the key is gone"))
	accepted := time.Now()
	for refused, end := 0, time.Now().Add(testTimeout); refused < 3; {
		if time.Now().After(end) {
			t.Fatal("answers of the disconnected relay are valid")
		}
		if !receive(t, calls.answers, "answers of the disconnected relay") {
			refused++
		}
	}
	w.set(func() { w.hold = nil })
	close(hold)
	for {
		c := receive(t, g.confirmed, "an answer after the relay has reconnected")
		if c.at.After(accepted) && c.number != 6 {
			t.Fatalf("document %d confirmed %v after another one was accepted", c.number, c.at.Sub(accepted))
		}
		if c.number == 6 {
			return
		}
	}
}
