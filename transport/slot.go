package transport

import (
	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/limit"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// requestSlot requests a slot of the request's pool. Plain services have no pool.
func (x *exchange) requestSlot(taken bool) <-chan limit.Cmd {
	x.releaseSlot = func() {}
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
	x.releaseSlot = leave
	return decision
}

// awaitSlot waits until the request may begin. It returns false if the request has
// ended instead or was handed over.
func (x *exchange) awaitSlot() bool {
	decision := x.requestSlot(x.request.Resuming)
	if decision == nil {
		return true
	}
	for {
		select {
		case cmd := <-decision:
			r, refused := cmd.(limit.RefuseCmd)
			if refused {
				x.apply(attempt.StopMsg{Refusal: x.noSlotRefusal(r)})
			}
			x.g.metrics.queued.UpdateSince(x.started)
			return !refused
		case m := <-x.urgent:
			if _, ok := m.(attempt.LeavingMsg); ok {
				continue // The request is not on any server yet.
			}
			x.apply(m)
			return false
		}
	}
}

// noSlotRefusal is the refusal of a request that gets no slot in time.
func (x *exchange) noSlotRefusal(cmd limit.RefuseCmd) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusTooManyRequests, protocol.CodeOverloaded, "the servers of %s have no room for workspace %s in time", x.request.Model, x.request.Key.Workspace)
	return r.WithRetryAfter(cmd.RetryAfter)
}
