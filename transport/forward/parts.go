package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// ReportPart implements uplink.PartHolder.
func (g *Gateway) ReportPart() protocol.PartMsg {
	g.mu.Lock()
	defer g.mu.Unlock()
	return protocol.PartMsg{Gateway: g.cfg.Name, Holds: g.part.Renewable(clock.Now())}
}

// HandlePartReply implements uplink.PartHolder.
func (g *Gateway) HandlePartReply(reply *protocol.PartReply, asked time.Time) {
	p := allot.NewPart(reply.Part, asked.Add(reply.Lasts))
	now := clock.Now()
	g.mu.Lock()
	before := g.part.Size(now)
	g.part = p
	g.allowance.SetPart(p)
	g.mu.Unlock()
	g.feedback.setPart(p)
	if size := p.Size(now); size != before {
		g.log.Info().Float64("before", before).Float64("part", size).Msg("part for times without a leader changed")
	}
}

// setPart sets the gateway's part of the servers' limits without a leader.
func (w *feedbackState) setPart(p allot.Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.SetPart(p)
}
