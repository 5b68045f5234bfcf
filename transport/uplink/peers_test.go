package uplink

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/protocol"
)

// fakeFinder is a gateway that reports the keepers that it is named.
type fakeFinder struct{ keepers chan []protocol.Peer }

func (*fakeFinder) ReportPeers() protocol.PeersMsg       { return protocol.PeersMsg{Gateway: "g"} }
func (*fakeFinder) SetPeers([]protocol.Peer)             {}
func (f *fakeFinder) SetKeepers(keepers []protocol.Peer) { f.keepers <- keepers }

// peersCaller answers Uplink.Peers calls in turn and records the digests in them.
type peersCaller struct {
	replies []protocol.PeersReply
	digests []uint64
}

func (c *peersCaller) Call(_, _ string, args, reply any, _ time.Duration) error {
	n := len(c.digests)
	c.digests = append(c.digests, args.(protocol.PeersMsg).Keepers)
	*reply.(*protocol.PeersReply) = c.replies[min(n, len(c.replies)-1)]
	return nil
}

// TestKeepersAreNamedOnce checks that a leader that knows what the gateway was named need not name it
// again, and that the gateway still learns with each answer that its keepers are named.
func TestKeepersAreNamedOnce(t *testing.T) {
	caller := &peersCaller{replies: []protocol.PeersReply{
		{Leads: true, Keepers: []protocol.Peer{{Name: "k"}}, KeepersDigest: 5},
		{Leads: true, KeepersDigest: 5},
		{Leads: true, Keepers: []protocol.Peer{{Name: "l"}, {Name: "m"}}, KeepersDigest: 6},
	}}
	finder := &fakeFinder{keepers: make(chan []protocol.Peer)}
	client := New(caller, nil, nil, nil, zerolog.Nop(), WithPeerFinder(finder))
	client.setLeader("leader", "leader")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.RunPeers(ctx) }()
	for n, want := range []int{1, 1, 2} {
		if got := <-finder.keepers; len(got) != want {
			t.Errorf("answer %d: keepers %v, want %d", n, got, want)
		}
		client.FindPeersNow()
	}
	cancel()
	select {
	case <-finder.keepers: // A further answer had come.
	case err := <-ended:
		ended <- err
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if d := caller.digests; len(d) < 3 || d[0] != 0 || d[1] != 5 || d[2] != 5 {
		t.Errorf("asked with the digests %v", d)
	}
}
