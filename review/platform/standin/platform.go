//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// entry is one replica in the platform's list.
type entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	State   string
}

// platform is the platform's API.
type platform struct {
	address string
	rec     *record
	server  *http.Server

	mu      sync.Mutex
	list    []entry
	raw     []string          // raw are entries of another writer, which stand before the others.
	highest map[string]uint64 // highest is the highest fencing token seen, by duty.
}

func newPlatform(rec *record) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: ln.Addr().String(), rec: rec, highest: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.instances)
	mux.HandleFunc("POST /usage", p.duty)
	mux.HandleFunc("POST /scaling", p.duty)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

// set replaces the list.
func (p *platform) set(list ...entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// prepend puts an entry of another writer before the others.
func (p *platform) prepend(raw string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw = append(p.raw, raw)
}

func (p *platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := slices.Clone(p.raw)
	for _, e := range p.list {
		row, _ := json.Marshal(map[string]any{
			"id": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots,
			"state": e.State, "coldLeftMs": 0, "stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		})
		rows = append(rows, string(row))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(rows, ","))
}

// duty takes a call of a single node's duty and checks its fencing token.
func (p *platform) duty(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if token < p.highest[r.URL.Path] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.highest[r.URL.Path] = token
}
