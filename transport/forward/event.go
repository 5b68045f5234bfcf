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
	line      int    // line is the start of the first line of partial that has not ended.
	searched  int    // searched is the length of the part of partial in which that line does not end.
	last      string // last is the ID of the last complete event; empty before the first.
	hasLast   bool   // hasLast reports that an event with an ID was seen.
	withoutID bool   // withoutID reports that an event with data but no ID was seen: no server can be told where to resume.
}

// append adds data from the stream and returns the events that are now complete. Events whose ID
// is not after the last one are dropped, as they were passed on before.
func (e *events) append(p []byte) []byte {
	e.partial = append(e.partial, p...)
	var whole []byte
	rest := e.partial
	for n := e.nextLength(rest); n > 0; n = e.nextLength(rest) {
		if e.accept(rest[:n]) {
			whole = append(whole, rest[:n]...)
		}
		rest = rest[n:]
	}
	if len(rest) < len(e.partial) { // Otherwise a long event would be copied at each read.
		e.partial = e.partial[:copy(e.partial, rest)]
	}
	return whole
}

// insideEvent reports whether the stream has begun an event that is incomplete. Further line ends
// after an event begin none.
func (e *events) insideEvent() bool { return len(bytes.Trim(e.partial, "\r\n")) > 0 }

// dropPartial drops an incomplete event.
func (e *events) dropPartial() { e.partial, e.line, e.searched = e.partial[:0], 0, 0 }

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
	value, ok := field(event, "id")
	return string(value), ok
}

func hasData(event []byte) bool {
	_, ok := field(event, "data")
	return ok
}

// field returns the value of the first field of an event that has the given name.
func field(event []byte, name string) (value []byte, ok bool) {
	for start := 0; start < len(event); {
		end, next := lineEnd(event, start, start)
		key, value, _ := bytes.Cut(event[start:end], []byte(":"))
		if string(key) == name {
			return bytes.TrimSpace(value), true
		}
		start = next
	}
	return nil, false
}

// nextLength returns the length of the first event of p, which begins with the unfinished event,
// including the blank line that ends it; 0 if the event is incomplete. Bytes that were searched before
// are not searched again.
func (e *events) nextLength(p []byte) int {
	for {
		end, next := lineEnd(p, e.line, e.searched)
		switch {
		case end == len(p):
			e.searched = end
			return 0
		case end == e.line:
			e.line, e.searched = 0, 0
			return next
		case end+1 == len(p) && p[end] == '\r':
			e.searched = end // An LF that belongs to this line may follow.
			return 0
		}
		e.line, e.searched = next, next
	}
}

// lineEnd returns the end of the line that begins at start and does not end before searched, and the
// start of the next one. Lines end with LF, CR or CRLF; both results are len(p) for a line without an
// end. If a read ends between the bytes of a CRLF behind an event, the LF counts as a line of its own,
// which changes no event.
func lineEnd(p []byte, start, searched int) (end, next int) {
	from := max(start, searched)
	i := bytes.IndexAny(p[from:], "\r\n")
	if i < 0 {
		return len(p), len(p)
	}
	end = from + i
	if p[end] == '\r' && end+1 < len(p) && p[end+1] == '\n' {
		return end, end + len("\r\n")
	}
	return end, end + 1
}
