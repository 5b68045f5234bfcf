package protocol

import "time"

// ServerFeedback is the load-control information that a backend server sends along with
// an answer. The zero value means that it sent none and accepts any load.
type ServerFeedback struct {
	Limit RateLimit
	// LimitUnread says that the server sent a limit that could not be parsed. The
	// previous limit remains in effect.
	LimitUnread bool
	Leaving     bool          // accepts no new requests for the rest of this incarnation
	Rest        time.Duration // how long this gateway should send nothing; 0 if not requested
	Unread      string        // values that could not be parsed; empty for none
}

// RateLimit is what a server accepts from all gateways combined: a maximum request rate,
// a maximum number of requests that it can reject, or both. The zero value is no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64 // requests per second, at least 0; valid only if Named is set

	// Brittle says that the server crashes if it has to reject more than MaxRejections
	// requests within a second for want of room.
	Brittle       bool
	MaxRejections int // valid only if Brittle is set
}

// IsZero reports whether there is no limit.
func (l RateLimit) IsZero() bool { return l == RateLimit{} }
