package memory

import "maps"

const (
	// leastLimit, in bytes, is the lowest limit that is ever set: some bodies of a usual
	// size. A crash with less in flight has another cause, and teaches nothing.
	leastLimit = 1 << 20
	// limitStep is by how many bytes a limit grows once as many bytes were answered as it
	// allows (the additive increase). A limit that was halved to 1 MB is 2 MB again after
	// sixteen such rounds, by when the crashed server has restarted.
	limitStep = 64 << 10
	// mostLimit, in bytes, is more than any gateway holds for one server. A limit that
	// grew beyond it binds nothing and is dropped.
	mostLimit = 256 << 20
)

// InFlight counts the bytes of requests that one gateway has in flight at the servers of
// a service, and learns a limit for each server.
//
// No server tells what it can hold, so the limit comes from crashes: there is none at
// first, a crash sets it to half of what the server had then, and each answer raises it
// (additive increase, multiplicative decrease). All servers of the service share it, as a
// server that restarts counts as another one of the same kind.
type InFlight struct {
	limit   float64 // limit is in bytes for each server; 0 before one crashed.
	servers map[string]*serverLoad
}

// serverLoad is what one server has in flight.
type serverLoad struct {
	bytes   int64
	crashes int // crashes counts its crashes since it last had no bytes: each one lowers the limit once.
}

// NewInFlight returns counts of nothing, without a limit.
func NewInFlight() *InFlight { return &InFlight{servers: map[string]*serverLoad{}} }

// Limit returns how many bytes a server gets; 0 sets no limit.
func (f *InFlight) Limit() int64 { return int64(f.limit) }

// Bytes returns the bytes in flight, by server.
func (f *InFlight) Bytes() map[string]int64 {
	out := make(map[string]int64, len(f.servers))
	for id, s := range f.servers {
		out[id] = s.bytes
	}
	return out
}

// Full returns the servers that so many bytes more would bring above the limit. A server
// without bytes takes any request, also one larger than the limit.
func (f *InFlight) Full(bytes int64) []string {
	if f.limit == 0 {
		return nil
	}
	var full []string
	for id, s := range f.servers {
		if s.bytes > 0 && float64(s.bytes+bytes) > f.limit {
			full = append(full, id)
		}
	}
	return full
}

// RequestStarted notes bytes that are sent to a server. It returns the server's crashes so far, to
// be handed to Crashed if this request is lost.
func (f *InFlight) RequestStarted(server string, bytes int64) (crashes int) {
	s := f.servers[server]
	if s == nil {
		s = &serverLoad{}
		f.servers[server] = s
	}
	s.bytes += bytes
	return s.crashes
}

// RequestEnded notes that their request has left the server, answered or not.
func (f *InFlight) RequestEnded(server string, bytes int64, answered bool) {
	s := f.servers[server]
	if s == nil {
		return
	}
	if s.bytes -= bytes; s.bytes <= 0 {
		delete(f.servers, server)
	}
	if !answered || f.limit == 0 {
		return
	}
	if f.limit += limitStep * float64(bytes) / f.limit; f.limit > mostLimit {
		f.limit = 0
	}
}

// Crashed notes that a server ended a request without an answer, and reports whether that
// lowered the limit. A crash loses all requests in flight at once; they began behind the
// same number of crashes, and only the first that is reported counts.
func (f *InFlight) Crashed(server string, crashes int) bool {
	s := f.servers[server]
	if s == nil || crashes < s.crashes {
		return false
	}
	s.crashes++
	if s.bytes < leastLimit {
		return false
	}
	lower := max(leastLimit, float64(s.bytes)/2)
	if f.limit > 0 && lower >= f.limit {
		return false
	}
	f.limit = lower
	return true
}

// TotalBytes returns the bytes in flight at all servers together.
func (f *InFlight) TotalBytes() int64 {
	var sum int64
	for s := range maps.Values(f.servers) {
		sum += s.bytes
	}
	return sum
}
