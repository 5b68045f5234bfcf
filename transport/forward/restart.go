package forward

import "github.com/weldstream/weldstream/coordination/place"

// endFormer ends what runs at former starts of servers: it has ended there, and may have
// run. A server that ended behind a cut closes no connection; its requests would wait for
// their deadlines.
func (g *Gateway) endFormer(again []place.Restart) {
	for _, r := range again {
		former := r.Before.String()
		ended := g.pool.End(former)
		g.meters.restarted.Inc(1)
		g.log.Warn().Str("server", r.After.String()).Str("before", former).Int("connections", ended).Msg("server started again")
		if runs := g.crashes.unsolved(former); len(runs) > 0 {
			g.meters.serversEnded.Inc(1)
			g.sawEnd(former, runs)
		}
	}
}
