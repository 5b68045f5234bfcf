//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// platformAPI stands in for the platform: the list of replicas, with its lag, and the duties.
type platformAPI struct {
	address string
	server  *http.Server
	rec     *record

	mu       sync.Mutex
	entries  []listed
	fences   map[string]uint64
	accepted map[int64]string
}

// listed is what the list says of a replica from a time on.
type listed struct {
	id    string
	row   map[string]any
	since time.Time
}

// listLag is lagMs of the site.
const listLag = 800 * time.Millisecond

func newPlatformAPI(rec *record) (*platformAPI, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &platformAPI{address: ln.Addr().String(), rec: rec, fences: map[string]uint64{}, accepted: map[int64]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", a.list)
	mux.HandleFunc("POST /usage", a.usage)
	mux.HandleFunc("POST /scaling", a.scaling)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(ln) }()
	return a, nil
}

func (a *platformAPI) close() { _ = a.server.Close() }

func (a *platformAPI) add(r *replica) {
	a.mu.Lock()
	defer a.mu.Unlock()
	row := map[string]any{"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready", "coldLeftMs": 0, "born": r.born}
	a.entries = append(a.entries, listed{r.id, row, time.Now()})
	a.rec.log("platform: %s (version %s, born %d) starts at %s", r.id, r.version, r.born, r.address)
}

func (a *platformAPI) list(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows, at := []map[string]any{}, map[string]int{}
	for _, e := range a.entries { // The latest entry of an id that the lag lets through holds.
		if time.Since(e.since) < listLag {
			continue
		}
		if i, known := at[e.id]; known {
			rows[i] = e.row
			continue
		}
		at[e.id] = len(rows)
		rows = append(rows, e.row)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": rows, "nextToken": nil})
}

// fence checks the fencing token of a call about a subject.
func (a *platformAPI) fence(w http.ResponseWriter, r *http.Request, subject string) bool {
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if token < a.fences[subject] {
		w.WriteHeader(http.StatusConflict)
		return false
	}
	a.fences[subject] = token
	return true
}

func (a *platformAPI) usage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence(w, r, "usage")
}

func (a *platformAPI) scaling(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence(w, r, "scaling")
}
