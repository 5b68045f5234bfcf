package backpressure

import (
	"maps"
	"time"
)

// longestRest bounds a rest: a server that asks for more was asked by nobody for an hour.
const longestRest = time.Hour

// Backoffs are the servers that asked one gateway for rest. The zero value is of none.
type Backoffs struct {
	until map[string]time.Time
}

// Add notes that a server wants nothing from this gateway for a time. Each rest holds to
// its end, also where a shorter one is asked for behind it.
func (r *Backoffs) Add(server string, rest time.Duration, now time.Time) {
	if r.until == nil {
		r.until = map[string]time.Time{}
	}
	if end := now.Add(min(rest, longestRest)); end.After(r.until[server]) {
		r.until[server] = end
	}
}

// Remaining returns how much longer a server wants nothing; 0 or less where it takes requests.
func (r *Backoffs) Remaining(server string, now time.Time) time.Duration {
	end, ok := r.until[server]
	if !ok {
		return 0
	}
	return end.Sub(now)
}

// Each calls a func with each server that wants nothing now, and for how much longer.
func (r *Backoffs) Each(now time.Time, call func(server string, left time.Duration)) {
	for server, end := range r.until {
		if left := end.Sub(now); left > 0 {
			call(server, left)
		}
	}
}

// Prune drops the rests that are over, and those of servers that are listed no more.
func (r *Backoffs) Prune(listed func(server string) bool, now time.Time) {
	maps.DeleteFunc(r.until, func(server string, end time.Time) bool { return !now.Before(end) || !listed(server) })
}
