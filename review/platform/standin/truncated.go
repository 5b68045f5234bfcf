//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// path is the network between the edge machines and one replica. While it is cut, nothing passes in
// either direction, and the kernels keep what they have to send, as across a real cut.
type path struct {
	target string
	ln     net.Listener
	mu     sync.Mutex
	open   chan struct{} // open is closed while the path is whole.
}

func newPath(target string) (*path, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{target: target, ln: ln, open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.carry(conn)
		}
	}()
	return p, nil
}

func (p *path) address() string { return p.ln.Addr().String() }

func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// pass waits until the path is whole.
func (p *path) pass() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *path) carry(near net.Conn) {
	p.pass()
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0) // A port without a process resets.
		_ = near.Close()
		return
	}
	var both sync.WaitGroup
	for _, d := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Add(1)
		go func() {
			defer both.Done()
			p.copy(d[1], d[0])
		}()
	}
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

// copy carries one direction: bytes, the orderly end and the reset each as what it is.
func (p *path) copy(dst, src net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.pass()
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			_ = dst.(*net.TCPConn).SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

const (
	pieces     = 20
	piecePause = 100 * time.Millisecond
	// cutFor is how long the replica is cut off. A cut on the pages lasts seconds; this one is
	// shorter than the time after which the gateway's keep-alive finds a silent connection dead.
	cutFor = 1200 * time.Millisecond
)

// truncated checks MIXED and ORDER: a replica whose answers have no length is cut off from the edge
// machines, crashes behind the cut and starts again. No client may get a part of an answer that looks
// complete.
func truncated(c *cluster) (bool, error) {
	target, err := freeAddress()
	if err != nil {
		return false, err
	}
	net, err := newPath(target)
	if err != nil {
		return false, err
	}
	args := func(id string) []string {
		return []string{"-id", id, "-address", target, "-events", fmt.Sprint(pieces), "-pause", piecePause.String(), "-unframed"}
	}
	replica, err := c.replica(args("i-0001")...)
	if err != nil {
		return false, err
	}
	list := func(id string) { c.platform.set(entry{id, "docket-llm", net.address(), zoneNames[0], 64, "ready"}) }
	list("i-0001")
	if err := c.startAll(); err != nil {
		return false, err
	}
	if !c.put(document(1), 20*time.Second) || !c.awaitReady(0, 20*time.Second) {
		return false, fmt.Errorf("the system did not start")
	}
	time.Sleep(4 * time.Second) // The machines are in touch.
	broken := 0
	for round := 1; round <= 3; round++ {
		type asked struct {
			id, method, path string
			want             string
		}
		requests := []asked{
			{fmt.Sprintf("a%03d1", round), "POST", "/stream/x", whole(pieces, event)},
			{fmt.Sprintf("a%03d2", round), "POST", "/once/x", ""},
			{fmt.Sprintf("a%03d3", round), "GET", "/again/x", ""},
		}
		replies := make([]reply, len(requests))
		var all sync.WaitGroup
		for i, q := range requests {
			if q.want == "" {
				requests[i].want = whole(pieces, func(n int) string { return wholePiece(q.id, n) })
			}
			all.Add(1)
			go func() {
				defer all.Done()
				c.rec.log("client sends %s %s %s", q.id, q.method, q.path)
				replies[i] = ask(c.front(0), q.method, q.path, q.id, 15*time.Second)
				c.rec.log("client got for %s: status %d, %d bytes, complete %v, seal %q, error %v", q.id, replies[i].status, len(replies[i].body), replies[i].complete, replies[i].seal, replies[i].err)
			}()
		}
		if trouble() {
			time.Sleep(700 * time.Millisecond)
			c.rec.log("the replica is cut off from the edge machines")
			net.cut()
			time.Sleep(200 * time.Millisecond)
			replica.kill()
			c.rec.log("the replica has crashed behind the cut")
			time.Sleep(300 * time.Millisecond)
			id := fmt.Sprintf("i-%04d", round+1)
			if replica, err = c.replica(args(id)...); err != nil {
				return false, err
			}
			time.Sleep(cutFor - 500*time.Millisecond)
			c.rec.log("the cut heals")
			net.heal()
			time.Sleep(800 * time.Millisecond)
			list(id)
		}
		all.Wait()
		for i, q := range requests {
			r := replies[i]
			if r.complete && r.status == 200 && r.body != q.want {
				broken++
				c.rec.log("BROKEN %s: a success with %d of %d bytes looks complete; it ends %q", q.id, len(r.body), len(q.want), tail(r.body))
			}
			if !trouble() && (!r.complete || r.status != 200) {
				return false, fmt.Errorf("%s was not answered without a disruption", q.id)
			}
		}
		time.Sleep(3 * time.Second)
	}
	return broken == 0, nil
}

func tail(s string) string {
	if len(s) > 40 {
		return s[len(s)-40:]
	}
	return s
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}
