package protocol

import "time"

// ServerFeedback is what a backend server says of itself beside an answer. The zero value is
// of one that says nothing: it takes whatever comes.
type ServerFeedback struct {
	Limit RateLimit
	// LimitUnread says that it named a limit that could not be read: the one before holds.
	LimitUnread bool
	Leaving     bool          // Leaving says that it takes no new requests for the rest of this start.
	Rest        time.Duration // Rest is for how long it wants nothing from this gateway; 0 for no such wish.
	Unread      string        // Unread is what it said and could not be read; empty for nothing.
}

// RateLimit bounds the requests that a server takes from all gateways together.
type RateLimit struct {
	Named     bool
	PerSecond float64 // PerSecond is in requests a second, 0 or more; it counts only where Named is set.
}
