package protocol

import (
	"strconv"
	"strings"
)

// Incarnation identifies one start of a backend server. A server that restarts under
// the same name has lost all of its state, so everything known about a server belongs
// to one incarnation: [Instance.ID] and all tables use its text form.
type Incarnation struct {
	Name  string // server's name on the platform
	Start int64  // start time by the server's clock, in ms since 1970; 0 if not reported
}

// incarnationSeparator separates name and start in the text form.
const incarnationSeparator = "@"

// String returns the text form: name and start, or only the name if the start is
// unknown and the name is unambiguous.
func (i Incarnation) String() string {
	if i.Start == 0 && !strings.Contains(i.Name, incarnationSeparator) {
		return i.Name
	}
	return i.Name + incarnationSeparator + strconv.FormatInt(i.Start, 10)
}

// ParseIncarnation parses the text form returned by [Incarnation.String].
func ParseIncarnation(text string) Incarnation {
	at := strings.LastIndex(text, incarnationSeparator)
	if at < 0 {
		return Incarnation{Name: text}
	}
	start, err := strconv.ParseInt(text[at+len(incarnationSeparator):], 10, 64)
	if err != nil {
		return Incarnation{Name: text}
	}
	return Incarnation{Name: text[:at], Start: start}
}
