package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Link is how a proxy treats what passes through it.
type Link uint8

// The ways to treat what passes.
const (
	LinkGood    Link = iota
	LinkSlow         // LinkSlow delays all that passes.
	LinkSilent       // LinkSilent passes nothing, either way, and closes nothing.
	LinkOneWay       // LinkOneWay passes nothing towards the process behind it.
	linkOutward      // linkOutward is for regions alone: nothing passes out of one.
)

var linkNames = [...]string{"good", "slow", "silent", "one-way", "outward"}

// String returns the link's name.
func (l Link) String() string { return linkNames[l] }

// linkDelay is by how much a slow link delays each piece.
const linkDelay = 80 * time.Millisecond

// Proxy passes connections on to one address and harms them as it is told.
type Proxy struct {
	target string
	ln     net.Listener
	paths  *Paths // paths are the ways between regions; nil without regions, or where none is passed.
	region int    // region is the one of the process behind it.

	mu    sync.Mutex // mu guards all below.
	link  Link
	wake  chan struct{} // wake is closed and replaced when link changes.
	conns map[net.Conn]struct{}
}

// ProxyOption changes a new proxy.
type ProxyOption func(*Proxy)

// WithPaths sets the ways between regions, and the region behind the proxy.
func WithPaths(paths *Paths, region int) ProxyOption {
	return func(p *Proxy) { p.paths, p.region = paths, region }
}

// NewProxy listens at an address and passes on to a target.
func NewProxy(address, target string, opts ...ProxyOption) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, wake: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	for _, opt := range opts {
		opt(p)
	}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Set changes how the proxy treats what passes.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.wake)
	p.wake = make(chan struct{})
}

// Reset resets all connections that are open.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy with all its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Set(LinkGood)
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *Proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = struct{}{}
		return
	}
	delete(p.conns, c)
}

func (p *Proxy) pass(c net.Conn) {
	p.track(c, true)
	defer p.track(c, false)
	defer closeConn(c)
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(s, true)
	defer p.track(s, false)
	defer closeConn(s)
	if p.paths != nil {
		p.passBetween(c, s)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(s, c, true) })
	both.Go(func() { p.copy(c, s, false) })
	both.Wait()
}

func closeConn(c net.Conn) { _ = c.Close() }

// copy passes one direction on until either side closes.
func (p *Proxy) copy(dst, src net.Conn, inward bool) {
	defer func() {
		_ = dst.Close() // The copy has ended; there is nobody to report to.
		_ = src.Close() // The copy has ended; there is nobody to report to.
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.hold(inward)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			p.hold(inward)
			return
		}
	}
}

// hold waits as long as the link passes nothing.
func (p *Proxy) hold(inward bool) {
	for {
		p.mu.Lock()
		link, wake := p.link, p.wake
		p.mu.Unlock()
		switch {
		case link == LinkSlow:
			time.Sleep(linkDelay)
			return
		case link == LinkSilent, link == LinkOneWay && inward:
			<-wake
		default:
			return
		}
	}
}
