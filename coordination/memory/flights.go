package memory

import "maps"

const (
	// leastLimit is what a server is always taken to bear: some bodies of a usual size.
	// A failure with less under way is not taken to follow from it.
	leastLimit = 1 << 20
	// limitStep is by how much a limit grows for as many bytes as it allows that were
	// answered: it takes some sixteen times its length until a halved limit of 2 MB is
	// doubled again, in which a server that falls over has started anew.
	limitStep = 64 << 10
	// mostLimit is beyond what any process holds for one server; a limit that grew so
	// far says nothing.
	mostLimit = 256 << 20
)

// Flights are the bytes of requests that one gateway has under way at the servers of a
// service, and how many of them one server bears as far as is known.
//
// No server tells what it can hold. The limit is learnt from failures that follow bytes:
// none at first, half of what a server had when it fell over, and growing again by what
// is answered (additive increase, multiplicative decrease). It is the service's, since a
// server that starts anew is another one, of the same kind.
type Flights struct {
	limit   float64 // limit is 0 before a server fell over.
	servers map[string]*flight
}

// flight is what one server has.
type flight struct {
	bytes int64
	falls int // falls counts how often it fell over while it had bytes all the time: each teaches once.
}

// NewFlights returns flights with no limit.
func NewFlights() *Flights { return &Flights{servers: map[string]*flight{}} }

// Limit returns how many bytes a server gets; 0 sets no limit.
func (f *Flights) Limit() int64 { return int64(f.limit) }

// Bytes returns what is under way, by server.
func (f *Flights) Bytes() map[string]int64 {
	out := make(map[string]int64, len(f.servers))
	for id, s := range f.servers {
		out[id] = s.bytes
	}
	return out
}

// Full returns the servers that have no room for so many bytes more. One that has
// nothing has room for any request.
func (f *Flights) Full(bytes int64) []string {
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

// Began notes bytes that are sent to a server, and returns how often it fell over before,
// which Fell asks for.
func (f *Flights) Began(server string, bytes int64) (falls int) {
	s := f.servers[server]
	if s == nil {
		s = &flight{}
		f.servers[server] = s
	}
	s.bytes += bytes
	return s.falls
}

// Ended notes that their request has left the server, answered or not.
func (f *Flights) Ended(server string, bytes int64, answered bool) {
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

// Fell notes that a server ended a request without an answer, and reports whether that
// taught a lower limit. Of the requests that are lost in one fall, which all began behind
// as many falls, the first teaches.
func (f *Flights) Fell(server string, falls int) bool {
	s := f.servers[server]
	if s == nil || falls < s.falls {
		return false
	}
	s.falls++
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

// All is what is under way at all servers.
func (f *Flights) All() int64 {
	var sum int64
	for s := range maps.Values(f.servers) {
		sum += s.bytes
	}
	return sum
}
