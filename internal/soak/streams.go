package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// streamsSeed is the second seed of the generators of plans with streams (the bytes of
	// "streams").
	streamsSeed = 0x73747265616d73
	// secondVersion is the version of every second server.
	secondVersion = "v2"
	// markedPause is the pause between two events: a stream then lasts 0.3 s, so that faults hit it.
	markedPause = 15 * time.Millisecond
	// maxResumptions bounds how often a caller goes on with one stream.
	maxResumptions = 4
	// maxEndGap is the longest time between the ends of two servers.
	maxEndGap = 2500 * time.Millisecond
	// streamCallers is the number of callers that resume their streams, at each gateway.
	streamCallers = 2
)

// WithStreams returns the plan with servers of two versions, of which half send streams without a
// length, break some inside an event, and end from time to time. Callers go on with their streams,
// each time at another gateway. No roll-outs are ordered.
func (p Plan) WithStreams() Plan {
	p.Streams = true
	return p
}

// StreamCounts counts the streams of callers that resume them.
type StreamCounts struct {
	Begun    int
	Whole    int
	Resumed  int // Resumed counts the requests that went on with a stream.
	WentOn   int // WentOn counts those that got further events, or the end.
	Unframed int // Unframed counts the servers that send streams without a length.
}

// markedStreams are the callers and servers of a plan with streams.
type markedStreams struct {
	cluster *Cluster
	checker *Checker
	running sync.WaitGroup

	mu     sync.Mutex // mu guards counts.
	counts StreamCounts
}

// prepareStreams gives every second server another version, and every second of each version streams
// without a length, some of which break.
func (c *Cluster) prepareStreams(p Plan) {
	if !p.Streams {
		return
	}
	for i, b := range c.Backends {
		if i%2 == 1 {
			b.Version = secondVersion
		}
		b.Pause = markedPause
		b.SetUnframed(i%4 < 2)
		b.SetFaults(standin.Faults{Break: 7})
	}
}

// start starts the callers and the ends of servers, which go on until ctx ends.
func (m *markedStreams) start(ctx context.Context, seed uint64) {
	for g := range m.cluster.Size.Gateways {
		for i := range streamCallers {
			rnd := rand.New(rand.NewPCG(seed, streamsSeed+uint64(g*streamCallers+i)))
			m.running.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					m.ask(fmt.Sprintf("m%d-%d-%d", g, i, n), rnd)
					time.Sleep(requestPause)
				}
			})
		}
	}
	m.running.Go(func() { m.endServers(ctx, rand.New(rand.NewPCG(seed, streamsSeed))) })
}

// ask sends one request for a stream and resumes it until it is whole, and checks what arrived. The
// caller's own connection breaks as well.
func (m *markedStreams) ask(id string, rnd *rand.Rand) {
	callers := m.cluster.Callers()
	a := standin.StreamRequest{ID: id, Began: id, Most: rnd.IntN(standin.Events)}
	events, whole := wholeEvents(standin.AskForStream(callers[rnd.IntN(len(callers))], a))
	resumed, wentOn := 0, 0
	for try := 0; !whole && len(events) > 0 && try < maxResumptions; try++ {
		a.ID, a.Last, a.Most = fmt.Sprintf("%s-%d", id, try), len(events), rnd.IntN(2)*rnd.IntN(standin.Events)
		more, end := wholeEvents(standin.AskForStream(callers[rnd.IntN(len(callers))], a))
		resumed++
		if len(more) > 0 || end {
			wentOn++
		}
		events, whole = append(events, more...), end
	}
	m.check(id, events, whole)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Resumed, m.counts.WentOn = m.counts.Resumed+resumed, m.counts.WentOn+wentOn
	if len(events) > 0 {
		m.counts.Begun++
	}
	if whole {
		m.counts.Whole++
	}
}

// wholeEvents returns the whole events of an answer, and whether it is complete.
func wholeEvents(r standin.Reply) (events []string, complete bool) {
	if r.Status != http.StatusOK {
		return nil, false
	}
	events = strings.SplitAfter(r.Body, "\n\n")
	return events[:len(events)-1], r.Complete
}

// check checks that the events of one stream are in order and of one version, and that a complete
// stream has all of them.
func (m *markedStreams) check(id string, events []string, complete bool) {
	version := ""
	for n, e := range events {
		if version == "" {
			for _, v := range []string{firstVersion, secondVersion} {
				if e == standin.MarkedEvent(1, v) {
					version = v
				}
			}
		}
		if e != standin.MarkedEvent(n+1, version) {
			m.checker.breach("stream %s of version %q: event %d is %q", id, version, n+1, e)
			return
		}
	}
	if complete && len(events) != standin.Events {
		m.checker.breach("stream %s has %d events and looks complete", id, len(events))
	}
}

// endServers ends servers from time to time and starts others of the same version in their place.
func (m *markedStreams) endServers(ctx context.Context, rnd *rand.Rand) {
	k := &crashReplacer{cluster: m.cluster}
	for i := 0; ctx.Err() == nil; i++ {
		sleepContext(ctx, minNotice+time.Duration(rnd.Int64N(int64(maxEndGap))))
		if n := i % len(m.cluster.Backends); ctx.Err() == nil && i < len(m.cluster.Backends) {
			b, proxy := m.cluster.Backends[n], m.cluster.backendProxies[n]
			proxy.CloseOrderly()
			k.replace(b, i, crashReplaceDelay)
		}
	}
}

// finish waits for the callers and returns what they counted.
func (m *markedStreams) finish() StreamCounts {
	m.running.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Unframed = len(slices.DeleteFunc(slices.Clone(m.cluster.Backends), func(b *standin.Backend) bool { return !b.Unframed() }))
	return m.counts
}
