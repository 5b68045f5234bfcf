package forward

import (
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// requestQuota asks the leader for the quota that a request waits for.
func (g *Gateway) requestQuota() {
	if g.triggerQuota != nil {
		g.triggerQuota()
		return
	}
	g.triggerSync()
}

// SetSeparateQuotaCalls implements uplink.QuotaRequester.
func (g *Gateway) SetSeparateQuotaCalls(apart bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.separateQuota = apart
}

// ReportQuotaDemand implements uplink.QuotaRequester.
func (g *Gateway) ReportQuotaDemand() (m protocol.QuotaMsg, any bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m = protocol.QuotaMsg{Gateway: g.cfg.Name, Wants: g.allowance.Wants(clock.Now()), Done: g.finishedPlacements}
	g.finishedPlacements = nil // If the message is lost, the leader forgets the placements after a timeout.
	return m, len(m.Wants)+len(m.Done) > 0
}

// HandleQuotaReply implements uplink.QuotaRequester.
func (g *Gateway) HandleQuotaReply(m *protocol.QuotaMsg, reply *protocol.QuotaReply, asked time.Time) {
	if reply == nil {
		return // Units that were to be returned are lost, as the leader may have received the request.
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance.Acknowledge(m.Wants)
	g.applyGrants(reply.Grants, asked)
}

// applyGrants adds granted quota and wakes the requests that wait for it. The caller must
// hold g.mu.
func (g *Gateway) applyGrants(grants []protocol.QuotaGrant, asked time.Time) {
	g.allowance.AddGrants(grants, asked, clock.Now())
	close(g.grantsReceived)
	g.grantsReceived = make(chan struct{})
}
