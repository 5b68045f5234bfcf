package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// maxOrigins bounds the streams whose origins a gateway holds, at some 200 bytes each.
	maxOrigins = 16 << 10
	// streamLifetimeFactor is the longest time for which a stream is resumed, relative to the time
	// for which its route holds one request.
	streamLifetimeFactor = 2
)

// originState holds what the gateway knows of the versions that began streams.
type originState struct {
	mu      sync.Mutex // mu guards table and history; no other lock is taken while it is held.
	table   *origin.Table
	history *origin.History

	toPeers originQueue // toPeers holds origins for other gateways.
	toStore originQueue // toStore holds origins for the origin store.
}

func (s *originState) init(now time.Time) {
	s.table, s.history = origin.NewTable(maxOrigins), origin.NewHistory(now)
}

// Origins returns the number of streams whose origins the gateway holds.
func (g *Gateway) Origins() int {
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// OriginKeepers returns the names of the gateways that keep the origins of streams, sorted.
func (g *Gateway) OriginKeepers() []string {
	var names []string
	for _, k := range g.keepers() {
		names = append(names, k.Name)
	}
	slices.Sort(names)
	return names
}

// recordVersions records the list of servers. Once a service has another version it gives others the
// origins of running streams again: those that took them may have ended since.
func (g *Gateway) recordVersions(list []protocol.Instance) {
	s, now := &g.origins, clock.Now()
	s.mu.Lock()
	changed := s.history.List(list, now)
	s.mu.Unlock()
	if changed {
		g.shareOrigins("a service has another version")
	}
}

// recordRoutes does the same for the services of the routes.
func (g *Gateway) recordRoutes(routes []protocol.PathRoute) {
	s, now := &g.origins, clock.Now()
	s.mu.Lock()
	changed := s.history.Routes(routes, now)
	s.mu.Unlock()
	if changed {
		g.shareOrigins("a route leads to another service")
	}
}

// confirmVersions records that the list of servers was the newest at a time.
func (g *Gateway) confirmVersions(at time.Time) {
	s := &g.origins
	s.mu.Lock()
	restarted := s.history.Confirm(at)
	s.mu.Unlock()
	if restarted {
		g.shareOrigins("the list of servers was not confirmed for too long")
	}
}

// shareOrigins gives others the origins of all streams that began here.
func (g *Gateway) shareOrigins(reason string) {
	s := &g.origins
	s.mu.Lock()
	own := s.table.Own(clock.Now())
	s.mu.Unlock()
	if len(own) > 0 {
		g.log.Info().Str("reason", reason).Int("streams", len(own)).Msg("sharing the versions of streams")
		g.giveOrigins(own)
	}
}

// streamLifetime is the longest time for which a stream of the route is resumed.
func (x *exchange) streamLifetime() time.Duration { return streamLifetimeFactor * x.route.Timeout }

// streamKey identifies the stream of the request by the one that began it.
func (x *exchange) streamKey() protocol.StreamKey {
	id := x.call.ID
	if x.call.LastEvent != "" && x.call.Resumes != "" {
		id = x.call.Resumes
	}
	return protocol.NewStreamKey(x.workspaceName(), x.call.Host, id)
}

// recordOrigin records, at the first event, which version the stream goes on with, and gives others the
// origin: this gateway may end without a word, and what others have seen of the service's versions until
// then need not hold when the caller comes back. The event waits for them only beside another version.
func (x *exchange) recordOrigin(server *place.Server) {
	if x.originRecorded {
		return
	}
	x.originRecorded = true
	if x.origin == nil {
		x.origin = &protocol.StreamOrigin{Key: x.streamKey(), Service: x.service, Version: server.Version, Lifetime: x.streamLifetime()}
	}
	if !x.route.Resumable {
		return
	}
	s, now := &x.g.origins, clock.Now()
	s.mu.Lock()
	s.table.Add(*x.origin, true, now)
	single := s.history.Single(x.route.Name, now)
	s.mu.Unlock()
	sent := x.g.giveOrigins([]protocol.StreamOrigin{*x.origin})
	if single.For < x.streamLifetime() || single.Version != x.origin.Version {
		x.awaitKept(sent)
	}
}

// maxOriginWait bounds how long a first event waits until others keep the origin of its stream. The
// caller of a stream that breaks later may come back to any gateway at once.
const maxOriginWait = 25 * time.Millisecond

func (x *exchange) awaitKept(sent []<-chan struct{}) {
	end := time.NewTimer(maxOriginWait)
	defer end.Stop()
	for _, s := range sent {
		select {
		case <-s:
		case <-end.C:
			x.g.meters.originsLate.Inc(1)
			return
		case <-x.ctx.Done():
			return
		}
	}
}

// requiredVersion returns the only version that may take the request; nil for any.
func (x *exchange) requiredVersion() *string {
	if x.origin == nil {
		return nil
	}
	return &x.origin.Version
}

// refuseVanishedVersion refuses to go on with a stream whose version has no server left but those to
// avoid. It returns nil if there is one, or if any version may take the request.
func (x *exchange) refuseVanishedVersion(avoid []string) *protocol.Refusal {
	version := x.requiredVersion()
	if version == nil || x.continuation != nil || place.Serves(x.g.view.Load(), place.ChooseMsg{Service: x.service, Version: version, Avoid: avoid, Now: clock.Now()}) {
		return nil
	}
	x.g.meters.countStreamRefused("version gone")
	x.log.Info().Str("service", x.service).Str("version", *version).Strs("avoided", avoid).Msg("no server of a stream's version is left")
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeVersionGone, "no server of the version %q that began the stream is left", *version)
}
