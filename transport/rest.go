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

// sharedBackoffs records which backend servers sent this instance a Retry-After.
type sharedBackoffs struct {
	log      zerolog.Logger
	mu       sync.Mutex // mu guards backoffs; no other lock is acquired under it.
	backoffs backpressure.Backoffs
}

// record stores the Retry-After of a server that refused a request with status
// 503.
func (b *sharedBackoffs) record(server string, resp *fasthttp.Response) {
	text := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
	if text == "" || resp.StatusCode() != http.StatusServiceUnavailable {
		return
	}
	retryAfter, ok := protocol.ParseRetryAfter(text, string(resp.Header.Peek(fasthttp.HeaderDate)))
	if !ok {
		b.log.Warn().Str("server", server).Str("said", text).Msg("what a server says of itself cannot be read")
		return
	}
	b.log.Info().Str("server", server).Dur("rest", retryAfter).Msg("server asks for rest")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffs.Add(server, retryAfter, clock.Now())
}

// avoid returns the message with the servers in backoff added to those to avoid.
func (b *sharedBackoffs) avoid(m route.ChooseMsg) route.ChooseMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.AvoidServers = slices.Clip(m.AvoidServers)
	b.backoffs.Each(clock.Now(), func(server string, _ time.Duration) { m.AvoidServers = append(m.AvoidServers, server) })
	return m
}

// shortestWait returns the time until the backoff of the first server eligible for
// a message ends; false if none of them is in backoff.
func (b *sharedBackoffs) shortestWait(v *state.View, m route.ChooseMsg) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffs.Each(clock.Now(), func(server string, left time.Duration) {
		if s := v.Find(server); s != nil && route.Eligible(s, m) && (!ok || left < wait) {
			wait, ok = left, true
		}
	})
	return wait, ok
}

// prune drops the expired backoffs and those of servers no longer listed.
func (b *sharedBackoffs) prune(v *state.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffs.Prune(func(server string) bool { return v.Find(server) != nil }, clock.Now())
}
