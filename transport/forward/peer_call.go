package forward

import (
	"bytes"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

// Gateways call one another over the connections on which they pass on requests. A call is a request
// with a header that names it and a body in CBOR, and its answer repeats the header: a gateway of a
// build that does not know the call answers as to a passed request for an unknown route.

// callHeader is the header that names a call between gateways.
const callHeader = "Weldstream-Call"

// The calls between gateways.
const (
	keepOriginsCall = "keep-origins" // protocol.OriginsMsg, without a reply
	findOriginCall  = "find-origin"  // protocol.OriginQuery, protocol.OriginReply
)

const (
	// peerCallTimeout bounds a call to another gateway, and farPeerCallTimeout one where there are
	// several regions: a connect and a round trip.
	peerCallTimeout    = 150 * time.Millisecond
	farPeerCallTimeout = 500 * time.Millisecond
	// maxPeerCallBytes bounds the answer to a call.
	maxPeerCallBytes = 64 << 10
)

// callPeer calls another gateway. A connection that was closed while it was idle is replaced.
func (g *Gateway) callPeer(peer *protocol.Peer, name string, msg, reply any) error {
	timeout := peerCallTimeout
	if g.cfg.Topology.MultiRegion() {
		timeout = farPeerCallTimeout
	}
	deadline := time.Now().Add(timeout)
	for {
		kept, err := g.callPeerOnce(peer, name, msg, reply, deadline)
		if err == nil || !kept || time.Now().After(deadline) {
			return err
		}
	}
}

// callPeerOnce calls another gateway over one connection, and reports whether that was a kept one.
func (g *Gateway) callPeerOnce(peer *protocol.Peer, name string, msg, reply any, deadline time.Time) (kept bool, err error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return false, eris.Wrap(err, "encode call")
	}
	conn, err := g.peers.pool.Get(peer.Name, peer.Address, deadline)
	if err != nil {
		return false, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(peer.Name)
	req.SetRequestURI("/")
	req.Header.Set(callHeader, name)
	req.SetBodyRaw(body)
	kept = conn.Used()
	answer, err := g.peers.pool.RoundTrip(peer.Name, conn, req, resp, deadline, maxPeerCallBytes)
	if err != nil {
		return kept, eris.Wrap(err, "call another gateway")
	}
	if string(resp.Header.Peek(callHeader)) != name {
		return false, eris.Errorf("the gateway %q does not know the call %q and answered with status %d", peer.Name, name, resp.StatusCode())
	}
	if reply == nil {
		return false, nil
	}
	return false, eris.Wrap(cbor.Unmarshal(answer, reply), "decode the answer to a call")
}

// serveCall answers a call of another gateway, and reports whether the request was one.
func (g *Gateway) serveCall(req *fasthttp.Request, a *caller.ResponseWriter) bool {
	name := string(req.Header.Peek(callHeader))
	if name == "" {
		return false
	}
	reply, err := g.handleCall(name, req.Body())
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err != nil {
		g.log.Warn().Str("call", name).Err(err).Msg("a call of another gateway cannot be answered")
		resp.SetStatusCode(fasthttp.StatusBadRequest)
	} else {
		resp.Header.Set(callHeader, name)
		resp.SetBodyRaw(reply)
	}
	if err := a.WriteResponse(resp); err != nil {
		g.log.Info().Str("call", name).Err(err).Msg("another gateway did not take the answer to its call")
	}
	return true
}

// handleCall handles a call and returns the encoded reply.
func (g *Gateway) handleCall(name string, body []byte) ([]byte, error) {
	switch name {
	case keepOriginsCall:
		var m protocol.OriginsMsg
		if err := decodeCall(body, &m); err != nil {
			return nil, err
		}
		g.keepOrigins(&m)
		return nil, nil
	case findOriginCall:
		var q protocol.OriginQuery
		if err := decodeCall(body, &q); err != nil {
			return nil, err
		}
		return cbor.Marshal(g.answerOrigin(&q))
	}
	return nil, eris.Errorf("unknown call %q", name)
}

func decodeCall(body []byte, msg any) error {
	return eris.Wrap(cbor.NewDecoder(bytes.NewReader(body)).Decode(msg), "decode call")
}

// keeperRetention is how long a gateway that the leader no longer names is still asked: it may keep
// the origins of streams that began before.
const keeperRetention = 30 * time.Second

// keeper is a gateway that keeps origins of streams.
type keeper struct {
	peer    protocol.Peer
	namedAt time.Time
}

// SetKeepers implements uplink.PeerFinder.
func (g *Gateway) SetKeepers(list []protocol.Peer) {
	p, now := &g.peers, clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepersNamedAt = now
	if p.keepers == nil {
		p.keepers = map[string]keeper{}
	}
	for _, peer := range list {
		if peer.Name != g.cfg.Name {
			p.keepers[peer.Name] = keeper{peer: peer, namedAt: now}
		}
	}
	for name, k := range p.keepers {
		if now.Sub(k.namedAt) > keeperRetention {
			delete(p.keepers, name)
		}
	}
}

// keepers returns the gateways that may keep the origins of streams: those that the leader named
// lately, or, of an earlier leader, those that requests may be passed on to. While no leader answers,
// those that were named last stay.
func (g *Gateway) keepers() []protocol.Peer {
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keepersNamedSince(clock.Now().Add(-keeperRetention))
}

// availableKeepers returns the keepers that new origins are given to: those of the leader's last
// answer, without those that did not answer a moment ago.
func (g *Gateway) availableKeepers() []protocol.Peer {
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withoutFailed(p.keepersNamedSince(p.keepersNamedAt))
}

// withoutFailed returns the keepers without those that did not answer a moment ago, or all if none did.
// The caller must hold p.mu.
func (p *peerState) withoutFailed(keepers []protocol.Peer) []protocol.Peer {
	answering := slices.DeleteFunc(slices.Clone(keepers), func(k protocol.Peer) bool { return p.failedLately(k.Name) })
	if len(answering) == 0 {
		return keepers
	}
	return answering
}

// keepersNamedSince returns the keepers of the leader's last answer and those named since a time before
// it. The caller must hold p.mu.
func (p *peerState) keepersNamedSince(t time.Time) []protocol.Peer {
	if p.pool == nil {
		return nil
	}
	if p.keepersNamedAt.Before(t) {
		t = p.keepersNamedAt
	}
	var keepers []protocol.Peer
	for _, k := range p.keepers {
		if !k.namedAt.Before(t) {
			keepers = append(keepers, k.peer)
		}
	}
	if len(keepers) == 0 {
		return p.peers
	}
	return keepers
}
