package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// tenure is this instance's right to carry out the duties in a term. It is shared by the loops
// of all duties.
type tenure struct {
	mu           sync.Mutex // mu guards the fields below. It is also held during the commit, so that only one loop claims the duties.
	term         uint64
	leadsSince   time.Time // leadsSince is when this instance began to lead in the term.
	recorded     bool      // recorded is set once the log names this instance as the holder for the term.
	formerHolder string    // formerHolder is the previous holder.
	fenced       bool      // fenced is set if the platform refused the term's token.
}

// current returns the term.
func (t *tenure) current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// mayAct reports whether this instance may carry out the duties: it leads with a valid lease,
// the log names it as the holder, and the former holder's lease has expired.
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
		t.term, t.leadsSince, t.recorded, t.fenced = term, now, false, false
	}
	if t.fenced || (!t.recorded && !d.recordHolder(ctx, t)) {
		return false
	}
	return t.formerHolder == "" || t.formerHolder == d.holder || now.Sub(t.leadsSince) >= d.config.Lease
}

// recordHolder commits this instance as the holder of the duties. No instance acts before
// that, so the previously committed one is the last that may have acted. The caller holds
// t.mu.
func (d *Duties) recordHolder(ctx context.Context, t *tenure) bool {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := d.group.Propose(limit, protocol.Command{Hold: &protocol.DutyHolderMsg{Holder: d.holder, Token: t.term}})
	if err != nil || result.Hold == nil || result.Hold.Token != t.term {
		return false
	}
	tally, err := d.group.Propose(limit, protocol.Command{Tally: &protocol.TallyMsg{}})
	if err != nil || tally.Tally == nil {
		return false
	}
	d.uplink.RestoreCounts(t.term, d.config.UsageWindow, tally.Tally.Rows)
	d.restoredTerm.Store(t.term)
	t.recorded, t.formerHolder = true, result.Hold.Former
	d.log.Info().Uint64("token", t.term).Str("former", t.formerHolder).Msg("duties acquired")
	return true
}

// currentDuty returns the holder and fencing token to act with, if this instance may still act.
func (d *Duties) currentDuty() (Duty, bool) {
	term, ok := d.group.Vouches()
	d.tenure.mu.Lock()
	defer d.tenure.mu.Unlock()
	return Duty{Holder: d.holder, Token: term}, ok && term == d.tenure.term && !d.tenure.fenced
}

// checkFenced checks whether a call failed because its fencing token was refused, and stops
// the duties of the term in that case.
func (d *Duties) checkFenced(duty Duty, err error) {
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
