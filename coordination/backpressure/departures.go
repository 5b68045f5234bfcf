package backpressure

import (
	"maps"
	"time"
)

// leftKept is for how long a server that said it leaves is remembered once it is listed no
// more: an older list may come behind a newer one.
const leftKept = time.Minute

// Departures are the servers that said themselves that they leave. No list takes that back
// for the same start of a server. The zero value is of none.
type Departures struct {
	listed map[string]time.Time // listed is when each was listed last, or said so.
}

// MarkLeaving notes that a server leaves, and reports whether it was not known to.
func (d *Departures) MarkLeaving(server string, now time.Time) (news bool) {
	if d.listed == nil {
		d.listed = map[string]time.Time{}
	}
	_, known := d.listed[server]
	d.listed[server] = now
	return !known
}

// IsLeaving reports whether a server said that it leaves.
func (d *Departures) IsLeaving(server string) bool {
	_, ok := d.listed[server]
	return ok
}

// Prune forgets the servers that have not been listed for long.
func (d *Departures) Prune(listed func(server string) bool, now time.Time) {
	for server := range d.listed {
		if listed(server) {
			d.listed[server] = now
		}
	}
	maps.DeleteFunc(d.listed, func(_ string, at time.Time) bool { return now.Sub(at) > leftKept })
}
