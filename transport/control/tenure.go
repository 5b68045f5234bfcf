package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// tenure is this instance's right to carry out the duties in a term. The loops of all
// duties act by it.
type tenure struct {
	mu     sync.Mutex // mu guards all below, also while the log is asked, so that one loop alone takes the duties.
	term   uint64
	since  time.Time // since is when this instance began to lead in the term.
	held   bool      // held says that the log names this instance as the holder of the term.
	former string    // former is the holder before.
	fenced bool      // fenced says that the term's token was refused.
}

// current returns the term.
func (t *tenure) current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// mayAct reports whether this instance holds the duties: it leads, its lease
// runs, the log names it as the holder, and the former holder's lease is over.
func (d *Duties) mayAct(ctx context.Context) bool {
	term, ok := d.group.Vouches()
	if !ok {
		return false
	}
	t := &d.tenure
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	if term != t.term {
		t.term, t.since, t.held, t.fenced = term, now, false, false
	}
	if t.fenced || (!t.held && !d.hold(ctx, t)) {
		return false
	}
	return t.former == "" || t.former == d.holder || now.Sub(t.since) >= d.limits.Lease
}

// hold has the log name this instance as the holder. Nobody acts before, so the
// one named before is the last that may have acted. It needs t.mu.
func (d *Duties) hold(ctx context.Context, t *tenure) bool {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	result, err := d.group.Propose(limit, protocol.Command{Hold: &protocol.DutyHolderMsg{Holder: d.holder, Token: t.term}})
	if err != nil || result.Hold == nil || result.Hold.Token != t.term {
		return false
	}
	tally, err := d.group.Propose(limit, protocol.Command{Tally: &protocol.TallyMsg{}})
	if err != nil || tally.Tally == nil {
		return false
	}
	d.uplink.Recall(t.term, d.limits.UsageWindow, tally.Tally.Rows)
	d.recalled.Store(t.term)
	t.held, t.former = true, result.Hold.Former
	d.log.Info().Uint64("token", t.term).Str("former", t.former).Msg("duties held")
	return true
}

// duty returns the token to act with, if this instance still may, right now.
func (d *Duties) duty() (Duty, bool) {
	term, ok := d.group.Vouches()
	d.tenure.mu.Lock()
	defer d.tenure.mu.Unlock()
	return Duty{Holder: d.holder, Token: term}, ok && term == d.tenure.term && !d.tenure.fenced
}

// refused notes an error of a call that carried a token.
func (d *Duties) refused(duty Duty, err error) {
	if !errors.Is(err, ErrFenced) {
		return
	}
	d.tenure.mu.Lock()
	defer d.tenure.mu.Unlock()
	if duty.Token == d.tenure.term {
		d.tenure.fenced = true
	}
	d.log.Warn().Uint64("term", duty.Token).Msg("the platform refused the fencing token")
}
