package protocol

import "time"

// PartMsg asks the leader for the gateway's part of what all gateways together may do without a
// leader.
type PartMsg struct {
	Gateway string
	Life    uint64  // differs for each start of the gateway
	Holds   float64 // part that the gateway holds, from 0 to 1
}

// PartReply answers a [PartMsg]. Leads is false if the instance cannot confirm that it is the
// leader; the other fields are then meaningless.
type PartReply struct {
	Leads bool
	Part  float64       // from 0 to 1
	Lasts time.Duration // time from the request until which it may be used
}
