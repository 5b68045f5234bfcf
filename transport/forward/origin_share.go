package forward

import (
	"sync"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// giveOrigins gives origins of streams to the gateways that keep them, and returns a channel that is
// closed once that was tried. Those that come while others are being sent go in one batch.
func (g *Gateway) giveOrigins(list []protocol.StreamOrigin) (sent <-chan struct{}) {
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent = make(chan struct{})
	}
	s.unsent = append(s.unsent, list...)
	if !s.sending {
		s.sending = true
		go g.sendOrigins() // It ends when nothing is left to send.
	}
	return s.sent
}

// maxOriginBatch bounds the origins that are sent at a time.
const maxOriginBatch = 1000

func (g *Gateway) sendOrigins() {
	for {
		list, sent := g.origins.nextBatch()
		if len(list) == 0 {
			return
		}
		g.sendToKeepers(list)
		if sent != nil {
			close(sent)
		}
	}
}

// nextBatch returns the origins to send next; none if there are no more. The channel is closed after
// they were sent; it is nil if others that it stands for follow.
func (s *originState) nextBatch() (list []protocol.StreamOrigin, sent chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.unsent), maxOriginBatch)
	list, s.unsent = s.unsent[:n], s.unsent[n:]
	if len(s.unsent) == 0 {
		sent, s.sent, s.unsent = s.sent, nil, nil
	}
	s.sending = n > 0
	return list, sent
}

// sendToKeepers sends each origin to the gateways that suit best to keep it, and to others in place
// of those that do not answer.
func (g *Gateway) sendToKeepers(list []protocol.StreamOrigin) {
	peers := g.availableKeepers()
	batches := map[string]*originBatch{}
	for _, o := range list {
		keepers := origin.Keepers(o.Key, g.cfg.Topology, peers)
		for _, k := range keepers[:min(origin.Copies, len(keepers))] {
			add(batches, k, o)
		}
	}
	failed := g.sendBatches(batches)
	if len(failed) == 0 {
		return
	}
	others := map[string]*originBatch{}
	for _, b := range failed {
		for _, o := range b.origins {
			keepers := origin.Keepers(o.Key, g.cfg.Topology, peers)
			for _, k := range keepers[min(origin.Copies, len(keepers)):] {
				if failed[k.Name] == nil {
					add(others, k, o)
					break
				}
			}
		}
	}
	g.sendBatches(others)
}

// originBatch holds the origins for one gateway.
type originBatch struct {
	peer    protocol.Peer
	origins []protocol.StreamOrigin
}

func add(batches map[string]*originBatch, peer protocol.Peer, o protocol.StreamOrigin) {
	b := batches[peer.Name]
	if b == nil {
		b = &originBatch{peer: peer}
		batches[peer.Name] = b
	}
	b.origins = append(b.origins, o)
}

// sendBatches sends batches, all at once, and returns those that did not arrive.
func (g *Gateway) sendBatches(batches map[string]*originBatch) (failed map[string]*originBatch) {
	failed = map[string]*originBatch{}
	var wg sync.WaitGroup
	var mu sync.Mutex // mu guards failed.
	for name, b := range batches {
		wg.Go(func() {
			err := g.callPeer(&b.peer, keepOriginsCall, &protocol.OriginsMsg{Origins: b.origins}, nil)
			if err == nil {
				g.meters.originsGiven.Inc(int64(len(b.origins)))
				return
			}
			g.peers.couldNotHelp(name)
			g.log.Info().Str("peer", name).Int("streams", len(b.origins)).Err(err).Msg("another gateway did not take the versions of streams")
			mu.Lock()
			defer mu.Unlock()
			failed[name] = b
		})
	}
	wg.Wait()
	return failed
}

// keepOrigins keeps the origins that another gateway gave.
func (g *Gateway) keepOrigins(m *protocol.OriginsMsg) {
	s, now := &g.origins, clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range m.Origins {
		s.table.Add(o, false, now)
	}
}
