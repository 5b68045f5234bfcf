//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica stands in for a sound model replica as PROTOCOL.md describes it.
type replica struct {
	id, service, zone, version, address string
	slots                               int
	born                                int64
	events                              int           // events is the length of a stream.
	pause                               time.Duration // pause is the time between two events.
	rec                                 *record
	server                              *http.Server

	mu      sync.Mutex
	running int
}

func newReplica(rec *record, id, service, zone, version string, events int, pause time.Duration) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, version: version, address: ln.Addr().String(), slots: 64, born: time.Now().UnixMilli(), events: events, pause: pause, rec: rec}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(ln) }()
	return r, nil
}

// stop ends the replica like a crash: it listens no more, and its connections break.
func (r *replica) stop() { _ = r.server.Close() }

// startAgain starts the replica again under its id and address, with another software version.
func (r *replica) startAgain(version string) (*replica, error) {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	n := &replica{id: r.id, service: r.service, zone: r.zone, version: version, address: r.address, slots: r.slots, born: time.Now().UnixMilli(), events: r.events, pause: r.pause, rec: r.rec}
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve)}
	go func() { _ = n.server.Serve(ln) }()
	return n, nil
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", r.id)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"state":"ready","stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":%d,"kvUsed":0,"kvTotal":587977,"handles":0,"born":%d}`, r.load(0), r.born)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.load(1) > r.slots {
		r.load(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.load(-1)
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	r.rec.log("replica %s (version %s) runs %s from event %d, %d bytes", r.id, r.version, id, first, len(body))
	w.Header().Set("Server-Seal", id+"."+r.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", r.load(0), r.slots))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= r.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, r.version, n)
		if !flush(w) {
			return
		}
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			return
		}
	}
}

func flush(w http.ResponseWriter) bool { return http.NewResponseController(w).Flush() == nil }

func (r *replica) load(d int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += d
	return r.running
}
