package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// Dialect translates between the protocols of callers and backend servers. It makes no
// decisions.
type Dialect interface {
	// Call reads the request's properties from its headers.
	Call(req *fasthttp.Request) protocol.Call
	// Attempt builds the request for one attempt from the caller's request in. Method, path
	// and body stay unchanged.
	Attempt(out, in *fasthttp.Request, a Attempt)
	// Pass builds the request that is passed on to another gateway from the caller's request in,
	// with the time that is left for it.
	Pass(out, in *fasthttp.Request, remaining time.Duration)
	// Reply reads the metadata of a server's answer.
	Reply(h *fasthttp.ResponseHeader) Reply
	// Answer builds the head of the caller's answer from the server's answer in.
	Answer(out, in *fasthttp.Response)
	// Refuse builds the answer that refuses the request with the given ID.
	Refuse(out *fasthttp.Response, id string, r *protocol.Refusal)
}

// Attempt describes one attempt to send a request to a server.
type Attempt struct {
	Server       string        // Server is the only server that may run the request.
	Workspace    string        // Workspace is the caller's workspace; empty if it has none.
	Remaining    time.Duration // Remaining is the time left to answer.
	Priority     int           // Priority is the priority, 0 being the highest; -1 if unset.
	CopyFrom     string        // CopyFrom is the address of a server that holds a part of the prompt; empty for none.
	ContinueFrom string        // ContinueFrom names the copy of a run from which the server continues; empty for none.
	Weights      string        // Weights is the only version of the model's weights that may continue the answer; empty for any.
	LastEvent    string        // LastEvent is the ID of the event after which the stream continues.
}

// Reply is the metadata of a server's answer.
type Reply struct {
	ID          string // ID identifies the request that the answer belongs to.
	NotRun      bool   // NotRun reports that the server proved that it did not run the request.
	Foreign     bool   // Foreign reports that the address now belongs to another server.
	Load        protocol.ReportedLoad
	IdleTimeout time.Duration // IdleTimeout is how long the server keeps the connection idle; 0 if unknown.
	Close       bool          // Close reports that the server closes the connection.
	Weights     string        // Weights is the version of the model's weights that produces the answer; empty if unknown.
	Encoded     bool          // Encoded reports that the body was transformed after the server produced it.
	Feedback    protocol.ServerFeedback
}
