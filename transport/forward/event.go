package forward

import (
	"bytes"
	"strconv"
)

// events splits a stream of server-sent events at event boundaries. An event that a server
// left incomplete when its stream broke never reaches the caller, so another server can
// resume after the last complete event.
type events struct {
	partial   []byte
	last      string // last is the ID of the last complete event; empty before the first.
	hasLast   bool   // hasLast reports that an event with an ID was seen.
	withoutID bool   // withoutID reports that an event with data but no ID was seen: no server can be told where to resume.
}

// append adds data from the stream and returns the events that are now complete. The result
// is valid until the next call. Events whose ID is not after the last one are dropped, as
// they were passed on before.
func (e *events) append(p []byte) []byte {
	e.partial = append(e.partial, p...)
	end := lastBoundary(e.partial)
	if end == 0 {
		return nil
	}
	whole := e.partial[:end]
	out := whole[:0:0]
	for len(whole) > 0 {
		n := firstBoundary(whole)
		event := whole[:n]
		whole = whole[n:]
		if e.accept(event) {
			out = append(out, event...)
		}
	}
	e.partial = append(e.partial[:0:0], e.partial[end:]...)
	return out
}

// accept records an event and reports whether it is new.
func (e *events) accept(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		e.withoutID = e.withoutID || hasData(event)
		return true
	}
	if e.hasLast && !isAfter(id, e.last) {
		return false
	}
	e.last, e.hasLast = id, true
	return true
}

// isAfter reports whether an event ID comes after another one. IDs that are not numbers only
// have to differ.
func isAfter(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA == nil && errB == nil {
		return a > b
	}
	return id != last
}

// eventID returns the value of an event's id field.
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

// firstBoundary returns the length of the first event, including its blank line.
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

// lastBoundary returns the length of all complete events at the start of p.
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
