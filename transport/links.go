package transport

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/internal/tcp"
	"github.com/weldstream/weldstream/protocol"
)

// Errors of the links between instances.
var (
	// ErrPeerVersion is returned when the other side speaks another version.
	ErrPeerVersion = eris.New("the peer speaks another version of the protocol")
	// ErrPeerKey is returned when the other side does not hold the cluster's key.
	ErrPeerKey = eris.New("the peer does not hold the cluster's key")
	// ErrPeerTimeout is returned when the other side did not answer in time.
	ErrPeerTimeout = eris.New("the peer did not answer in time")
)

const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
	// silentPeer is how long another instance's kernel may acknowledge nothing: two
	// packets in a row may be lost, repeated after 0.2 s.
	silentPeer = 700 * time.Millisecond
	helloBytes = 1 << 10 // helloBytes bounds a greeting: nobody has proved anything yet.
)

// hello opens the handshake. Each side proves that it holds the cluster's key
// without showing it, over fresh nonces of both.
type hello struct {
	Version int
	Name    string
	Domain  string // Domain is the failure domain; empty from an instance that does not tell.
	Nonce   []byte
	Proof   []byte
}

// Links are the connections to and from the other instances. Calls are
// net/rpc; a connection is opened at its first use and kept.
type Links struct {
	name   string
	key    []byte
	dial   time.Duration
	log    zerolog.Logger
	server *rpc.Server
	meter  byteMeter
	domain string
	// distances are nil where failure domains do not lie in several regions.
	distances *distances

	mu      sync.Mutex
	failed  map[string]int // failed are connects in a row that failed, by address.
	clients map[string]*rpc.Client
	conns   map[net.Conn]struct{}
}

// NewLinks returns links that prove themselves by the cluster's key.
func NewLinks(name string, key []byte, dial time.Duration, log zerolog.Logger) *Links {
	return &Links{
		name:    name,
		key:     key,
		dial:    dial,
		log:     log,
		server:  rpc.NewServer(),
		failed:  map[string]int{},
		clients: map[string]*rpc.Client{},
		conns:   map[net.Conn]struct{}{},
	}
}

// Meter shows the bytes to and from other instances among the meters.
func (l *Links) Meter(r metrics.Registry) { l.meter.register("peers", r) }

// Register makes the methods of a receiver callable by other instances.
func (l *Links) Register(name string, receiver any) error {
	return eris.Wrap(l.server.RegisterName(name, receiver), "register")
}

// wrap counts a connection's bytes and bounds its writes.
func (l *Links) wrap(conn net.Conn) net.Conn {
	return &peerConn{Conn: &meteredConn{Conn: conn, meter: &l.meter}, stall: peerStall}
}

// Serve accepts other instances until ctx ends.
func (l *Links) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		l.closeAll()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept peer")
		}
		go l.serveConn(conn)
	}
}

func (l *Links) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if err := tcp.SetTimeouts(conn, silentPeer); err != nil {
		l.log.Warn().Str("from", conn.RemoteAddr().String()).Err(err).Msg("peer refused")
		return
	}
	conn = l.wrap(conn)
	peer, err := l.accept(conn)
	if err != nil {
		l.log.Warn().Str("peer", peer.name).Str("from", conn.RemoteAddr().String()).Err(err).Msg("peer refused")
		return
	}
	l.distances.classify(conn, peer.domain)
	l.track(conn, true)
	defer l.track(conn, false)
	l.server.ServeCodec(serverCodec{peer.frames})
}

func (l *Links) track(conn net.Conn, add bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if add {
		l.conns[conn] = struct{}{}
		return
	}
	delete(l.conns, conn)
}

func (l *Links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
	for _, c := range l.clients {
		_ = c.Close()
	}
}

// peer is the other side of a connection.
type peer struct {
	name   string // name is empty where the other side did not get to tell it.
	domain string
	frames *frames
}

// accept is the handshake on the side that was connected to.
func (l *Links) accept(conn net.Conn) (peer, error) {
	s, err := newHandshake(conn)
	if err != nil {
		return peer{}, err
	}
	theirs, err := s.receive()
	if err != nil {
		return peer{}, eris.Wrap(err, "read greeting")
	}
	p := peer{name: theirs.Name, domain: theirs.Domain, frames: s.frames}
	ours := hello{Version: protocol.PeerVersion, Name: l.name, Domain: l.domain, Nonce: s.nonce}
	ours.Proof = l.proof("accept", theirs.Nonce, s.nonce)
	if err := s.frames.write(ours); err != nil {
		return p, eris.Wrap(err, "send greeting")
	}
	if theirs.Version != protocol.PeerVersion {
		return p, ErrPeerVersion
	}
	last, err := s.receive()
	if err != nil {
		return p, eris.Wrap(err, "read proof")
	}
	if !hmac.Equal(last.Proof, l.proof("connect", theirs.Nonce, s.nonce)) {
		return p, ErrPeerKey
	}
	return p, conn.SetDeadline(time.Time{})
}

// connect is the handshake on the side that opened the connection.
func (l *Links) connect(conn net.Conn) (*frames, error) {
	s, err := newHandshake(conn)
	if err != nil {
		return nil, err
	}
	if err := s.frames.write(hello{Version: protocol.PeerVersion, Name: l.name, Domain: l.domain, Nonce: s.nonce}); err != nil {
		return nil, eris.Wrap(err, "send greeting")
	}
	theirs, err := s.receive()
	if err != nil {
		return nil, eris.Wrap(err, "read greeting")
	}
	if theirs.Version != protocol.PeerVersion {
		return nil, ErrPeerVersion
	}
	if !hmac.Equal(theirs.Proof, l.proof("accept", s.nonce, theirs.Nonce)) {
		return nil, ErrPeerKey
	}
	if err := s.frames.write(hello{Proof: l.proof("connect", s.nonce, theirs.Nonce)}); err != nil {
		return nil, eris.Wrap(err, "send proof")
	}
	l.distances.classify(conn, theirs.Domain)
	return s.frames, conn.SetDeadline(time.Time{})
}

// handshake is one side's frames and nonce.
type handshake struct {
	frames *frames
	nonce  []byte
}

func newHandshake(conn net.Conn) (*handshake, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	return &handshake{frames: &frames{conn: conn, r: bufio.NewReader(conn)}, nonce: nonce}, nil
}

// receive reads the other side's next greeting.
func (s *handshake) receive() (theirs hello, err error) {
	if err := s.frames.next(helloBytes); err != nil {
		return hello{}, err
	}
	err = s.frames.decode(&theirs)
	return theirs, err
}

// proof binds the side's role and both nonces to the cluster's key.
func (l *Links) proof(role string, connecting, accepting []byte) []byte {
	mac := hmac.New(sha256.New, l.key)
	for _, part := range [][]byte{[]byte(role), {0}, connecting, {0}, accepting} {
		_, _ = mac.Write(part) // A hash does not fail.
	}
	return mac.Sum(nil)
}

// client returns the connection to an address, opening it at first use.
func (l *Links) client(address string) (*rpc.Client, error) {
	l.mu.Lock()
	c := l.clients[address]
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := tcp.Dial(address, l.dialTime(address), silentPeer)
	l.dialed(address, err == nil)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	conn = l.wrap(conn)
	opened, err := l.connect(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return l.keep(address, rpc.NewClientWithCodec(clientCodec{opened})), nil
}

const (
	// firstDials connects to an address that failed get a part of the usual time,
	// twice as much after as many more: what is silent now may be started the next
	// moment, and a connect that began before would not notice.
	firstDials = 4
	// firstDialPart of the usual time is the shortest: some round trips of a region.
	firstDialPart = 4
)

// dialTime is how long the next connect to an address may take.
func (l *Links) dialTime(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.dial, l.dial/firstDialPart<<min(l.failed[address]/firstDials, firstDialPart))
}

// dialed notes the outcome of a connect.
func (l *Links) dialed(address string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		delete(l.failed, address)
		return
	}
	l.failed[address]++
}

// keep stores a new connection unless another call was faster.
func (l *Links) keep(address string, c *rpc.Client) *rpc.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first := l.clients[address]; first != nil {
		_ = c.Close()
		return first
	}
	l.clients[address] = c
	return c
}

// drop closes a connection that failed, so that the next call opens another.
func (l *Links) drop(address string, c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[address] == c {
		delete(l.clients, address)
	}
	_ = c.Close()
}

// Call calls a method at an address. A call that gets no answer in time drops
// the connection: a silent one may be cut.
func (l *Links) Call(address, method string, args, reply any, timeout time.Duration) error {
	c, err := l.client(address)
	if err != nil {
		return err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		return l.outcome(address, c, done.Error)
	case <-timer.C:
		l.drop(address, c)
		return ErrPeerTimeout
	}
}

// outcome drops the connection on errors that are not the method's own.
func (l *Links) outcome(address string, c *rpc.Client, err error) error {
	var own rpc.ServerError
	if err == nil || errors.As(err, &own) {
		return err
	}
	l.drop(address, c)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, rpc.ErrShutdown) {
		return eris.Wrap(err, "connection to peer lost")
	}
	return err
}
