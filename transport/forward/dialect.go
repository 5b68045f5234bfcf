package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// Dialect is what differs between the protocols that callers and backend
// servers speak. It translates and decides nothing.
type Dialect interface {
	// Call reads what a request says of itself.
	Call(req *fasthttp.Request) protocol.Call
	// Attempt makes out the request of one attempt at in; method, path and body
	// stay as they are.
	Attempt(out, in *fasthttp.Request, a Attempt)
	// Reply reads what a server's answer says beside its body.
	Reply(h *fasthttp.ResponseHeader) Reply
	// Answer makes out the head of a server's answer as the caller gets it.
	Answer(out, in *fasthttp.Response)
	// Refuse makes out a refusal of the request with an identity.
	Refuse(out *fasthttp.Response, id string, r *protocol.Refusal)
}

// Attempt is one sending of a request to a server.
type Attempt struct {
	Server       string        // Server is the one that alone may run it.
	Workspace    string        // Workspace is the caller's; empty without one.
	Remaining    time.Duration // Remaining is how long the answer is waited for.
	Priority     int           // Priority is the rank, 0 first; -1 says none.
	CopyFrom     string        // CopyFrom is the address of a server that holds a part of the prompt; empty for none.
	ContinueFrom string        // GoOn names the copy of a run that the server goes on from; empty for none.
	Weights      string        // Weights is the only version of a model's weights that may go on with the answer; empty for any.
	LastEvent    string        // LastEvent is the event behind which a stream goes on.
}

// Reply is what an answer says beside its body.
type Reply struct {
	ID          string // ID names the request that the answer belongs to.
	NotRun      bool   // NotRun says that the server proved not to have run it.
	Foreign     bool   // Foreign says that another server has the address.
	Load        protocol.ReportedLoad
	IdleTimeout time.Duration // Keeps is how long the connection may rest; 0 where it is not said.
	Close       bool          // Close says that the server ends the connection.
	Weights     string        // Weights is the version of the model's weights that makes the answer; empty where it is not said.
	Encoded     bool          // Encoded says that the body is not what the server made.
	Feedback    protocol.ServerFeedback
}
