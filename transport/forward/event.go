package forward

import (
	"bytes"
	"strconv"
)

// events cuts a stream of server-sent events into whole events. What a server
// left unfinished when it broke off never reaches the caller, so another one
// can go on behind the last whole event.
type events struct {
	rest []byte
	last string // last is the id of the last whole event, empty before the first.
	seen bool   // seen says that an event came.
	bare bool   // bare says that one with data and without an id came: no server can be told to go on behind it.
}

// take adds what was read and returns the whole events, which are valid until
// the next call. An event whose id is not above the last one is left out: it
// was passed on before.
func (e *events) take(p []byte) []byte {
	e.rest = append(e.rest, p...)
	end := lastBoundary(e.rest)
	if end == 0 {
		return nil
	}
	whole := e.rest[:end]
	out := whole[:0:0]
	for len(whole) > 0 {
		n := firstBoundary(whole)
		event := whole[:n]
		whole = whole[n:]
		if e.passes(event) {
			out = append(out, event...)
		}
	}
	e.rest = append(e.rest[:0:0], e.rest[end:]...)
	return out
}

// passes notes an event and reports whether it is a new one.
func (e *events) passes(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		e.bare = e.bare || hasData(event)
		return true
	}
	if e.seen && !above(id, e.last) {
		return false
	}
	e.last, e.seen = id, true
	return true
}

// above reports whether an event's id is behind another one. Ids that are no
// numbers only have to differ.
func above(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA == nil && errB == nil {
		return a > b
	}
	return id != last
}

// eventID returns the id line of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// firstBoundary returns the length of the first event with its empty line.
func firstBoundary(p []byte) int {
	lf, crlf := bytes.Index(p, []byte("\n\n")), bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return len(p)
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + len("\n\n")
	}
	return crlf + len("\r\n\r\n")
}

// lastBoundary returns the length of all whole events at the front of p.
func lastBoundary(p []byte) int {
	lf, crlf := bytes.LastIndex(p, []byte("\n\n")), bytes.LastIndex(p, []byte("\r\n\r\n"))
	end := 0
	if lf >= 0 {
		end = lf + len("\n\n")
	}
	if crlf >= 0 {
		end = max(end, crlf+len("\r\n\r\n"))
	}
	return end
}
