package caller

import (
	"time"

	"github.com/weldstream/weldstream/internal/tcp"
)

// MinRate is the least rate that callers are held to while they send a body or take an
// answer: bytes over a window, so that a pause is allowed and a byte now and then is
// not enough.
type MinRate struct {
	Rate   int           // Rate is in bytes a second; 0 asks for one byte in each window.
	Window time.Duration // Window is the time over which the rate holds.
}

// DefaultMinRate is far below what any caller needs who means to go on: the slowest links
// in use carry ten times the rate. The window is longer than a caller pauses who waits
// for its disk or for a lost packet to be repeated several times.
var DefaultMinRate = MinRate{Rate: defaultRate, Window: defaultWindow}

const (
	defaultRate   = 1 << 10 // in bytes a second
	defaultWindow = 15 * time.Second
)

// need is how many bytes each window has to bring.
func (p MinRate) need() int { return max(1, int(float64(p.Rate)*p.Window.Seconds())) }

// window is one direction of a connection, held to a pace.
type window struct {
	need int
	time time.Duration
	end  time.Time
	got  int

	queued int // queued are the bytes that the kernel kept at its begin; for answers.
}

// begin starts the first window.
func (w *window) begin(p MinRate, now time.Time) {
	*w = window{need: p.need(), time: p.Window, end: now.Add(p.Window)}
}

// restartIfFrozen starts the window anew if the process was frozen at its end, and reports
// whether it was: such a window says nothing of the caller.
func (w *window) restartIfFrozen(now time.Time) bool {
	if !tcp.Late(w.end, now) {
		return false
	}
	w.got, w.end = 0, now.Add(w.time)
	return true
}

// add counts bytes, and reports whether they filled the window, so that the next one
// has begun.
func (w *window) add(n int, now func() time.Time) bool {
	w.got += n
	if w.got < w.need {
		return false
	}
	w.got, w.end = 0, now().Add(w.time)
	return true
}
