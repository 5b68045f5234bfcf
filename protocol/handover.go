package protocol

// HandOver is a request in progress that a leaving instance transfers to another
// instance. The backend server has ended the request and keeps its KV cache until that
// is fetched.
type HandOver struct {
	Request Request
	ID      string   // request ID at the leaving instance, also used towards the server
	Server  string   // backend server that ran the request; empty if none did
	Attempt int      // number of the attempt that ran there
	Text    string   // answer so far
	Ends    []uint32 // length of Text after each token
	Claimed bool     // the request must be executed at most once
	Owner   Owner    // owner of the claim
}

// FetchHandOverMsg asks for a request that was handed over.
type FetchHandOverMsg struct {
	Key  Key
	Body Digest
}

// FetchHandOverReplyMsg carries the request if it was found.
type FetchHandOverReplyMsg struct {
	Found    bool
	HandOver HandOver
}

// TransferClaimMsg transfers a claim to another owner.
type TransferClaimMsg struct {
	Key  Key   `json:"key"`
	From Owner `json:"from"`
	To   Owner `json:"to"`
}
