package usage

import (
	"slices"
	"time"
)

// Watermarks hold the time up to which the counts of each gateway are complete. A window
// can be settled as soon as every gateway that may have counted in it has reported its
// counts beyond the window's end; waiting longer only risks losing the quorum or the
// platform meanwhile. While such a gateway is frozen or partitioned, the window waits for
// it for as long as the due time of the report allows.
type Watermarks struct {
	standalone time.Duration
	gateways   map[string]watermark
}

// watermark is the watermark of one gateway.
type watermark struct {
	counted time.Time // counted is the time up to which its counts are complete, by its own clock.
	heard   time.Time // heard is when it reported that time.
}

// NewWatermarks returns an empty set of watermarks. Standalone is how long a gateway that
// cannot be reached may keep starting requests.
func NewWatermarks(standalone time.Duration) *Watermarks {
	return &Watermarks{standalone: standalone, gateways: map[string]watermark{}}
}

// Record records that a gateway has reported all counts from before a time. A restarted
// gateway reports nothing of its previous incarnation: what that one had not reported is
// lost.
func (w *Watermarks) Record(gateway string, counted, now time.Time) {
	w.gateways[gateway] = watermark{counted: counted, heard: now}
}

// Expect adds a gateway that has reported counts from a time on to another leader. They
// may be incomplete from that time.
func (w *Watermarks) Expect(gateway string, from time.Time) {
	if known, ok := w.gateways[gateway]; !ok || known.heard.Before(from) {
		w.gateways[gateway] = watermark{counted: from, heard: from}
	}
}

// Known returns the number of known gateways.
func (w *Watermarks) Known() int { return len(w.gateways) }

// Missing returns the names, sorted, of the gateways that may have counted in a window of
// a length and have not reported all of it yet.
func (w *Watermarks) Missing(window int64, length time.Duration) []string {
	end := End(window, length)
	idleBefore := end.Add(-length - w.standalone) // A gateway last heard before that started no request in the window.
	var names []string
	for name, mark := range w.gateways {
		if mark.counted.Before(end) && !mark.heard.Before(idleBefore) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget removes the gateways that were last heard before a time.
func (w *Watermarks) Forget(before time.Time) {
	for name, mark := range w.gateways {
		if mark.heard.Before(before) {
			delete(w.gateways, name)
		}
	}
}
