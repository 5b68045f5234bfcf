package protocol

import "time"

// RetryMsg asks the leader to lend retries.
type RetryMsg struct {
	Gateway string
	Wants   []RetryRequest
}

// RetryRequest asks for a number of retries at a service.
type RetryRequest struct {
	Service string
	Count   int
}

// RetryReply answers a [RetryMsg]. Leads is false if the instance cannot confirm that it is the
// leader; the other fields are then meaningless.
type RetryReply struct {
	Leads  bool
	Leases []RetryLease
}

// RetryLease is a number of retries that the leader lends.
type RetryLease struct {
	Service string
	Count   int
	Lasts   time.Duration // time from the request until which they may be sent
	Wait    time.Duration // time until the leader may lend more, if Count is less than requested
}
