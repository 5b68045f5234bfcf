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

// relayOnly has a gateway reach one relay and nobody else.
type relayOnly struct {
	relay   *Uplink
	answers chan bool // answers receives whether an answer of the relay counts.
}

const relayAt = "10.0.0.1:7000"

func (c relayOnly) Call(address, method string, args, reply any, _ time.Duration) error {
	if address != relayAt {
		return errors.New("nobody is there")
	}
	if m, ok := args.(protocol.LeaderMsg); ok {
		*reply.(*protocol.LeaderReply) = protocol.LeaderReply{Leader: leaderAt, Controls: []string{leaderAt, relayAt}, Domains: []string{"b1", "a1"}}
		if m.Besides == leaderAt {
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

// confirming is a gateway that notes up to when its document was the newest.
type confirming struct {
	uplink.Gateway // Gateway is nil: what follows is all that is called.

	number    uint64
	confirmed chan confirmation
}

type confirmation struct {
	number uint64
	at     time.Time
}

func (g *confirming) Report(uint64) protocol.SyncMsg {
	return protocol.SyncMsg{Gateway: "g", Domain: "a1", Number: g.number, Lister: 1}
}
func (g *confirming) HandleSyncReply(*protocol.SyncMsg, *protocol.SyncReply, time.Time) {}
func (g *confirming) SetRollouts(*protocol.SyncReply, time.Time)                        {}
func (g *confirming) SetQuarantine(*protocol.SyncReply)                                 {}
func (g *confirming) SetLanes([]protocol.ServiceLanes)                                  {}
func (g *confirming) ListLate()                                                         {}
func (g *confirming) Overdue()                                                          {}
func (g *confirming) Document(number uint64, _ []byte) error {
	g.number = number
	return nil
}
func (g *confirming) Confirm(at time.Time, _ int) { g.confirmed <- confirmation{g.number, at} }

// TestKeyTakenAwayBehindACutRelay checks that a gateway whose relay is cut off from the
// leader is not sure of its document for any moment after another was accepted, which
// takes a key away: from the moment up to which it is sure it refuses in time by itself.
// Once the relay is back, it has the newer one before it is sure again.
func TestKeyTakenAwayBehindACutRelay(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a", usualSlack)
	leader.Install(5, []byte("the key stands"))
	calls := relayOnly{relay, make(chan bool, 1000)}
	g := &confirming{confirmed: make(chan confirmation, 1000)}
	regions := topology.New(map[string]string{"a1": "a", "b1": "b"})
	client := uplink.New(calls, g, []string{relayAt}, UnpackList, zerolog.Nop(), uplink.WithRegions(regions, "a1", "g"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = client.Run(t.Context())
	}()
	t.Cleanup(func() { <-ended })
	if c := within(t, g.confirmed, "the first answer"); c.number != 5 {
		t.Fatalf("sure of %d", c.number)
	}
	hold := make(chan struct{})
	w.set(func() { w.hold = hold })
	leader.Install(6, []byte("the key is gone"))
	accepted := time.Now()
	for refused, end := 0, time.Now().Add(patience); refused < 3; {
		if time.Now().After(end) {
			t.Fatal("the cut relay's answers count")
		}
		if !within(t, calls.answers, "answers of the cut relay") {
			refused++
		}
	}
	w.set(func() { w.hold = nil })
	close(hold)
	for {
		c := within(t, g.confirmed, "an answer once the relay is back")
		if c.at.After(accepted) && c.number != 6 {
			t.Fatalf("sure of document %d at %v after another was accepted", c.number, c.at.Sub(accepted))
		}
		if c.number == 6 {
			return
		}
	}
}
