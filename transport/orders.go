package transport

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/order"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

const (
	orderEvery   = 250 * time.Millisecond
	orderMost    = 4 // orders in one round, for the rate-limited weight store
	orderTimeout = 2 * time.Second
)

// Leadership tells whether this instance leads at the very moment.
type Leadership interface {
	// Leads returns the term, the fence of orders, and whether this instance
	// leads and holds a lease that still runs.
	Leads() (term uint64, ok bool)
}

// Commander gives the leader's orders to backend servers.
//
// An order carries the leader's term, by which a server that checks refuses an
// older leader's. For servers that do not check, two things keep orders of two
// leaders apart: a leader looks at its lease on a monotonic clock right before
// each order, and a new leader gives none until a lease of its predecessor
// that was granted to the last moment has run out.
type Commander struct {
	leads  Leadership
	settle time.Duration
	tables *state.Tables
	wires  *wires
	log    zerolog.Logger
	term   uint64
	since  time.Time
	// settledIn is the term in which orders may be given now; 0 for none.
	settledIn atomic.Uint64
}

// NewCommander returns a commander; settle is how long a new leader waits.
func NewCommander(l Leadership, settle, dial time.Duration, t *state.Tables, log zerolog.Logger) *Commander {
	return &Commander{leads: l, settle: settle, tables: t, wires: newWires(dial), log: log}
}

// Run gives orders until ctx ends.
func (c *Commander) Run(ctx context.Context) error {
	return every(ctx, orderEvery, c.round)
}

func (c *Commander) round() {
	if !c.settled(clock.Now()) {
		c.settledIn.Store(0)
		return
	}
	c.settledIn.Store(c.term)
	for _, o := range order.Plan(c.tables.Index(), c.tables.Backends.View(), orderMost) {
		if err := c.give(c.term, o); err != nil {
			c.log.Warn().Err(err).Str("server", o.Server).Str("order", string(o.Kind)).Str("name", o.Name).Msg("order failed")
		}
	}
}

// settled reports whether this instance has led the same term for long enough.
func (c *Commander) settled(now time.Time) bool {
	term, ok := c.leads.Leads()
	if !ok {
		c.term = 0
		return false
	}
	if term != c.term {
		c.term, c.since = term, now
	}
	return now.Sub(c.since) >= c.settle
}

// command sends an order of a term, if this instance leads in it and has done
// so for long enough.
func (c *Commander) command(term uint64, o order.Order) error {
	if c.settledIn.Load() != term {
		return errNotLeading
	}
	return c.give(term, o)
}

// give sends one order, if this instance still leads in the term.
func (c *Commander) give(term uint64, o order.Order) error {
	body, err := json.Marshal(protocol.Order{Fence: term, Kind: o.Kind, Name: o.Name})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	if now, ok := c.leads.Leads(); !ok || now != term {
		return errNotLeading
	}
	status, answer, err := c.wires.call(o.Address, http.MethodPost, "/orders", body, orderTimeout)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("the server answered %d: %.100s", status, answer)
	}
	c.tables.Backends.RequestReport(o.Server) // It shows what came of the order.
	c.log.Info().Str("server", o.Server).Str("order", string(o.Kind)).Str("name", o.Name).Uint64("fence", term).Msg("order given")
	return nil
}

var errNotLeading = eris.New("this instance does not lead any more")
