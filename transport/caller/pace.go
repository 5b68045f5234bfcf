package caller

import (
	"time"

	"github.com/weldstream/weldstream/internal/tcp"
)

// MinRate is the minimum rate at which callers must send a body or read a response. It is
// checked over a window, so that pauses are allowed but a trickle of bytes is not.
type MinRate struct {
	Rate   int           // Rate is in bytes per second; 0 requires one byte per window.
	Window time.Duration // Window is the time over which the rate is checked.
}

// DefaultMinRate is far below the rate of any cooperative caller: the slowest links in use carry
// ten times as much. The window is longer than the pause of a caller that waits for its disk or
// for several retransmissions of a lost packet.
var DefaultMinRate = MinRate{Rate: defaultRate, Window: defaultWindow}

const (
	defaultRate   = 1 << 10 // in bytes per second
	defaultWindow = 15 * time.Second
)

// minBytes is the number of bytes that must be transferred in each window.
func (p MinRate) minBytes() int { return max(1, int(float64(p.Rate)*p.Window.Seconds())) }

// rateWindow checks the minimum rate of one direction of a connection.
type rateWindow struct {
	minBytes    int
	length      time.Duration
	end         time.Time
	transferred int

	queued  int // queued is the kernel's send queue in bytes at the start of the window; for responses.
	surplus int // surplus is what the caller acknowledged beyond the minimum of earlier windows, up to maxSurplusWindows; for responses.
}

// maxSurplusWindows is how many windows a caller may acknowledge nothing after it has
// acknowledged enough for them. A caller's kernel acknowledges in steps of up to its receive
// buffer, which a caller above the minimum rate may need several windows to read.
const maxSurplusWindows = 3

// addSurplus adds acknowledged bytes beyond the minimum, or subtracts missing ones.
func (w *rateWindow) addSurplus(n int) {
	w.surplus = min(max(0, w.surplus+n), maxSurplusWindows*w.minBytes)
}

// start starts the first window.
func (w *rateWindow) start(p MinRate, now time.Time) {
	*w = rateWindow{minBytes: p.minBytes(), length: p.Window, end: now.Add(p.Window)}
}

// restartIfFrozen restarts the window if the process was suspended when it ended, and reports
// whether it did: such a window says nothing about the caller.
func (w *rateWindow) restartIfFrozen(now time.Time) bool {
	if !tcp.Late(w.end, now) {
		return false
	}
	w.transferred, w.end = 0, now.Add(w.length)
	return true
}

// add counts transferred bytes. It reports whether they reached the minimum, in which case the
// next window has started.
func (w *rateWindow) add(n int, now func() time.Time) bool {
	w.transferred += n
	if w.transferred < w.minBytes {
		return false
	}
	w.transferred, w.end = 0, now().Add(w.length)
	return true
}
