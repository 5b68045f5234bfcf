package e2e

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
)

// relay stands before an instance's peer address. It can swallow what goes
// from one instance to another while the connections stay open, as a cut in
// the network does.
type relay struct {
	t      testing.TB
	ln     net.Listener
	owner  string // owner is the instance behind the relay.
	target func() string
	net    *network
}

// network holds which directions are cut, for all relays of a test.
type network struct {
	mu    sync.Mutex
	names []string
	cuts  map[string]bool // cuts holds "from>to".
}

func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[from+">"+to] = on
}

// isolate cuts an instance off from all others, both ways.
func (n *network) isolate(name string, on bool) {
	for _, other := range n.names {
		if other != name {
			n.cut(name, other, on)
			n.cut(other, name, on)
		}
	}
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[from+">"+to]
}

func (n *network) relay(t testing.TB, owner string, target func() string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, ln: ln, owner: owner, target: target, net: n}
	t.Cleanup(func() { ln.Close() })
	go r.run()
	return r
}

func (r *relay) run() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve learns from the greeting who connects, and then passes on what is not
// cut.
func (r *relay) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", r.target())
	if err != nil {
		return
	}
	defer out.Close()
	greeting, from := r.greeting(in)
	if from == "" {
		return
	}
	if !r.net.isCut(from, r.owner) {
		if _, err := out.Write(greeting); err != nil {
			return
		}
	}
	go func() {
		r.pass(in, out, r.owner, from)
		in.Close()
	}()
	r.pass(out, in, from, r.owner)
}

// greeting reads until it is known who connects.
func (r *relay) greeting(in net.Conn) (greeting []byte, from string) {
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

func (r *relay) source(greeting []byte) string {
	for _, name := range r.net.names {
		if bytes.Contains(greeting, []byte(name)) {
			return name
		}
	}
	return ""
}

// pass copies bytes and swallows those of a cut direction.
func (r *relay) pass(dst io.Writer, src io.Reader, from, to string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if r.net.isCut(from, to) {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
