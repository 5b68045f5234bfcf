package backpressure

import (
	"maps"
	"time"
)

// maxBackoff bounds a back-off, so that a server that asks for an extreme time gets
// requests again after an hour.
const maxBackoff = time.Hour

// Backoffs holds the servers that asked one gateway to back off. The zero value is empty.
type Backoffs struct {
	until map[string]time.Time
}

// Add records that a server wants no requests from this gateway for a time. A later,
// shorter back-off does not end an earlier one.
func (b *Backoffs) Add(server string, backoff time.Duration, now time.Time) {
	if b.until == nil {
		b.until = map[string]time.Time{}
	}
	if end := now.Add(min(backoff, maxBackoff)); end.After(b.until[server]) {
		b.until[server] = end
	}
}

// Remaining returns how long a server still wants no requests; 0 or less if it takes them.
func (b *Backoffs) Remaining(server string, now time.Time) time.Duration {
	end, ok := b.until[server]
	if !ok {
		return 0
	}
	return end.Sub(now)
}

// Each calls a func with each server that wants no requests now, and the time left.
func (b *Backoffs) Each(now time.Time, call func(server string, left time.Duration)) {
	for server, end := range b.until {
		if left := end.Sub(now); left > 0 {
			call(server, left)
		}
	}
}

// Prune removes back-offs that have ended, and those of servers that are no longer listed.
func (b *Backoffs) Prune(listed func(server string) bool, now time.Time) {
	maps.DeleteFunc(b.until, func(server string, end time.Time) bool { return !now.Before(end) || !listed(server) })
}
