package protocol

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// longestRetryAfter is what any longer time is read as.
const longestRetryAfter = 24 * time.Hour

// ParseRetryAfter reads the time that a Retry-After header tells: in seconds, fractions
// included, or as the date at which it ends, by the clock of an answer's own Date header
// where that has one. It is false for anything else.
func ParseRetryAfter(text, date string) (d time.Duration, ok bool) {
	text = strings.TrimSpace(text)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		end, err := http.ParseTime(text)
		if err != nil {
			return 0, false
		}
		now, err := http.ParseTime(date)
		if err != nil {
			now = time.Now() // The answer tells no date.
		}
		seconds = max(0, end.Sub(now).Seconds())
	}
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, longestRetryAfter.Seconds()) * float64(time.Second)), true
}
