package protocol

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter caps the parsed value; longer delays are reduced to it.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter parses the value of a Retry-After header: a number of seconds, which
// may have a fraction, or an HTTP date. A date is taken relative to the Date header of
// the same response if that is valid, so that clock skew does not matter, and otherwise
// relative to the local clock. ok is false for any other value.
func ParseRetryAfter(value, date string) (d time.Duration, ok bool) {
	value = strings.TrimSpace(value)
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		end, err := http.ParseTime(value)
		if err != nil {
			return 0, false
		}
		now, err := http.ParseTime(date)
		if err != nil {
			now = time.Now() // no valid Date header
		}
		seconds = max(0, end.Sub(now).Seconds())
	}
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), true
}
