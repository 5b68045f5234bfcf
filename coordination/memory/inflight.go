package memory

import "maps"

const (
	// minLimit, in bytes, is the lowest limit that is ever set: a few bodies of usual size.
	// A crash with less in flight has another cause and does not lower the limit.
	minLimit = 1 << 20
	// limitStep is how many bytes a limit grows by each time as many bytes as it allows
	// were answered (additive increase). A limit that was halved to 1 MB is back at 2 MB
	// after sixteen such rounds, by which time the crashed server has restarted.
	limitStep = 64 << 10
	// maxLimit, in bytes, is more than any gateway holds for one server. A limit above it
	// has no effect and is dropped.
	maxLimit = 256 << 20
)

// InFlight counts the bytes of requests that one gateway has in flight at the servers of a
// service, and learns a limit for each server.
//
// No server reports how much it can hold, so the limit is learned from crashes: there is
// none at first, a crash sets it to half of the server's bytes in flight, and each answer
// raises it (additive increase, multiplicative decrease). All servers of the service share
// the limit, since a restarted server counts as another server of the same kind.
type InFlight struct {
	limit   float64 // limit is in bytes per server; 0 before the first crash.
	servers map[string]*serverLoad
}

// serverLoad is the load of one server.
type serverLoad struct {
	bytes   int64
	crashes int // crashes counts the crashes since the server last had no bytes in flight; each lowers the limit at most once.
}

// NewInFlight returns an empty InFlight without a limit.
func NewInFlight() *InFlight { return &InFlight{servers: map[string]*serverLoad{}} }

// Limit returns the limit in bytes per server; 0 means no limit.
func (f *InFlight) Limit() int64 { return int64(f.limit) }

// Bytes returns the bytes in flight by server.
func (f *InFlight) Bytes() map[string]int64 {
	out := make(map[string]int64, len(f.servers))
	for id, s := range f.servers {
		out[id] = s.bytes
	}
	return out
}

// Full returns the servers that would exceed the limit with so many more bytes. A server
// without bytes in flight takes any request, even one larger than the limit.
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

// RequestStarted records bytes sent to a server. It returns the number of the server's
// crashes so far, to be passed to Crashed if this request is lost.
func (f *InFlight) RequestStarted(server string, bytes int64) (crashes int) {
	s := f.servers[server]
	if s == nil {
		s = &serverLoad{}
		f.servers[server] = s
	}
	s.bytes += bytes
	return s.crashes
}

// RequestEnded records that a request has left the server, answered or not.
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
	if f.limit += limitStep * float64(bytes) / f.limit; f.limit > maxLimit {
		f.limit = 0
	}
}

// Crashed records that a server ended a request without an answer, and reports whether that
// lowered the limit. A crash loses all requests in flight at once. They started with the
// same number of crashes, so only the first report of them counts.
func (f *InFlight) Crashed(server string, crashes int) bool {
	s := f.servers[server]
	if s == nil || crashes < s.crashes {
		return false
	}
	s.crashes++
	if s.bytes < minLimit {
		return false
	}
	lower := max(minLimit, float64(s.bytes)/2)
	if f.limit > 0 && lower >= f.limit {
		return false
	}
	f.limit = lower
	return true
}

// TotalBytes returns the bytes in flight at all servers.
func (f *InFlight) TotalBytes() int64 {
	var sum int64
	for s := range maps.Values(f.servers) {
		sum += s.bytes
	}
	return sum
}
