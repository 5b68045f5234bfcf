package protocol

import "time"

// LimitsMsg reports rate limits announced by servers to the leader, and requests
// permits. A gateway sends the next one only after the answer to the previous one
// arrived or timed out.
type LimitsMsg struct {
	Gateway string // empty if a relay sends the message, which asks only for Change
	Life    uint64 // differs for each start of the gateway
	Term    uint64 // leader's term that Held refers to
	Held    uint64 // version of the leader's limits that the gateway has
	Heard   []ReportedLimit
	Sent    []SentRequests
	Rooms   []RoomRequest

	// Number rises with each message of a start of a gateway. It is 0 in messages of earlier builds,
	// whose Rooms list only some of what the gateway has.
	Number   uint64
	Wants    []PermitRequest
	Wanted   []RoomWant      // requests that wait for room at any server of a service
	Rejected []RoomRejection // rejections since the last answered message

	Using []string // servers with a rate limit that the gateway has sent requests to lately
}

// LimitsVersion identifies a version of the limits known to the leader of a term.
type LimitsVersion struct {
	Term   uint64
	Change uint64 // 0 if the leader knows no limits
}

// SharedLimitsMsg is sent to a control instance while no leader answers. It asks for
// limits that servers announced to other gateways.
type SharedLimitsMsg struct {
	Held  SharedLimitsVersion // version that the gateway has from this control instance
	Heard []ReportedLimit     // limits that servers announced to the gateway itself
}

// SharedLimitsReply answers a [SharedLimitsMsg].
type SharedLimitsReply struct {
	Holds SharedLimitsVersion
	Heard []ReportedLimit // limits reported since the version that the gateway has
}

// SharedLimitsVersion identifies a version of the limits that a control instance
// distributes.
type SharedLimitsVersion struct {
	Incarnation uint64 // differs for each start of the instance
	Change      uint64
}

// ReportedLimit is a rate limit that a server announced in an answer to a gateway.
type ReportedLimit struct {
	Server  string
	Service string // service of the server; empty in messages of earlier builds
	Limit   RateLimit
	Ago     time.Duration // age of the announcement
}

// SentInterval is the period that each count in [SentRequests] covers.
const SentInterval = 250 * time.Millisecond

// SentRequests counts the requests that a gateway sent to a server.
type SentRequests struct {
	Server string
	Slots  []int // counts for successive periods of SentInterval, latest first
}

// PermitRequest asks for permits to send requests to a server with a rate limit.
type PermitRequest struct {
	Server string
	Count  int
	Back   int // earlier permits that expired unused
	Alone  int // requests that were sent without a permit
}

// LimitsReply answers a [LimitsMsg]. Leads is false if the instance cannot confirm that
// it is the leader; the other fields are then meaningless.
type LimitsReply struct {
	Leads  bool
	Term   uint64
	Change uint64 // version of the limits that the gateway has with this answer
	Limits []ServerLimit
	Grants []PermitGrant

	GrantsRooms bool        // false in answers of earlier builds, which have no Rooms
	Rooms       []RoomGrant // for the servers in Rooms of the message, and others with room

	ChoosesRooms bool        // false in answers of earlier builds, which ignore Wanted
	RoomStates   []RoomState // for the services in Rooms and Wanted
	RoomsOpen    bool        // all that earlier leaders granted has expired

	ReportsUses bool        // false in answers of earlier builds, which have no Uses
	Uses        []ServerUse // for the servers in Using

	// ListLate has the same meaning as in [SyncReply]. It is sent here for relays, as a
	// batch has no field for it.
	ListLate bool
}

// ServerLimit is the current rate limit of a server, or states that it has none.
type ServerLimit struct {
	Server  string
	Service string // service of the server; empty in answers of earlier builds
	Limit   RateLimit
	// Presumed says that the server has not been heard yet: it is taken to be brittle, since other
	// servers of its service are.
	Presumed bool
}

// ServerUse is the part of the requests to a server that one gateway sends.
type ServerUse struct {
	Server string
	Part   float64 // 0 to 1; the parts of all gateways add up to 1
}

// PermitGrant gives a gateway a number of permits, each for one request.
type PermitGrant struct {
	Server string
	Count  int
	Lasts  time.Duration // validity, counted from when the permits were requested
	Wait   time.Duration // when further permits become available if Count falls short
}

// RoomWant asks for room at any brittle servers of a service.
type RoomWant struct {
	Service string
	Count   int      // requests that wait; 0 if they do not ask now
	Avoid   []string // servers that none of them may be sent to
}

// RoomRejection tells that a brittle server rejected requests of the gateway.
type RoomRejection struct {
	Server string
	Count  int
	Load   int // requests that the server says it had at the last rejection; 0 if it does not say
}

// RoomState is the state of the room at the brittle servers of a service.
type RoomState struct {
	Service string
	Keep    int           // requests' worth of room that the gateway may have; what it uses may be more
	Retry   time.Duration // time after which the gateway may ask again
}

// BrittleService is a service with brittle servers.
type BrittleService struct {
	Service       string `json:"service"`
	MaxRejections int    `json:"max_rejections"` // the least that one of its servers bears
}

// BrittleServicesMsg replaces the services with brittle servers in the log.
type BrittleServicesMsg struct {
	Services []BrittleService `json:"services"` // sorted by service
}

// ListedServer is what the server list tells of a server that limits may apply to.
type ListedServer struct {
	Server  string
	Service string
	Slots   int  // requests that the server runs at once
	Takes   bool // it takes new requests
}

// RoomRequest asks for room at a brittle server.
type RoomRequest struct {
	Server  string
	Service string // service of the server
	Slots   int    // requests that the server runs at once
	Places  int    // places that the gateway has
	Credits int    // credits that the gateway has
	Running int    // requests of the gateway that the server has
	Wanted  int    // further requests that found no place
}

// RoomGrant is what a gateway may use of a brittle server from now on.
type RoomGrant struct {
	Server  string
	Places  int           // requests that it may have at the server
	Credits int           // requests that it may have sent there and that were not accepted yet, or rejected within a second
	Lasts   time.Duration // validity, counted from when the room was requested
}
