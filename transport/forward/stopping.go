package forward

import (
	"context"

	"github.com/weldstream/weldstream/protocol"
)

// Close makes the gateway refuse all further requests as not run.
func (g *Gateway) Close() { g.closed.Store(true) }

// EndRequests ends the requests in progress, whose connections the end of the process would cut off
// without an answer: those that no server may have run are refused as not run, for others and for what a
// server has not answered yet nothing is promised. Streams that have begun are cut.
func (g *Gateway) EndRequests() { g.endRequests() }

// requestsEnded reports whether EndRequests was called.
func (g *Gateway) requestsEnded() bool { return g.untilEnd.Err() != nil }

// endWithGateway returns a context that ends with ctx and with EndRequests.
func (g *Gateway) endWithGateway(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.untilEnd, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// refuseAtEnd returns the refusal of a request that EndRequests ended.
func (x *exchange) refuseAtEnd(r *protocol.Refusal) *protocol.Refusal {
	if r.Verdict == protocol.NotRun && !x.state.MayHaveRun {
		return leavingRefusal()
	}
	return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeLeaving, "the gateway stopped before the answer was complete").WithVerdict(protocol.MayHaveRun)
}

func leavingRefusal() *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeLeaving, "the gateway is stopping").WithRetryAfter(shutdownRetryAfter)
}
