package transport

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/internal/tcp"
	"github.com/weldstream/weldstream/protocol"
)

// A request connection is an authenticated connection between two gateways that carries HTTP/1.1 requests
// instead of calls. Its handshake is that of the links and one more message, with which the
// accepting side confirms the proof: neither side reads ahead into what follows, so the
// connection itself can be used from then on.

// DialRequests opens a request connection to another gateway within a limit.
func (l *Links) DialRequests(address string, limit time.Duration) (net.Conn, error) {
	end := time.Now().Add(limit)
	conn, err := tcp.Dial(address, limit, peerAckTimeout)
	if err != nil {
		return nil, err
	}
	if err := l.openRequests(conn, end); err != nil {
		_ = conn.Close() // The caller gets the first error.
		return nil, err
	}
	return conn, nil
}

// openRequests runs the handshake on the connecting side.
func (l *Links) openRequests(conn net.Conn, end time.Time) error {
	frames, err := l.connect(conn)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(end); err != nil {
		return err
	}
	if err := frames.readFrame(maxHelloBytes); err != nil {
		return eris.Wrap(err, "read confirmation")
	}
	var confirmed hello
	if err := frames.decode(&confirmed); err != nil {
		return eris.Wrap(err, "read confirmation")
	}
	return conn.SetDeadline(time.Time{})
}

// acceptRequests runs the handshake on the accepting side.
func (l *Links) acceptRequests(conn net.Conn) (peer, error) {
	if err := tcp.SetTimeouts(conn, peerAckTimeout); err != nil {
		return peer{}, err
	}
	p, err := l.accept(conn)
	if err != nil {
		return p, err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return p, err
	}
	confirmed := hello{Version: protocol.PeerVersion, Name: l.name}
	if err := p.frames.write(confirmed); err != nil {
		return p, eris.Wrap(err, "confirm proof")
	}
	return p, conn.SetDeadline(time.Time{})
}

// requestListener is a listener whose Accept returns only request connections of authenticated gateways.
type requestListener struct {
	net.Listener
	links *Links
	ready chan net.Conn

	closing sync.Once
	closed  chan struct{} // closed is closed by Close.
}

// ListenRequests returns a listener that accepts the request connections of other gateways from ln. Handshakes
// run concurrently, so that one that is slow delays no other.
func (l *Links) ListenRequests(ln net.Listener) net.Listener {
	s := &requestListener{Listener: ln, links: l, ready: make(chan net.Conn), closed: make(chan struct{})}
	go s.run()
	return s
}

// acceptPause is the pause after a failed accept: file descriptors may be used up.
const acceptPause = 5 * time.Millisecond

func (s *requestListener) run() {
	for {
		conn, err := s.Listener.Accept()
		if err == nil {
			go s.authenticate(conn)
			continue
		}
		select {
		case <-s.closed:
			return
		case <-time.After(acceptPause):
		}
	}
}

// authenticate passes a connection on to Accept if the handshake succeeds, and closes it otherwise.
func (s *requestListener) authenticate(conn net.Conn) {
	p, err := s.links.acceptRequests(conn)
	if err != nil {
		s.links.log.Warn().Str("peer", p.name).Str("from", conn.RemoteAddr().String()).Err(err).Msg("peer refused")
		_ = conn.Close()
		return
	}
	select {
	case s.ready <- conn:
	case <-s.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (s *requestListener) Accept() (net.Conn, error) {
	select {
	case conn := <-s.ready:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *requestListener) Close() error {
	s.closing.Do(func() { close(s.closed) })
	return s.Listener.Close()
}
