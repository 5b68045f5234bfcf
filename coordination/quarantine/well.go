package quarantine

import "time"

// wellKept bounds what is kept, at 16 bytes each: a gateway has up to some 200 requests a
// second, of which the latest 10 s matter.
const wellKept = 2048

// WellEnds are when requests last ended well at one gateway, by their quick hash. A newer
// one may take the place of another.
type WellEnds struct {
	began time.Time
	rows  []wellEnd
}

// wellEnd is one row.
type wellEnd struct {
	quick uint64
	at    time.Duration // at is since began.
}

// NewWellEnds returns none.
func NewWellEnds(now time.Time) *WellEnds {
	return &WellEnds{began: now, rows: make([]wellEnd, wellKept)}
}

// Note notes a good end.
func (w *WellEnds) Note(quick uint64, now time.Time) {
	w.rows[quick%wellKept] = wellEnd{quick: quick, at: now.Sub(w.began)}
}

// Ago returns how long before a time a request last ended well, and false where none is
// known of the last trustTime.
func (w *WellEnds) Ago(quick uint64, now time.Time) (time.Duration, bool) {
	row := w.rows[quick%wellKept]
	ago := now.Sub(w.began) - row.at
	return max(1, ago), row.quick == quick && ago <= trustTime
}
