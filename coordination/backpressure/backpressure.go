// Package backpressure enforces the request limits that backend servers ask for.
//
// An overloaded server names a limit: the requests per second that it accepts from all
// gateways together. Each gateway has one [Limits], which holds the known limits and decides
// whether a request may be sent. Each request to a limited server needs a permit. Permits
// are issued by the [PermitAllocator] on the control instance that is the leader: in any
// window no more than the limit allows, less the requests that gateways sent before they
// knew the limit. Permits expire quickly, so that unused ones do not accumulate.
//
//	server ──limit───► gateway ──limits, sent requests, permit requests──► leader
//	server ◄─requests─ gateway ◄─limits, permits────────────────────────── leader
//
// A gateway that gets no answer from a leader sends a part of the limit, at even intervals.
// The part depends on the one that the leader allotted the gateway, and on how much of the
// server's requests came from this one under the last leader. During that time, any control instance stores the
// limits that gateways received from servers, and serves them to other gateways
// ([LimitCache]):
//
//	gateway ──limits──► control instance ──► other gateways
//
// A brittle server crashes under requests that it has to reject. Gateways need a [Ticket] for each
// request to one, and the leader grants the room for them ([RoomLedger]): places, which add up to the
// server's slots, and credits, which add up to fewer than the rejections that it bears. A gateway
// without room asks for some at any server of the service, and refuses requests that wait for too long. A
// server that has not answered yet is presumed to be as brittle as the others of its service.
//
// The package is pure: the time is passed in with each call, and the source of randomness
// is an option.
package backpressure

import "time"

const (
	// Window is the time over which a server's limit is enforced. Requests that were sent
	// before the limit was known count in it as well.
	Window = 4 * time.Second
	// PermitLifetime is how long a permit is valid, counted from the request for it. The
	// request to the server waits for it, and the leader may be 80 ms away.
	PermitLifetime = 400 * time.Millisecond
	// minRate, in requests per second, is the least that a server is sent, even if it names a
	// lower limit or 0: servers tell their limits in responses only, so one that got no
	// requests could never raise its limit again.
	minRate = 0.25
)
