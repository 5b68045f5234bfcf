// Package protocol defines the typed messages that cross a process boundary or a layer
// boundary. It imports no other package of this module, so that every layer can use its
// types.
//
// The model has four parts:
//
//   - A [Request] is what a caller asked for. It is identified by the workspace
//     and the caller's idempotency key; a digest of the body distinguishes a
//     resend from a different request under the same key.
//   - A [Verdict] tells whether a request may have been executed. Every
//     [Refusal] carries one, because without it the caller cannot decide whether
//     a retry is safe.
//   - A [Config] is the configuration that operators declare. It is always
//     replaced as a whole, under a number.
//   - The wire types for inference engines, plain services, the platform and the
//     other instances.
package protocol

// PeerVersion is the version of the protocol between instances. Instances with
// different versions reject each other during the handshake, because a message that is
// only partly understood is worse than no message.
const PeerVersion = 2

// Header names that callers and instances exchange.
const (
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderIssuedAt carries the time (RFC 3339) at which the caller first issued the
	// request. Resends repeat it unchanged.
	HeaderIssuedAt = "Weldstream-Issued-At"
	// HeaderRepeatable is "false" for a request that must be executed at most once.
	HeaderRepeatable = "Weldstream-Repeatable"
	// HeaderPriority is the requested priority: low, normal or high.
	HeaderPriority = "Weldstream-Priority"
	// HeaderDeadline is how long the caller waits for the complete answer, as a Go
	// duration such as "2.5s".
	HeaderDeadline = "Weldstream-Deadline"
	// HeaderVerdict is set on every answer: not-run, may-have-run or ran.
	HeaderVerdict = "Weldstream-Verdict"
	// HeaderLeaving is "true" on a refusal by a backend server that no longer accepts
	// new requests.
	HeaderLeaving = "Weldstream-Leaving"
	// HeaderRequest carries the request ID that appears in logs and state dumps.
	HeaderRequest = "Weldstream-Request"
	// HeaderLastEvent carries the ID of the last event that a resuming caller received.
	HeaderLastEvent = "Last-Event-ID"
)
