package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Priority orders requests when capacity is short; the highest runs first.
type Priority int8

// The priorities that callers and routes can specify.
const (
	PriorityLow    Priority = -1
	PriorityNormal Priority = 0
	PriorityHigh   Priority = 1
)

// ParsePriority parses the name of a priority. The empty name is normal.
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

// Kind distinguishes requests for a model from calls of a plain service.
type Kind uint8

// The request kinds.
const (
	KindChat Kind = iota
	KindCompletion
	KindService
)

// Key identifies a request across instances and resends.
type Key struct {
	Workspace string `json:"workspace"`
	ID        string `json:"id"`
}

// String returns the form used in logs and dumps.
func (k Key) String() string { return k.Workspace + "/" + k.ID }

// Digest is the SHA-256 digest of a request body or a configuration.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of b.
func DigestOf(b []byte) Digest { return sha256.Sum256(b) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, which is enough to tell digests apart
// by eye.
func (d Digest) Short() string { return d.String()[:12] }

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest from hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return fmt.Errorf("digest %q is not %d hexadecimal bytes", text, len(d))
	}
	copy(d[:], b)
	return nil
}

// Request is a caller's request after validation at the edge.
type Request struct {
	Key        Key       // identifies the request across resends
	Kind       Kind      // chat, completion or service
	Body       []byte    // caller's body, unmodified
	BodyDigest Digest    // covers path and body
	Route      string    // model name used by the caller, or the service
	Model      string    // backend model; empty for a service
	Adapter    string    // adapter on the model, if any
	Path       string    // path at a plain service, including the query
	Method     string    // HTTP method at a plain service
	Stream     bool      // the caller wants events
	WantUsage  bool      // the caller asked for a usage event
	Hedge      bool      // send a second request if the answer is late
	Repeatable bool      // false if the request must be executed at most once
	Priority   Priority  // orders requests under load
	IssuedAt   time.Time // caller's time of first issue
	Deadline   time.Time // when the caller stops waiting
	PrefixHash uint64    // hash of the first part of the prompt, for cache affinity
	PromptLen  int       // estimated prompt length in tokens
	MaxTokens  int       // maximum answer length; 0 leaves it to the engine
	Resume     int       // token offset that the caller already has
	Resuming   bool      // the caller sent its last event ID
}
