package transport

import (
	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/limit"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// enterPool asks for a slot of the request's pool. Plain services have none.
func (x *exchange) enterPool(taken bool) <-chan limit.Cmd {
	x.leavePool = func() {}
	if x.request.Kind == protocol.KindService {
		return nil
	}
	share := 1
	if ix := x.g.tables.Index(); ix != nil {
		share = ix.Share(x.request.Key.Workspace)
	}
	decision, leave := x.g.limits.Enter(x.request.Model, limit.ArriveMsg{
		Workspace: x.request.Key.Workspace,
		Share:     share,
		Priority:  x.request.Priority,
		StartBy:   clock.Now().Add(x.g.settings.Limits.QueueWait),
		Deadline:  x.request.Deadline,
		Admitted:  taken,
	})
	x.leavePool = leave
	return decision
}

// awaitSlot waits until the request may begin. It returns false when the
// request has ended instead, or was handed over.
func (x *exchange) awaitSlot() bool {
	decision := x.enterPool(x.request.Resuming)
	if decision == nil {
		return true
	}
	for {
		select {
		case cmd := <-decision:
			r, refused := cmd.(limit.RefuseCmd)
			if refused {
				x.apply(attempt.StopMsg{Refusal: x.noSlot(r)})
			}
			x.g.metrics.queued.UpdateSince(x.started)
			return !refused
		case m := <-x.urgent:
			if _, ok := m.(attempt.LeavingMsg); ok {
				continue // No server has it yet.
			}
			x.apply(m)
			return false
		}
	}
}

// noSlot is the refusal of a request that no slot is free for in time.
func (x *exchange) noSlot(cmd limit.RefuseCmd) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusTooManyRequests, protocol.CodeOverloaded, "the servers of %s have no room for workspace %s in time", x.request.Model, x.request.Key.Workspace)
	return r.WithRetryAfter(cmd.RetryAfter)
}
