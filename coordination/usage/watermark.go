package usage

import (
	"slices"
	"time"
)

// Watermarks hold up to which time the counts of each gateway are whole. A window
// can be settled as soon as every gateway that may have counted in it has told its
// counts beyond the window's end; waiting longer only risks that the quorum or the
// platform is lost meanwhile. While one that counted is frozen or cut off, the window
// is to wait for it for as long as the report allows.
type Watermarks struct {
	alone    time.Duration
	gateways map[string]watermark
}

// watermark is what is known of one gateway.
type watermark struct {
	counted time.Time // counted is up to when its counts are whole, by its own clock.
	heard   time.Time // heard is when it told that.
}

// NewWatermarks returns the watermarks of no gateways. Alone is for how long a gateway
// that is not heard may go on having requests begin.
func NewWatermarks(alone time.Duration) *Watermarks {
	return &Watermarks{alone: alone, gateways: map[string]watermark{}}
}

// Record notes that a gateway has told all that it counted before a time. One that was
// started anew tells nothing of its former life, which nobody else knows either.
func (w *Watermarks) Record(gateway string, counted, now time.Time) {
	w.gateways[gateway] = watermark{counted: counted, heard: now}
}

// Expect notes a gateway that told counts from a time on to another leader.
func (w *Watermarks) Expect(gateway string, from time.Time) {
	if known, ok := w.gateways[gateway]; !ok || known.heard.Before(from) {
		w.gateways[gateway] = watermark{counted: from, heard: from}
	}
}

// Known returns how many gateways are known.
func (w *Watermarks) Known() int { return len(w.gateways) }

// Missing returns the gateways that may have counted in a window of a length and have
// not told all of it yet, by name.
func (w *Watermarks) Missing(window int64, length time.Duration) []string {
	end := End(window, length)
	idle := end.Add(-length - w.alone) // One that was last heard before was idle in the window.
	var names []string
	for name, mark := range w.gateways {
		if mark.counted.Before(end) && !mark.heard.Before(idle) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops the gateways that were last heard before a time.
func (w *Watermarks) Forget(before time.Time) {
	for name, mark := range w.gateways {
		if mark.heard.Before(before) {
			delete(w.gateways, name)
		}
	}
}
