package forward

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// TestLostPathIsNoFailureOfVersion guards against versions of a roll-out that are judged by connections
// which broke with the path to the servers: the former version then fails as often as a bad one.
func TestLostPathIsNoFailureOfVersion(t *testing.T) {
	for name, c := range map[string]struct {
		lostByPeer int
		counted    bool
	}{"another gateway reaches them": {0, false}, "no gateway reaches them": {3, true}} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			WithPeers(PeerConfig{Dial: dialPlain})(w.g)
			log := make(logLines, 100)
			w.setRegions(log)
			w.install(protocol.PathRoute{Name: "r", Attempts: 3})
			w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
			var servers []*backendServer
			for _, id := range []string{"a", "b", "c"} {
				servers = append(servers, w.backendVersion(id, "v1", func(conn net.Conn, _ *fasthttp.Request) {
					for _, s := range servers {
						_ = s.listener.Close()
					}
					_ = conn.Close()
				}))
			}
			w.g.SetPeers([]protocol.Peer{{Name: "peer", Address: closedAddress(t), Lost: []protocol.ServiceLoss{{Service: "s", Lost: c.lostByPeer}}}})
			w.ask()
			w.ask() // Finds the other servers gone.
			if !c.counted {
				log.await(t, "broken connection does not count for the version")
				if rows := w.g.Report(1).Trials[0].Rows; len(rows) > 0 {
					t.Errorf("reported %+v", rows)
				}
				return
			}
			if rows := w.awaitRows(1); len(rows) != 1 || rows[0].Answers.Bad != 1 || rows[0].New {
				t.Errorf("reported %+v, want one failure of the former version", rows)
			}
		})
	}
}
