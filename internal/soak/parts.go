package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// partDelay is the time from the fifth crash under requests with one part of a prompt within
	// which every connected gateway must know the part. After that, maxLatePartArrivals requests
	// with it may reach servers. partCrashes, partDelay and maxLatePartArrivals are the required
	// bounds.
	partDelay           = 3 * time.Second
	partCrashes         = 5
	maxLatePartArrivals = 3
	// soundDelay is the time from the fifth crash after which other requests must be served again,
	// minSoundShare is how often compared with before, and minSoundRequests from how many on.
	soundDelay       = 2 * partDelay
	minSoundShare    = 0.5
	minSoundRequests = 20
	// partPath is the path of the requests with a part that crashes servers and of those beside
	// them, which share a route.
	partPath = "/stream/again/x"
)

// partBreaches returns the parts that were sent to servers more often than allowed after they had
// crashed five servers. Only arrivals after from count.
func partBreaches(r *standin.Record, from time.Time) []string {
	var out []string
	for _, p := range r.CrashingParts() {
		if len(p.Crashes) < partCrashes {
			continue
		}
		known := p.Crashes[partCrashes-1].Add(partDelay)
		late := 0
		for _, a := range p.Arrivals {
			if a.At.After(known) && a.At.After(from) {
				late++
			}
		}
		if late > maxLatePartArrivals {
			out = append(out, fmt.Sprintf("part %s was sent to servers %d times later than %v after its fifth crash; %d servers crashed, %d requests reached servers",
				p.ID, late, partDelay, len(p.Crashes), len(p.Arrivals)))
		}
	}
	return out
}

// WithParts returns the plan with requests whose prompts have a part that crashes servers, through all
// gateways and during the faults, beside others that share their other parts. No roll-outs are
// ordered: replacement servers have the version of the crashed ones.
func (p Plan) WithParts() Plan {
	p.Parts = true
	return p
}

const (
	// partInterval and soundInterval are the pauses between two requests of one caller.
	partInterval  = 60 * time.Millisecond
	soundInterval = 50 * time.Millisecond
)

// crashingParts are the requests of a plan with parts that crash servers, and the sound ones beside them.
type crashingParts struct {
	mu      sync.Mutex  // mu guards refused.
	refused []time.Time // refused is when sound requests were refused as held.
	sound   soundRequests
}

// start sends the requests until ctx ends: two parts that crash servers, at different positions.
func (p *crashingParts) start(ctx context.Context, r *run, load *sync.WaitGroup) {
	r.cluster.Record.AddCrashingPart("bad1", "/", false)
	r.cluster.Record.AddCrashingPart("bad2", "/", true)
	for g, address := range r.cluster.Callers() {
		for name, parts := range map[string][]string{"second": {"a1", "bad1", "c3"}, "third": {"a1", "b2", "bad2"}} {
			caller := partCaller{name: fmt.Sprintf("part-%s-%d", name, g), address: address, path: partPath, parts: parts, every: partInterval}
			load.Go(func() { caller.send(ctx, func(string, time.Time, standin.Reply) {}) })
		}
		caller := partCaller{name: fmt.Sprint("sound-", g), address: address, path: partPath, parts: []string{"a1", "b2", "c3"}, every: soundInterval}
		load.Go(func() {
			caller.send(ctx, func(id string, at time.Time, reply standin.Reply) { p.observe(r.checker, id, at, reply) })
		})
	}
}

// observe records a sound request. While too few servers are left to tell the parts apart it may be
// refused as held.
func (p *crashingParts) observe(k *Checker, id string, at time.Time, r standin.Reply) {
	p.sound.add(at, r)
	if isHeldRefusal(r) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refused = append(p.refused, at)
		return
	}
	k.Observe(Request{ID: id, Path: partPath, Stream: true}, r)
}

// isHeldRefusal reports whether a request was refused as one that crashes servers.
func isHeldRefusal(r standin.Reply) bool {
	return r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, `"`+string(protocol.CodeQuarantined)+`"`)
}

// check waits after the last fault until all gateways are connected again and then for as long as
// sound requests may still be refused, and checks the bounds for the time after that.
func (p *crashingParts) check(r *run) {
	lastFault := time.Now()
	inTouch := lastFault.Add(partDelay)
	time.Sleep(soundDelay + partDelay)
	for _, text := range partBreaches(r.cluster.Record, inTouch) {
		r.checker.breach("%s", text)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.refused {
		if at.After(lastFault.Add(soundDelay)) {
			late++
		}
	}
	counts := p.sound.between(lastFault.Add(soundDelay), time.Now())
	if counts.sent >= minSoundRequests && counts.share() < minSoundShare {
		r.checker.breach("%d of %d sound requests with parts were served later than %v after the last fault, %d were refused as held", counts.served, counts.sent, soundDelay, late)
	}
}

// soundCounts counts the requests of one kind that do not crash servers, and those that were
// served at once.
type soundCounts struct{ sent, served int }

func (c soundCounts) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// soundRequests records the requests that share parts with those that crash servers.
type soundRequests struct {
	mu   sync.Mutex // mu guards rows.
	rows []soundRow
}

// soundRow is the outcome of one request.
type soundRow struct {
	at     time.Time
	served bool
}

func (s *soundRequests) add(at time.Time, r standin.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, soundRow{at: at, served: r.Complete && r.Status == http.StatusOK})
}

// between counts the requests that were sent between two times.
func (s *soundRequests) between(from, to time.Time) (c soundCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows {
		if row.at.Before(from) || !row.at.Before(to) {
			continue
		}
		c.sent++
		if row.served {
			c.served++
		}
	}
	return c
}

// partCaller sends requests whose prompts have the same parts but for the last one, to one gateway.
type partCaller struct {
	name    string
	address string
	path    string
	parts   []string // parts are the shared parts of each prompt.
	every   time.Duration
}

// send sends requests until ctx ends, and passes each with its reply to seen.
func (p partCaller) send(ctx context.Context, seen func(id string, sentAt time.Time, r standin.Reply)) {
	client := standin.NewClient(p.address)
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		id, at := fmt.Sprintf("%s-%d", p.name, n), time.Now()
		last := fmt.Sprintf("%x", at.UnixNano())
		seen(id, at, client.AskWithParts(id, p.path, append(append([]string(nil), p.parts...), last)...))
		time.Sleep(p.every)
	}
}
