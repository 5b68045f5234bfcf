package backend

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/internal/pause"
)

// ErrProbeClosed is returned when a server closed a connection without a request.
var ErrProbeClosed = eris.New("the connection was closed without a request")

// probeQuiet is how long a connection must stay open without a request to count as accepted. A
// proxy, or a server at its limit, accepts and closes at once.
const probeQuiet = 30 * time.Millisecond

// Confirm opens a connection to a server before the deadline and keeps it for the next request. It
// returns an error if the server does not accept the connection.
func (p *Pool) Confirm(server, address string, deadline time.Time) error {
	c, err := p.open(address, deadline)
	if err != nil {
		return err
	}
	p.Put(server, c, 0)
	return nil
}

// Probe opens a connection to a server within a limit, without sending a request, and keeps it
// for the next one.
func (p *Pool) Probe(ctx context.Context, server, address string, limit time.Duration) error {
	c, err := p.open(address, time.Now().Add(limit))
	if err != nil {
		return err
	}
	pause.For(ctx, probeQuiet)
	if !idleAndQuiet(c.net) {
		c.Close()
		return ErrProbeClosed
	}
	p.Put(server, c, 0)
	return nil
}
