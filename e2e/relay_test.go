package e2e

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
)

// peerProxy is a TCP proxy in front of an instance's peer address. It can drop the
// traffic from one instance to another while the connections stay open, as in a
// network partition.
type peerProxy struct {
	t      testing.TB
	ln     net.Listener
	owner  string // owner is the instance behind the proxy.
	target func() string
	net    *network
}

// network holds the blocked directions, for all proxies of a test.
type network struct {
	mu      sync.Mutex
	names   []string
	blocked map[string]bool // blocked has keys of the form "from>to".
}

func (n *network) block(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[from+">"+to] = on
}

// isolate blocks or unblocks the traffic between an instance and all others, in
// both directions.
func (n *network) isolate(name string, on bool) {
	for _, other := range n.names {
		if other != name {
			n.block(name, other, on)
			n.block(other, name, on)
		}
	}
}

func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[from+">"+to]
}

func (n *network) proxy(t testing.TB, owner string, target func() string) *peerProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &peerProxy{t: t, ln: ln, owner: owner, target: target, net: n}
	t.Cleanup(func() { ln.Close() })
	go r.run()
	return r
}

func (r *peerProxy) run() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve identifies the connecting instance by its greeting, and then forwards the
// traffic of directions that are not blocked.
func (r *peerProxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", r.target())
	if err != nil {
		return
	}
	defer out.Close()
	greeting, from := r.readGreeting(in)
	if from == "" {
		return
	}
	if !r.net.isBlocked(from, r.owner) {
		if _, err := out.Write(greeting); err != nil {
			return
		}
	}
	go func() {
		r.forward(in, out, r.owner, from)
		in.Close()
	}()
	r.forward(out, in, from, r.owner)
}

// readGreeting reads until the bytes contain the name of the connecting instance.
func (r *peerProxy) readGreeting(in net.Conn) (greeting []byte, from string) {
	buf := make([]byte, 4096)
	for {
		n, err := in.Read(buf)
		if err != nil {
			return nil, ""
		}
		greeting = append(greeting, buf[:n]...)
		if from := r.source(greeting); from != "" {
			return greeting, from
		}
	}
}

func (r *peerProxy) source(greeting []byte) string {
	for _, name := range r.net.names {
		if bytes.Contains(greeting, []byte(name)) {
			return name
		}
	}
	return ""
}

// forward copies bytes and drops them while their direction is blocked.
func (r *peerProxy) forward(dst io.Writer, src io.Reader, from, to string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if r.net.isBlocked(from, to) {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
