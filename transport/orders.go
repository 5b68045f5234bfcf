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
	orderInterval     = 250 * time.Millisecond
	maxOrdersPerRound = 4 // per round, since the weight store is rate-limited
	orderTimeout      = 2 * time.Second
)

// Leadership reports whether this instance leads at the moment of the call.
type Leadership interface {
	// Leads returns the term, which is the fencing token of orders, and whether
	// this instance leads and holds an unexpired lease.
	Leads() (term uint64, ok bool)
}

// Commander sends the leader's orders to backend servers.
//
// An order carries the leader's term as a fencing token, by which a server that
// checks it refuses orders of an earlier leader. For servers that do not check,
// two rules keep orders of two leaders apart: a leader checks its lease on a
// monotonic clock right before each order, and a new leader sends none until a
// lease granted to its predecessor at the last moment has expired.
type Commander struct {
	leads  Leadership
	settle time.Duration
	tables *state.Tables
	pool   *connPool
	log    zerolog.Logger
	term   uint64
	since  time.Time
	// settledTerm is the term in which orders may be sent now; 0 for none.
	settledTerm atomic.Uint64
}

// NewCommander returns a commander; settle is how long a new leader waits before
// its first order.
func NewCommander(l Leadership, settle, dial time.Duration, t *state.Tables, log zerolog.Logger) *Commander {
	return &Commander{leads: l, settle: settle, tables: t, pool: newConnPool(dial), log: log}
}

// Run sends orders until ctx ends.
func (c *Commander) Run(ctx context.Context) error {
	return runEvery(ctx, orderInterval, c.round)
}

func (c *Commander) round() {
	if !c.settled(clock.Now()) {
		c.settledTerm.Store(0)
		return
	}
	c.settledTerm.Store(c.term)
	for _, o := range order.Plan(c.tables.Index(), c.tables.Backends.View(), maxOrdersPerRound) {
		if err := c.send(c.term, o); err != nil {
			c.log.Warn().Err(err).Str("server", o.Server).Str("order", string(o.Kind)).Str("name", o.Name).Msg("order failed")
		}
	}
}

// settled reports whether this instance has led in the same term for at least the
// settle time.
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

// sendIfSettled sends an order of a term, if this instance has led in it for at
// least the settle time.
func (c *Commander) sendIfSettled(term uint64, o order.Order) error {
	if c.settledTerm.Load() != term {
		return errNotLeading
	}
	return c.send(term, o)
}

// send sends one order, if this instance still leads in the term.
func (c *Commander) send(term uint64, o order.Order) error {
	body, err := json.Marshal(protocol.Order{Fence: term, Kind: o.Kind, Name: o.Name})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	if now, ok := c.leads.Leads(); !ok || now != term {
		return errNotLeading
	}
	status, answer, err := c.pool.call(o.Address, http.MethodPost, "/orders", body, orderTimeout)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("the server answered %d: %.100s", status, answer)
	}
	c.tables.Backends.RequestReport(o.Server) // The report shows the order's effect.
	c.log.Info().Str("server", o.Server).Str("order", string(o.Kind)).Str("name", o.Name).Uint64("fence", term).Msg("order sent")
	return nil
}

var errNotLeading = eris.New("this instance does not lead any more")
