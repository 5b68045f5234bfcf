package protocol

import (
	"strconv"
	"strings"
)

// Incarnation is one start of a backend server. A server that starts again under its name
// holds and knows nothing of before. Everything that is known of a server is known of an
// incarnation: [Instance.ID] and all tables go by its text.
type Incarnation struct {
	Name  string // Name is what the platform knows the server by.
	Start int64  // Start is when it started, in ms since 1970 by its own clock; 0 where that is not told.
}

// incarnationMark is between an incarnation's name and its start.
const incarnationMark = "@"

// String renders the incarnation: its name and start, or the name alone where the start
// is not told and no other reading is possible.
func (i Incarnation) String() string {
	if i.Start == 0 && !strings.Contains(i.Name, incarnationMark) {
		return i.Name
	}
	return i.Name + incarnationMark + strconv.FormatInt(i.Start, 10)
}

// ParseIncarnation reads what String rendered.
func ParseIncarnation(text string) Incarnation {
	at := strings.LastIndex(text, incarnationMark)
	if at < 0 {
		return Incarnation{Name: text}
	}
	start, err := strconv.ParseInt(text[at+len(incarnationMark):], 10, 64)
	if err != nil {
		return Incarnation{Name: text}
	}
	return Incarnation{Name: text[:at], Start: start}
}
