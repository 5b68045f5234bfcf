// Package protocol holds the typed messages that cross a process boundary or
// a layer boundary, and nothing else. It imports no other package of this
// module, so every layer can speak in its terms.
//
// The model has four parts:
//
//   - A [Request] is what a caller asked for. Its identity is the workspace
//     plus the caller's idempotency key; a digest of the body tells a resend
//     from a different request under the same key.
//   - A [Verdict] says whether a request may have run. Each [Refusal] carries
//     one, because a caller that does not know it cannot resend safely.
//   - A [Config] is what operators declare, applied as a whole under a number.
//   - The wire types of the neighbors: engines, plain services, the platform
//     and the other instances.
package protocol

// PeerVersion is the version of the protocol between instances. Two instances
// that differ in it refuse each other at the handshake, since a half
// understood message is worse than none.
const PeerVersion = 2

// Header names that callers and instances exchange.
const (
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderIssuedAt carries the time, RFC 3339, at which the caller first
	// issued the request. Resends repeat it unchanged.
	HeaderIssuedAt = "Weldstream-Issued-At"
	// HeaderRepeatable is "false" for a request that must run at most once.
	HeaderRepeatable = "Weldstream-Repeatable"
	// HeaderPriority names the wanted priority: low, normal or high.
	HeaderPriority = "Weldstream-Priority"
	// HeaderDeadline is the time a caller waits for the whole answer, as a Go
	// duration such as "2.5s".
	HeaderDeadline = "Weldstream-Deadline"
	// HeaderVerdict is set on every answer: not-run, may-have-run or ran.
	HeaderVerdict = "Weldstream-Verdict"
	// HeaderLeaving is "true" on a backend server's refusal when the server takes
	// no new work any more.
	HeaderLeaving = "Weldstream-Leaving"
	// HeaderRequest is the request identity that logs and dumps use.
	HeaderRequest = "Weldstream-Request"
	// HeaderLastEvent carries the last event that a resuming caller holds.
	HeaderLastEvent = "Last-Event-ID"
)
