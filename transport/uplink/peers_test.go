package uplink

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/reach"
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

// TestPeersAreAskedForOftenAtFirst guards against gateways that know no others for seconds after all
// have started, since the first answer named those alone that had reported before.
func TestPeersAreAskedForOftenAtFirst(t *testing.T) {
	for name, c := range map[string]struct {
		last                    time.Duration
		answered, changed, lost bool
		want                    time.Duration
	}{
		"no answer after the start":  {0, false, false, false, minPeersInterval},
		"first answer":               {minPeersInterval, true, true, false, minPeersInterval},
		"nothing changed":            {minPeersInterval, true, false, false, 2 * minPeersInterval},
		"nothing changed for long":   {reach.ReportInterval, true, false, false, reach.ReportInterval},
		"another keeper":             {reach.ReportInterval, true, true, false, minPeersInterval},
		"servers are not reached":    {reach.ReportInterval, true, false, true, reach.LossReportInterval},
		"no leader answers for long": {reach.ReportInterval, false, false, false, reach.LossReportInterval},
	} {
		if got := nextPeersInterval(c.last, c.answered, c.changed, c.lost); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
