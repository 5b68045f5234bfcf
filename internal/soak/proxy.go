package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Link is the state of a proxy's link.
type Link uint8

// The states of a link.
const (
	LinkGood    Link = iota
	LinkSlow         // LinkSlow delays everything.
	LinkSilent       // LinkSilent forwards nothing in either direction and closes nothing.
	LinkOneWay       // LinkOneWay forwards nothing towards the process behind the proxy.
	linkOutward      // linkOutward is for regions only: nothing leaves the region.
)

var linkNames = [...]string{"good", "slow", "silent", "one-way", "outward"}

// String returns the name of the link state.
func (l Link) String() string { return linkNames[l] }

// linkDelay is the delay that a slow link adds to each chunk.
const linkDelay = 80 * time.Millisecond

// Proxy forwards connections to one address and degrades them as Set tells.
type Proxy struct {
	target string
	ln     net.Listener
	paths  *RegionPaths // paths are the paths between regions; nil without regions, or where the proxy is within one.
	region int          // region is the region of the process behind the proxy.

	mu    sync.Mutex      // mu guards the fields below.
	cut   map[string]bool // cut are the IP addresses whose connections are reset.
	link  Link
	wake  chan struct{} // wake is closed and replaced when link changes.
	conns map[net.Conn]struct{}
}

// ProxyOption configures a new proxy.
type ProxyOption func(*Proxy)

// WithPaths sets the paths between regions and the region of the process behind the proxy.
func WithPaths(paths *RegionPaths, region int) ProxyOption {
	return func(p *Proxy) { p.paths, p.region = paths, region }
}

// NewProxy listens on an address and forwards connections to a target.
func NewProxy(address, target string, opts ...ProxyOption) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, wake: make(chan struct{}), cut: map[string]bool{}, conns: map[net.Conn]struct{}{}}
	for _, opt := range opts {
		opt(p)
	}
	go p.accept()
	return p, nil
}

// Address returns the listen address of the proxy.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Set changes the state of the link.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.wake)
	p.wake = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// CutOff resets the connections that come from an IP address, and those that come from it from
// now on, or ends that.
func (p *Proxy) CutOff(ip string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[ip] = cut
	for c := range p.conns {
		if p.refuses(c) {
			resetConn(c)
		}
	}
}

// refuses reports whether a connection comes from an address that is cut off. The caller must hold
// p.mu.
func (p *Proxy) refuses(c net.Conn) bool {
	from, ok := c.RemoteAddr().(*net.TCPAddr)
	return ok && p.cut[from.IP.String()]
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Set(LinkGood)
	p.Reset()
}

// CloseOrderly closes the listener and then all connections without a reset, as the end of a process
// that has read all of its input does.
func (p *Proxy) CloseOrderly() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// track adds a connection to those that can be reset, and reports false if it is to be reset at once.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return !p.refuses(c)
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) forward(c net.Conn) {
	defer p.untrack(c)
	if !p.track(c) {
		resetConn(c)
		return
	}
	defer closeConn(c)
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(s)
	defer p.untrack(s)
	defer closeConn(s)
	if p.paths != nil {
		p.forwardBetweenRegions(c, s)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(s, c, true) })
	both.Go(func() { p.copy(c, s, false) })
	both.Wait()
}

func closeConn(c net.Conn) { _ = c.Close() }

// copy forwards one direction until either side closes.
func (p *Proxy) copy(dst, src net.Conn, inward bool) {
	defer func() {
		_ = dst.Close() // The copy has ended; no caller is left to return the error to.
		_ = src.Close() // The copy has ended; no caller is left to return the error to.
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.waitPassable(inward)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				resetConn(dst) // A close would make a truncated response look complete.
				return
			}
			p.waitPassable(inward)
			return
		}
	}
}

// waitPassable blocks while the link forwards nothing in this direction.
func (p *Proxy) waitPassable(inward bool) {
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
