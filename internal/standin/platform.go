package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Platform is a stand-in for the cloud platform. It serves a delayed list of
// instances, reclaim notices and prices. It refuses starts on request and when no
// spare matches. It starts no process: a started instance is one of the configured
// spares.
type Platform struct {
	faults *faultState

	mu        sync.Mutex
	instances []protocol.Instance
	history   []listVersion
	spares    []protocol.Instance
	notices   []protocol.Notice
	prices    []protocol.Price
	started   map[string]protocol.Instance // started maps start orders to their instances, so that a repeated order returns the same one.
	refuse    map[string]bool              // refuse holds the starts to refuse, as "domain/class/market".
}

// listVersion is the list that was valid from a point in time.
type listVersion struct {
	at   time.Time
	list []protocol.Instance
}

// PlatformSetup sets the state of the platform through its control address.
type PlatformSetup struct {
	Instances []protocol.Instance `json:"instances"`
	Spares    []protocol.Instance `json:"spares"`
	Prices    []protocol.Price    `json:"prices"`
	Refuse    []string            `json:"refuse"` // Refuse holds the starts to refuse, as "domain/class/market".
}

// ReclaimOrder makes the platform issue reclaim notices for one instance or for a
// whole failure domain.
type ReclaimOrder struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	InMS     int    `json:"in_ms"` // InMS is the time from notice to reclaim.
}

// NewPlatform returns a platform stand-in that is not serving yet.
func NewPlatform() *Platform {
	return &Platform{faults: newFaultState(), refuse: map[string]bool{}, started: map[string]protocol.Instance{}}
}

// Serve runs the platform until ctx ends.
func (p *Platform) Serve(ctx context.Context, l Listeners) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", p.handleList)
	mux.HandleFunc("POST /v1/instances", p.handleStart)
	mux.HandleFunc("DELETE /v1/instances/{id}", p.handleRelease)
	mux.HandleFunc("GET /v1/notices", p.handleNotices)
	mux.HandleFunc("GET /v1/prices", p.handlePrices)
	control := http.NewServeMux()
	control.HandleFunc("POST /faults", p.faults.handleFaults)
	control.HandleFunc("POST /setup", p.handleSetup)
	control.HandleFunc("POST /reclaim", p.handleReclaim)
	return l.serve(ctx, mux, control)
}

// setInstances replaces the current list and records it in the history. The caller
// holds p.mu.
func (p *Platform) setInstances(list []protocol.Instance) {
	p.instances = list
	p.history = append(p.history, listVersion{at: time.Now(), list: slices.Clone(list)})
}

// listed returns the list as it was Faults.ListLagMS ago.
func (p *Platform) listed() []protocol.Instance {
	lag := time.Duration(p.faults.get().ListLagMS) * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now().Add(-lag)
	for i := len(p.history) - 1; i >= 0; i-- {
		if !p.history[i].at.After(at) {
			return p.history[i].list
		}
	}
	if len(p.history) > 0 {
		return p.history[0].list
	}
	return nil
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	if p.faults.waitUnfrozen(r.Context()) {
		writeJSON(w, http.StatusOK, protocol.InstanceList{Instances: p.listed()})
	}
}

func (p *Platform) handleStart(w http.ResponseWriter, r *http.Request) {
	var o protocol.StartOrder
	if !readJSON(w, r, &o) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if in, ok := p.started[o.Order]; ok {
		writeJSON(w, http.StatusCreated, in)
		return
	}
	i := slices.IndexFunc(p.spares, func(in protocol.Instance) bool {
		return in.Domain == o.Domain && in.Class == o.Class && in.Market == o.Market
	})
	if i < 0 || p.refuse[o.Domain+"/"+o.Class+"/"+o.Market] {
		writeJSON(w, http.StatusTooManyRequests, map[string]string{"error": "no capacity"})
		return
	}
	in := p.spares[i]
	p.spares = slices.Delete(p.spares, i, i+1)
	p.started[o.Order] = in
	p.setInstances(append(slices.Clone(p.instances), in))
	writeJSON(w, http.StatusCreated, in)
}

func (p *Platform) handleRelease(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.PathValue("id")
	list := slices.DeleteFunc(slices.Clone(p.instances), func(in protocol.Instance) bool { return in.ID == id })
	if len(list) == len(p.instances) {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such instance"})
		return
	}
	p.setInstances(list)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	reply := protocol.NoticeList{Notices: []protocol.Notice{}}
	if p.faults.get().HoldNotices {
		writeJSON(w, http.StatusOK, reply)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices {
		if n.Sequence > after {
			reply.Notices = append(reply.Notices, n)
		}
	}
	writeJSON(w, http.StatusOK, reply)
}

func (p *Platform) handlePrices(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.prices)
}

func (p *Platform) handleSetup(w http.ResponseWriter, r *http.Request) {
	var s PlatformSetup
	if !readJSON(w, r, &s) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setInstances(s.Instances)
	p.spares, p.prices = s.Spares, s.Prices
	p.refuse = map[string]bool{}
	for _, pair := range s.Refuse {
		p.refuse[pair] = true
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleReclaim(w http.ResponseWriter, r *http.Request) {
	var o ReclaimOrder
	if !readJSON(w, r, &o) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list, count := slices.Clone(p.instances), 0
	for i := range list {
		if list[i].ID != o.Instance && (o.Domain == "" || list[i].Domain != o.Domain) {
			continue
		}
		list[i].Leaving = true
		count++
		p.notices = append(p.notices, protocol.Notice{
			Sequence: uint64(len(p.notices) + 1),
			Instance: list[i].ID,
			At:       time.Now().Add(time.Duration(o.InMS) * time.Millisecond),
		})
	}
	p.setInstances(list)
	writeJSON(w, http.StatusOK, map[string]string{"noticed": fmt.Sprint(count)})
}
