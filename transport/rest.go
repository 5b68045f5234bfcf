package transport

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/route"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// restBox keeps which backend servers asked this instance for rest.
type restBox struct {
	log   zerolog.Logger
	mu    sync.Mutex // mu guards rests; no other lock is taken under it.
	rests backpressure.Backoffs
}

// heard notes the time that a server tells as it turns a request away.
func (b *restBox) heard(server string, resp *fasthttp.Response) {
	text := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
	if text == "" || resp.StatusCode() != http.StatusServiceUnavailable {
		return
	}
	rest, ok := protocol.ParseRetryAfter(text, string(resp.Header.Peek(fasthttp.HeaderDate)))
	if !ok {
		b.log.Warn().Str("server", server).Str("said", text).Msg("what a server says of itself cannot be read")
		return
	}
	b.log.Info().Str("server", server).Dur("rest", rest).Msg("server asks for rest")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rests.Add(server, rest, clock.Now())
}

// avoid returns a message that does not have servers chosen which rest.
func (b *restBox) avoid(m route.ChooseMsg) route.ChooseMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.AvoidServers = slices.Clip(m.AvoidServers)
	b.rests.Each(clock.Now(), func(server string, _ time.Duration) { m.AvoidServers = append(m.AvoidServers, server) })
	return m
}

// free returns when the first of the servers that a message allows has rested; false where
// none of them rests.
func (b *restBox) free(v *state.View, m route.ChooseMsg) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rests.Each(clock.Now(), func(server string, left time.Duration) {
		if s := v.Find(server); s != nil && route.Eligible(s, m) && (!ok || left < wait) {
			wait, ok = left, true
		}
	})
	return wait, ok
}

// forget drops the rests that are over, and those of servers that are not listed.
func (b *restBox) forget(v *state.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rests.Prune(func(server string) bool { return v.Find(server) != nil }, clock.Now())
}
