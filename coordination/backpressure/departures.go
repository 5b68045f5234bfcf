package backpressure

import (
	"maps"
	"time"
)

// departureRetention is how long a departure is remembered after the server was last
// listed: an outdated list may arrive after a newer one.
const departureRetention = time.Minute

// Departures holds the servers that announced that they are leaving. A later list cannot
// revoke the announcement for the same start of a server. The zero value is empty.
type Departures struct {
	lastListed map[string]time.Time // lastListed is when each server was last listed, or announced that it leaves.
}

// MarkLeaving records that a server is leaving, and reports whether that was unknown.
func (d *Departures) MarkLeaving(server string, now time.Time) (added bool) {
	if d.lastListed == nil {
		d.lastListed = map[string]time.Time{}
	}
	_, known := d.lastListed[server]
	d.lastListed[server] = now
	return !known
}

// IsLeaving reports whether a server announced that it is leaving.
func (d *Departures) IsLeaving(server string) bool {
	_, ok := d.lastListed[server]
	return ok
}

// Prune removes the servers that have not been listed for departureRetention.
func (d *Departures) Prune(listed func(server string) bool, now time.Time) {
	for server := range d.lastListed {
		if listed(server) {
			d.lastListed[server] = now
		}
	}
	maps.DeleteFunc(d.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) > departureRetention })
}
