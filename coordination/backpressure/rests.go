package backpressure

import (
	"maps"
	"time"
)

// longestRest bounds a rest: a server that asks for more was asked by nobody for an hour.
const longestRest = time.Hour

// Rests are the servers that asked one gateway for rest. The zero value is of none.
type Rests struct {
	until map[string]time.Time
}

// Asked notes that a server wants nothing from this gateway for a time. Each rest holds to
// its end, also where a shorter one is asked for behind it.
func (r *Rests) Asked(server string, rest time.Duration, now time.Time) {
	if r.until == nil {
		r.until = map[string]time.Time{}
	}
	if end := now.Add(min(rest, longestRest)); end.After(r.until[server]) {
		r.until[server] = end
	}
}

// Left returns how much longer a server wants nothing; 0 or less where it takes requests.
func (r *Rests) Left(server string, now time.Time) time.Duration {
	end, ok := r.until[server]
	if !ok {
		return 0
	}
	return end.Sub(now)
}

// Each calls a func with each server that wants nothing now, and for how much longer.
func (r *Rests) Each(now time.Time, call func(server string, left time.Duration)) {
	for server, end := range r.until {
		if left := end.Sub(now); left > 0 {
			call(server, left)
		}
	}
}

// Keep drops the rests that are over, and those of servers that are listed no more.
func (r *Rests) Keep(listed func(server string) bool, now time.Time) {
	maps.DeleteFunc(r.until, func(server string, end time.Time) bool { return !now.Before(end) || !listed(server) })
}
