package protocol

// ReportedLoad is what a backend server reports of its load beside an answer.
type ReportedLoad struct {
	Known    bool // Known says that Requests were reported.
	Requests int  // Requests are those that run and wait there, of all gateways.
	Pace     Pace
}

// Pace is how long work takes on a server's machine at the moment, as a multiple of the
// usual time: 1 as usual, 2 twice as long. It is 0 where that is not known. It changes
// many times a second.
type Pace float64
