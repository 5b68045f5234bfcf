// Package backpressure keeps what backend servers say of how much they take.
//
// A server in need names a limit: the requests a second that it takes from all gateways
// together. [Limits], one a gateway, holds the limits that are known and says whether a
// request may be sent. Each request to such a server needs a permit. [PermitAllocator], on the
// control instance that leads, gives permits out: no more of them in any window than the
// limit allows, less what gateways had sent before they knew of it. Permits expire soon, so
// that those which are held unused anywhere never add up to much.
//
//	server ──limit──► gateway ──heard, sent, wants──► leader
//	server ◄─requests─ gateway ◄─limits, permits───── leader
//
// A gateway that gets no answer from a leader goes on with a part of the limit, evenly
// spaced, that depends on how many gateways there are. Meanwhile any control instance
// passes on what servers say of their limits ([LimitCache]):
//
//	gateway ──words──► control instance ──► other gateways
//
// All of it is pure: time and chance come in with each call.
package backpressure

import "time"

const (
	// Window is the time over which a server's limit is kept to: what was sent ahead of the
	// limit counts in it as well.
	Window = 4 * time.Second
	// PermitLasts is how long a permit may be used, from when it was asked for: a request
	// waits for it, and the leader may be 80 ms away.
	PermitLasts = 400 * time.Millisecond
	// slowest, in requests a second, is the least that a server is sent: one that names a
	// lower limit, or 0, could not take it back otherwise, as it speaks in answers alone.
	slowest = 0.25
)
