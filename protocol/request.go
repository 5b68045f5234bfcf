package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Priority orders requests when capacity is short; higher runs first.
type Priority int8

// The priorities that callers and routes may name.
const (
	PriorityLow    Priority = -1
	PriorityNormal Priority = 0
	PriorityHigh   Priority = 1
)

// ParsePriority reads a priority by its name. The empty name is normal.
func ParsePriority(name string) (Priority, error) {
	switch name {
	case "low":
		return PriorityLow, nil
	case "", "normal":
		return PriorityNormal, nil
	case "high":
		return PriorityHigh, nil
	}
	return PriorityNormal, fmt.Errorf("unknown priority %q: want low, normal or high", name)
}

// Kind tells requests for a model from calls of a plain service.
type Kind uint8

// The kinds of requests.
const (
	KindChat Kind = iota
	KindCompletion
	KindService
)

// Key is the identity of a request across instances and resends.
type Key struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
}

// String returns the key as logs and dumps show it.
func (k Key) String() string { return k.Workspace + "/" + k.ID }

// Digest is the SHA-256 of a request body or of a configuration.
type Digest [sha256.Size]byte

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest { return sha256.Sum256(b) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, enough for a person to tell
// two digests apart.
func (d Digest) Short() string { return d.String()[:12] }

// MarshalText renders the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return fmt.Errorf("digest %q is not %d hexadecimal bytes", text, len(d))
	}
	copy(d[:], b)
	return nil
}

// Request is one caller's request after the edge has checked it.
type Request struct {
	Key        Key       // Key identifies the request across resends.
	Kind       Kind      // Kind is chat, completion or service.
	Body       []byte    // Body is the caller's body, unchanged.
	BodyDigest Digest    // BodyDigest covers path and body.
	Route      string    // Route is the model name that the caller used, or the service.
	Model      string    // Model is the backend model; empty for a service.
	Adapter    string    // Adapter is the adapter on that model, if any.
	Path       string    // Path is the path at a plain service, with its query.
	Method     string    // Method is the HTTP method at a plain service.
	Stream     bool      // Stream says that the caller wants events.
	WantUsage  bool      // WantUsage says that the caller asked for a usage event.
	Hedge      bool      // Hedge says that a late answer is asked for a second time.
	Repeatable bool      // Repeatable is false when the request must run at most once.
	Priority   Priority  // Priority orders requests under load.
	IssuedAt   time.Time // IssuedAt is the caller's own time of first issue.
	Deadline   time.Time // Deadline is when the caller stops waiting.
	PrefixHash uint64    // PrefixHash is of the prompt's first part, for cache affinity.
	PromptLen  int       // PromptLen estimates the prompt's length in tokens.
	MaxTokens  int       // MaxTokens bounds the answer; 0 leaves it to the engine.
	Resume     int       // Resume is the token offset the caller already holds.
	Resuming   bool      // Resuming says that the caller named its last event.
}
