package protocol

// HandOver is a request in progress that a leaving instance gives to another.
// Its backend server has ended it and keeps its KV cache to be fetched.
type HandOver struct {
	Request Request
	ID      string   // ID is the leaving instance's name of the request, also towards the server.
	Server  string   // Server is the backend server that ran it; empty if none did.
	Attempt int      // Attempt is the number of the attempt that ran there.
	Text    string   // Text is the answer so far.
	Ends    []uint32 // Ends are the lengths of Text after each token.
	Claimed bool     // Claimed says that the request must run at most once.
	Owner   Owner    // Owner holds the claim.
}

// FetchHandOverMsg asks for a request that was handed over.
type FetchHandOverMsg struct {
	Key  Key
	Body Digest
}

// FetchHandOverReplyMsg carries it, if it is there.
type FetchHandOverReplyMsg struct {
	Found    bool
	HandOver HandOver
}

// TransferMsg gives a claim to another owner.
type TransferMsg struct {
	Key  Key   `json:"key"`
	From Owner `json:"from"`
	To   Owner `json:"to"`
}
