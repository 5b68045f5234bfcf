package state

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Stream is a request in progress, as shown in the state dump.
type Stream struct {
	Request string       `json:"request"`
	Key     protocol.Key `json:"key"`
	Route   string       `json:"route"`
	Server  string       `json:"server"`
	Attempt int          `json:"attempt"`
	Tokens  int          `json:"tokens"`
	Started time.Time    `json:"started"`
}

// Streams is the table of requests in progress on this instance.
type Streams struct {
	mu   sync.Mutex
	rows map[string]Stream
	idle chan struct{} // closed while the table is empty
}

// NewStreams returns an empty table.
func NewStreams() *Streams {
	idle := make(chan struct{})
	close(idle)
	return &Streams{rows: map[string]Stream{}, idle: idle}
}

// Begin adds a request unless max requests are already in progress, and reports whether
// it did.
func (s *Streams) Begin(row Stream, max int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rows) >= max {
		return false
	}
	if len(s.rows) == 0 {
		s.idle = make(chan struct{})
	}
	s.rows[row.Request] = row
	return true
}

// Update replaces the row of a request in progress.
func (s *Streams) Update(row Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[row.Request]; ok {
		s.rows[row.Request] = row
	}
}

// End removes a request.
func (s *Streams) End(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[request]; !ok {
		return
	}
	delete(s.rows, request)
	if len(s.rows) == 0 {
		close(s.idle)
	}
}

// Idle returns a channel that is closed while no request is in progress.
func (s *Streams) Idle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}

// Rows returns the requests in progress, sorted by request ID.
func (s *Streams) Rows() []Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]Stream, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Stream) int { return strings.Compare(a.Request, b.Request) })
	return rows
}
