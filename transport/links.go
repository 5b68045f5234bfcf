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
	// ErrPeerVersion is returned when the peer uses another protocol version.
	ErrPeerVersion = eris.New("the peer uses another protocol version")
	// ErrPeerKey is returned when the peer does not have the cluster's key.
	ErrPeerKey = eris.New("the peer does not have the cluster's key")
	// ErrPeerTimeout is returned when the peer did not answer in time.
	ErrPeerTimeout = eris.New("the peer did not answer in time")
)

const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
	// peerAckTimeout is how long the kernel of another instance may acknowledge
	// nothing. It allows for two lost packets in a row, which are retransmitted
	// after 0.2 s.
	peerAckTimeout = 700 * time.Millisecond
	maxHelloBytes  = 1 << 10 // maxHelloBytes limits a hello, since the peer is not authenticated yet.
)

// hello is a handshake message. Each side proves that it has the cluster's key
// without revealing it, by a MAC over fresh nonces of both sides.
type hello struct {
	Version int
	Name    string
	Domain  string // Domain is the failure domain; empty if the peer does not send it.
	Nonce   []byte
	Proof   []byte
}

// Links manages the connections to and from the other instances. Calls are
// net/rpc; a connection is opened on first use and kept open.
type Links struct {
	name   string
	key    []byte
	dial   time.Duration
	log    zerolog.Logger
	server *rpc.Server
	meter  byteMeter
	domain string
	// distances is nil unless the failure domains span several regions.
	distances *distanceMeters

	mu       sync.Mutex
	failed   map[string]int // failed counts consecutive failed connects by address.
	clients  map[string]*rpc.Client
	connects map[string]*pendingConnect
	conns    map[net.Conn]struct{}
}

// NewLinks returns links that authenticate with the cluster's key.
func NewLinks(name string, key []byte, dial time.Duration, log zerolog.Logger) *Links {
	return &Links{
		name:     name,
		key:      key,
		dial:     dial,
		log:      log,
		server:   rpc.NewServer(),
		failed:   map[string]int{},
		clients:  map[string]*rpc.Client{},
		connects: map[string]*pendingConnect{},
		conns:    map[net.Conn]struct{}{},
	}
}

// Meter registers metrics of the bytes to and from other instances.
func (l *Links) Meter(r metrics.Registry) { l.meter.register("peers", r) }

// Register makes the methods of a receiver callable by other instances.
func (l *Links) Register(name string, receiver any) error {
	return eris.Wrap(l.server.RegisterName(name, receiver), "register")
}

// wrap adds byte counting and write deadlines to a connection.
func (l *Links) wrap(conn net.Conn) net.Conn {
	return &peerConn{Conn: &meteredConn{Conn: conn, meter: &l.meter}, stall: peerWriteTimeout}
}

// Serve accepts connections from other instances until ctx ends.
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
	if err := tcp.SetTimeouts(conn, peerAckTimeout); err != nil {
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
	name   string // name is empty if the handshake failed before the peer sent it.
	domain string
	frames *frameConn
}

// accept runs the handshake on the accepting side.
func (l *Links) accept(conn net.Conn) (peer, error) {
	s, err := newHandshake(conn)
	if err != nil {
		return peer{}, err
	}
	theirs, err := s.receive()
	if err != nil {
		return peer{}, eris.Wrap(err, "read hello")
	}
	p := peer{name: theirs.Name, domain: theirs.Domain, frames: s.frames}
	ours := hello{Version: protocol.PeerVersion, Name: l.name, Domain: l.domain, Nonce: s.nonce}
	ours.Proof = l.proof("accept", theirs.Nonce, s.nonce)
	if err := s.frames.write(ours); err != nil {
		return p, eris.Wrap(err, "send hello")
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

// connect runs the handshake on the connecting side.
func (l *Links) connect(conn net.Conn) (*frameConn, error) {
	s, err := newHandshake(conn)
	if err != nil {
		return nil, err
	}
	if err := s.frames.write(hello{Version: protocol.PeerVersion, Name: l.name, Domain: l.domain, Nonce: s.nonce}); err != nil {
		return nil, eris.Wrap(err, "send hello")
	}
	theirs, err := s.receive()
	if err != nil {
		return nil, eris.Wrap(err, "read hello")
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

// handshake holds one side's connection and nonce.
type handshake struct {
	frames *frameConn
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
	return &handshake{frames: &frameConn{conn: conn, r: bufio.NewReader(conn)}, nonce: nonce}, nil
}

// receive reads the peer's next hello.
func (s *handshake) receive() (theirs hello, err error) {
	if err := s.frames.readFrame(maxHelloBytes); err != nil {
		return hello{}, err
	}
	err = s.frames.decode(&theirs)
	return theirs, err
}

// proof returns a MAC with the cluster's key over the side's role and both nonces.
func (l *Links) proof(role string, connecting, accepting []byte) []byte {
	mac := hmac.New(sha256.New, l.key)
	for _, part := range [][]byte{[]byte(role), {0}, connecting, {0}, accepting} {
		_, _ = mac.Write(part) // hash.Hash never returns an error.
	}
	return mac.Sum(nil)
}

// pendingConnect is a connect in progress, which several calls may wait for.
type pendingConnect struct {
	done   chan struct{} // done is closed when client or err is set.
	client *rpc.Client
	err    error
}

// client returns the connection to an address. If there is none, it waits for up to timeout
// until one is open. The connect goes on beyond that, for later calls.
func (l *Links) client(address string, timeout time.Duration) (*rpc.Client, error) {
	l.mu.Lock()
	c, p := l.clients[address], l.connects[address]
	if c == nil && p == nil {
		p = &pendingConnect{done: make(chan struct{})}
		l.connects[address] = p
		go l.open(address, p)
	}
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.client, p.err
	case <-timer.C:
		return nil, eris.Wrap(ErrPeerTimeout, "connect to peer")
	}
}

// open connects to an address and completes the pending connect.
func (l *Links) open(address string, p *pendingConnect) {
	c, err := l.dialPeer(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	p.client, p.err = c, err
	if err == nil {
		l.clients[address] = c
	}
	delete(l.connects, address)
	close(p.done)
}

// dialPeer opens a connection to an address and runs the handshake.
func (l *Links) dialPeer(address string) (*rpc.Client, error) {
	conn, err := tcp.Dial(address, l.dialTimeout(address), peerAckTimeout)
	l.recordDial(address, err == nil)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	conn = l.wrap(conn)
	opened, err := l.connect(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClientWithCodec(clientCodec{opened}), nil
}

const (
	// dialsPerStep is the number of failed connects after which the timeout
	// doubles. It begins with a fraction of the configured timeout: an instance
	// that does not answer now may be started a moment later, which a connect that
	// began earlier would not notice.
	dialsPerStep = 4
	// shortDialDivisor sets the shortest timeout, as a fraction of the configured
	// one. It is still several round trips within a region.
	shortDialDivisor = 4
)

// dialTimeout returns the timeout of the next connect to an address.
func (l *Links) dialTimeout(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.dial, l.dial/shortDialDivisor<<min(l.failed[address]/dialsPerStep, shortDialDivisor))
}

// recordDial records the outcome of a connect.
func (l *Links) recordDial(address string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		delete(l.failed, address)
		return
	}
	l.failed[address]++
}

// dropClient closes a failed connection, so that the next call opens a new one.
func (l *Links) dropClient(address string, c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[address] == c {
		delete(l.clients, address)
	}
	_ = c.Close()
}

// Call calls a method on the instance at an address. The timeout includes opening a
// connection, if there is none. A call that times out closes the connection, since the path
// may be broken.
func (l *Links) Call(address, method string, args, reply any, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	c, err := l.client(address, timeout)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		return l.outcome(address, c, done.Error)
	case <-timer.C:
		l.dropClient(address, c)
		return ErrPeerTimeout
	}
}

// outcome closes the connection on errors other than the method's own.
func (l *Links) outcome(address string, c *rpc.Client, err error) error {
	var methodErr rpc.ServerError
	if err == nil || errors.As(err, &methodErr) {
		return err
	}
	l.dropClient(address, c)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, rpc.ErrShutdown) {
		return eris.Wrap(err, "connection to peer lost")
	}
	return err
}
