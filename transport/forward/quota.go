package forward

import (
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// askQuota has the leader asked for the part of a quota that a request waits for.
func (g *Gateway) askQuota() {
	if g.quotaNow != nil {
		g.quotaNow()
		return
	}
	g.syncNow()
}

// SetSeparateQuotaCalls implements uplink.QuotaRequester.
func (g *Gateway) SetSeparateQuotaCalls(apart bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apart = apart
}

// ReportQuotaDemand implements uplink.QuotaRequester.
func (g *Gateway) ReportQuotaDemand() (m protocol.QuotaMsg, any bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m = protocol.QuotaMsg{Gateway: g.cfg.Name, Wants: g.allowance.Wants(clock.Now()), Done: g.done}
	g.done = nil // One that is lost is forgotten by the leader in time.
	return m, len(m.Wants)+len(m.Done) > 0
}

// HandleQuotaReply implements uplink.QuotaRequester.
func (g *Gateway) HandleQuotaReply(m *protocol.QuotaMsg, reply *protocol.QuotaReply, asked time.Time) {
	if reply == nil {
		return // What was to be given back is lost, as the question may have come through.
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance.Acknowledge(m.Wants)
	g.grant(reply.Grants, asked)
}

// grant takes parts of quotas, and has the requests that wait for them look again. It needs
// g.mu.
func (g *Gateway) grant(grants []protocol.QuotaGrant, asked time.Time) {
	g.allowance.AddGrants(grants, asked, clock.Now())
	close(g.granted)
	g.granted = make(chan struct{})
}
