package forward

import (
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/protocol"
)

// endFormerIncarnations ends the requests at former incarnations of servers: they have ended
// there and may have run. A server that terminated behind a network partition closes no
// connection, so its requests would otherwise wait for their deadlines.
func (g *Gateway) endFormerIncarnations(restarts []place.Restart) {
	for _, r := range restarts {
		former := r.Before.String()
		ended := g.pool.CloseInUse(former)
		g.meters.serversRestarted.Inc(1)
		g.log.Warn().Str("server", r.After.String()).Str("before", former).Int("connections", ended).Msg("server started again")
		if runs, brokenAt := g.crashes.takeUnresolved(former); len(runs) > 0 {
			g.meters.serversCrashed.Inc(1)
			g.recordCrash(former, runs, brokenAt, brokenAt)
		}
	}
}

// recordDropped records as crashed the servers that refused connections and were then dropped from the
// list: the path to them is not what they lacked.
func (g *Gateway) recordDropped(list []protocol.Instance) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for server, o := range g.crashes.takeDropped(func(id string) bool { return listed[id] }) {
		g.meters.serversCrashed.Inc(1)
		g.recordCrash(server, o.runs, o.at, o.at)
		g.log.Warn().Str("server", server).Int("runs", len(o.runs)).Msg("server crashed: it refused connections and is not listed any more")
	}
}
