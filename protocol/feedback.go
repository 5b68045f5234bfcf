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

// RateLimit is the maximum request rate that a server accepts from all gateways
// combined.
type RateLimit struct {
	Named     bool
	PerSecond float64 // requests per second, at least 0; valid only if Named is set
}
