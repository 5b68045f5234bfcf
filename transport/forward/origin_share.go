package forward

import (
	"sync"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// originQueue batches the origins for one kind of keepers: those that come while others are being sent
// go in one batch.
type originQueue struct {
	mu      sync.Mutex              // mu guards the fields below; no other lock is taken while it is held.
	unsent  []protocol.StreamOrigin // unsent are origins that have yet to be given.
	sent    chan struct{}           // sent is closed once they were sent.
	sending bool                    // sending reports that run runs.
}

// add adds origins and returns a channel that is closed once they were sent or that failed.
func (q *originQueue) add(list []protocol.StreamOrigin, send func([]protocol.StreamOrigin)) (sent <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sent == nil {
		q.sent = make(chan struct{})
	}
	q.unsent = append(q.unsent, list...)
	if !q.sending {
		q.sending = true
		go q.run(send) // It ends when nothing is left to send.
	}
	return q.sent
}

// maxOriginBatch bounds the origins that are sent at a time.
const maxOriginBatch = 1000

func (q *originQueue) run(send func([]protocol.StreamOrigin)) {
	for {
		list, sent := q.next()
		if len(list) == 0 {
			return
		}
		send(list)
		if sent != nil {
			close(sent)
		}
	}
}

// next returns the origins to send next; none if there are no more. The channel is closed after they
// were sent; it is nil if others that it stands for follow.
func (q *originQueue) next() (list []protocol.StreamOrigin, sent chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.unsent), maxOriginBatch)
	list, q.unsent = q.unsent[:n], q.unsent[n:]
	if len(q.unsent) == 0 {
		sent, q.sent, q.unsent = q.sent, nil, nil
	}
	q.sending = n > 0
	return list, sent
}

// giveOrigins gives origins of streams to the gateways that keep them and to the origin store, and
// returns channels that are closed once each was sent or that failed.
func (g *Gateway) giveOrigins(list []protocol.StreamOrigin) (sent []<-chan struct{}) {
	sent = append(sent, g.origins.toPeers.add(list, g.sendToPeers))
	if g.originStore != nil {
		sent = append(sent, g.origins.toStore.add(list, g.sendToStore))
	}
	return sent
}

func (g *Gateway) sendToPeers(list []protocol.StreamOrigin) {
	g.sendToKeepers(list, g.availableKeepers(), func(b *originBatch) error {
		return g.callPeer(&b.peer, keepOriginsCall, &protocol.OriginsMsg{Origins: b.origins}, nil)
	})
}

func (g *Gateway) sendToStore(list []protocol.StreamOrigin) {
	g.sendToKeepers(list, g.availableStoreKeepers(), func(b *originBatch) error {
		return g.originStore().KeepOrigins(b.peer.Address, &protocol.OriginsMsg{Origins: b.origins})
	})
}

// sendToKeepers sends each origin to the keepers that suit best, and to others in place of those that do
// not answer.
func (g *Gateway) sendToKeepers(list []protocol.StreamOrigin, peers []protocol.Peer, send func(*originBatch) error) {
	batches := map[string]*originBatch{}
	for _, o := range list {
		keepers := origin.Keepers(o.Key, g.cfg.Topology, peers)
		for _, k := range keepers[:min(origin.Copies, len(keepers))] {
			add(batches, k, o)
		}
	}
	failed := g.sendBatches(batches, send)
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
	g.sendBatches(others, send)
}

// originBatch holds the origins for one keeper.
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
func (g *Gateway) sendBatches(batches map[string]*originBatch, send func(*originBatch) error) (failed map[string]*originBatch) {
	failed = map[string]*originBatch{}
	var wg sync.WaitGroup
	var mu sync.Mutex // mu guards failed.
	for name, b := range batches {
		wg.Go(func() {
			err := send(b)
			if err == nil {
				g.meters.originsGiven.Inc(int64(len(b.origins)))
				return
			}
			g.peers.couldNotHelp(name)
			g.log.Info().Str("peer", name).Int("streams", len(b.origins)).Err(err).Msg("an instance did not take the versions of streams")
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
