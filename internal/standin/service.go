package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// ServiceStats counts the calls that a plain service ran.
type ServiceStats struct {
	Calls int            `json:"calls"`
	Runs  map[string]int `json:"runs"` // Runs counts the calls per idempotency key.
}

// Service is a plain service stand-in. It answers any path and counts the calls
// per idempotency key.
type Service struct {
	id     string
	faults *faultState

	mu    sync.Mutex
	stats ServiceStats
}

// ServiceAnswer is the response to a call.
type ServiceAnswer struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Runs   int    `json:"runs"`
	Body   string `json:"body"`
}

// NewService returns a service stand-in that is not serving yet.
func NewService(id string) *Service {
	return &Service{id: id, faults: newFaultState(), stats: ServiceStats{Runs: map[string]int{}}}
}

// Serve runs the service until ctx ends.
func (s *Service) Serve(ctx context.Context, l Listeners) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("/", s.handleCall)
	control := http.NewServeMux()
	control.HandleFunc("POST /faults", s.faults.handleFaults)
	control.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return l.serve(ctx, mux, control)
}

// Stats returns a copy of the statistics.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := ServiceStats{Calls: s.stats.Calls, Runs: make(map[string]int, len(s.stats.Runs))}
	for k, n := range s.stats.Runs {
		c.Runs[k] = n
	}
	return c
}

func (s *Service) handleLoad(w http.ResponseWriter, r *http.Request) {
	if s.faults.waitUnfrozen(r.Context()) {
		writeJSON(w, http.StatusOK, protocol.LoadReport{Server: s.id, Leaving: s.faults.get().Leaving})
	}
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.faults.waitUnfrozen(r.Context()) {
		return
	}
	f := s.faults.get()
	if f.Refuse || f.Leaving {
		w.Header().Set(protocol.HeaderVerdict, protocol.NotRun.String())
		w.Header().Set(protocol.HeaderLeaving, strconv.FormatBool(f.Leaving))
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "the service takes no new work"})
		return
	}
	answer := s.run(r, string(body))
	pause.For(r.Context(), time.Duration(f.DelayMS)*time.Millisecond)
	if f.DropAnswer {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Service) run(r *http.Request, body string) ServiceAnswer {
	key := r.Header.Get(protocol.HeaderKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	s.stats.Runs[key]++
	return ServiceAnswer{Server: s.id, Path: r.URL.RequestURI(), Key: key, Runs: s.stats.Runs[key], Body: body}
}
