package protocol

// ReportedLoad is the load that a backend server reports along with an answer.
type ReportedLoad struct {
	Known    bool // Requests was reported
	Requests int  // running and queued requests at the server, from all gateways
	Pace     Slowdown
}

// Slowdown is how long work currently takes on a server's machine, as a multiple of the
// usual time: 1 is the usual speed, 2 means twice as long, 0 is unknown. It changes
// many times a second.
type Slowdown float64
