package forward

import (
	"errors"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/transport/backend"
)

// recordAttempt counts and logs an attempt that is about to be sent.
func (x *exchange) recordAttempt(server *place.Server, conn *backend.Conn) {
	distance := x.g.distance(server)
	conn.SetMeter(&x.g.meters.distances.bytes[distance])
	x.g.meters.distances.attempts[distance].Inc(1)
	x.log.Info().Str("server", server.ID).Str("version", server.Version).Str("last_event", x.events.last).Str("resumes", x.call.Resumes).Str("domain", server.Domain).Str("region", x.g.cfg.Topology.Region(server.Domain)).
		Stringer("distance", distance).Int("outstanding", server.Stats.Outstanding()).Bool("placed", x.placement.Server != "").
		Uint8("lane", uint8(x.lane)).Int("sent", x.state.Sent).Bool("kept", conn.Used()).
		Int64("left", x.timeLeft().Milliseconds()).Dur("waited", clock.Since(x.start)).Str("go_on", x.continuationName()).Msg("attempt")
}

// distrust records a failure that counts against a server.
func (x *exchange) distrust(s *place.Server, hard bool) {
	if s.Stats.RequestFailed(hard, clock.Now()) {
		x.log.Warn().Str("server", s.ID).Bool("hard", hard).Int("outstanding", s.Stats.Outstanding()).Msg("server distrusted")
	}
}

// trust records a successful answer, which counts in a server's favor.
func (x *exchange) trust(s *place.Server) {
	if s.Stats.RequestSucceeded() {
		x.log.Info().Str("server", s.ID).Msg("server trusted again")
	}
}

// recordUnanswered records that a new connection brought no answer. A kept one may have been
// closed by the server in the moment in which it was used, and a server that sent a malformed answer
// was reached.
func (t *serverAttempt) recordUnanswered(err error) {
	if errors.Is(err, backend.ErrMalformed) {
		t.x.g.recordReached(t.server)
		return
	}
	if !t.conn.Used() && !t.x.headWritten && t.reply.ID == "" && t.x.ctx.Err() == nil {
		t.x.g.recordLost(t.server, err)
	}
}

// recordRejection counts and logs a request that the server turned away.
func (t *serverAttempt) recordRejection() {
	load, feedback := t.reply.Load, &t.reply.Feedback
	listedFor, _ := t.x.g.contacts.get(t.server.ID, clock.Now())
	t.x.g.meters.countRejection(t.x.service)
	t.x.log.Info().Str("server", t.server.ID).Int("load", load.Requests).Int("slots", t.server.SlotCount()).Int("outstanding", t.server.Stats.Outstanding()).
		Bool("brittle", feedback.Limit.Brittle).Int("max_rejections", feedback.Limit.MaxRejections).
		Dur("listed", listedFor).Bool("heard", t.heardBefore).Bool("ticket", t.x.ticket != nil).Msg("server turned a request away")
}
