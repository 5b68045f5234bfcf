package state

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
)

// Server is one backend server in a snapshot: an engine or a replica of a plain
// service. Everything but its counters is immutable.
type Server struct {
	protocol.Instance
	Report   protocol.LoadReport // latest report received
	ReportAt time.Time           // when Report was received; zero before the first
	OwnAt    int32               // value of Outstanding when Report was received
	AskedAt  time.Time           // time of the latest poll, successful or not
	SentAt   int64               // value of Sent at the latest poll
	Old      bool                // Report is too old to tell the current load
	Hash     uint64              // hash of the ID, for rendezvous hashing
	Missed   int                 // failed polls since ReportAt
	Counters *Counters           // shared by all snapshots
}

// Counters are this process's own counts for one backend server.
type Counters struct {
	Outstanding atomic.Int32 // requests in progress
	Sent        atomic.Int64 // requests sent since the process started
	Failed      atomic.Int64 // failed attempts
}

// Load estimates the number of requests at the server: the reported number, corrected
// by the requests that this process has sent or completed since the report.
func (s *Server) Load(own int32) float64 {
	return max(float64(own), float64(s.Report.Running+s.Report.Waiting)+float64(own-s.OwnAt))
}

// ReportDue reports whether this process has sent requests to the server since the
// latest poll, or has never polled it.
func (s *Server) ReportDue() bool { return s.AskedAt.IsZero() || s.Counters.Sent.Load() != s.SentAt }

// Silent reports whether the server missed more than maxMissedReports load reports in a
// row.
func (s *Server) Silent() bool { return s.Missed > maxMissedReports }

// View is an immutable snapshot of all backend servers, sorted by ID.
type View struct {
	Servers  []Server
	models   map[string]*Pool
	services map[string]*Pool
}

// Outstanding copies the numbers of requests in progress into dst, which grows as
// needed, so that a routing decision uses consistent numbers.
func (v *View) Outstanding(dst []int32) []int32 {
	dst = dst[:0]
	for i := range v.Servers {
		dst = append(dst, v.Servers[i].Counters.Outstanding.Load())
	}
	return dst
}

// Find returns the server with the given ID, or nil.
func (v *View) Find(id string) *Server {
	i, ok := slices.BinarySearchFunc(v.Servers, id, func(s Server, id string) int {
		return strings.Compare(s.ID, id)
	})
	if !ok {
		return nil
	}
	return &v.Servers[i]
}

// Backends is the table of backend servers. The platform's list, the load reports and
// the leaving marks each update separate parts of a row, so that an outdated list
// cannot revert a leaving mark.
type Backends struct {
	mu           sync.Mutex
	rows         map[string]*Server
	leaving      map[string]protocol.Leaving
	joined       map[string]protocol.Joined // servers announced by other instances
	view         atomic.Pointer[View]
	newlyLeaving chan string // receives the ID of each server that starts leaving
}

// leavingQueueSize bounds the server IDs that are queued for the reader of NewlyLeaving.
const leavingQueueSize = 1024

// NewBackends returns an empty table.
func NewBackends() *Backends {
	b := &Backends{
		rows:         map[string]*Server{},
		leaving:      map[string]protocol.Leaving{},
		joined:       map[string]protocol.Joined{},
		newlyLeaving: make(chan string, leavingQueueSize),
	}
	b.view.Store(NewView(nil))
	return b
}

// View returns the current snapshot.
func (b *Backends) View() *View { return b.view.Load() }

// SetList replaces the servers with those in the platform's list. Servers that were
// listed before keep their report and counters. A server that another instance found in
// a newer version of the list is retained for a while.
func (b *Backends) SetList(list []protocol.Instance, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make(map[string]*Server, len(list))
	for id, j := range b.joined {
		if now.Sub(j.Seen) > protocol.JoinedRetention {
			delete(b.joined, id)
			continue
		}
		rows[id] = b.row(j.Instance)
	}
	for _, in := range list {
		if in.Kind == protocol.InstanceEntry {
			continue
		}
		rows[in.ID] = b.row(in)
		if in.Leaving {
			b.markLeaving(protocol.Leaving{Server: in.ID, Seen: now, Origin: "list"})
		}
	}
	b.rows = rows
	b.pruneLeaving(now)
	b.publish()
}

// row returns the row for a listed server, reusing the existing row if it is still the
// same server. b.mu must be held.
func (b *Backends) row(in protocol.Instance) *Server {
	row := b.rows[in.ID]
	if row == nil || row.Address != in.Address {
		row = &Server{Counters: &Counters{}, Hash: xxhash.Sum64String(in.ID)}
	}
	row.Instance = in
	return row
}

// Join adds a server that another instance found in the platform's list.
func (b *Backends) Join(j protocol.Joined, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.Instance.Kind == protocol.InstanceEntry || now.Sub(j.Seen) > protocol.JoinedRetention {
		return
	}
	b.joined[j.Instance.ID] = j
	if b.rows[j.Instance.ID] == nil {
		b.rows[j.Instance.ID] = b.row(j.Instance)
		b.publish()
	}
}

// pruneLeaving drops the leaving marks that are past their retention and whose servers
// are no longer listed. b.mu must be held.
func (b *Backends) pruneLeaving(now time.Time) {
	for id, l := range b.leaving {
		if b.rows[id] == nil && now.Sub(l.Seen) > protocol.LeavingRetention {
			delete(b.leaving, id)
		}
	}
}

// reportMaxAge is how long a load report is considered current. It is on the order of
// the duration of a few requests.
const reportMaxAge = 2 * time.Second

// ReportRow is the result of polling one server for its load.
type ReportRow struct {
	Server string
	Report protocol.LoadReport
	Failed bool // the report could not be read
	At     time.Time
}

// SetReports stores the results of one polling round. The snapshot is rebuilt only once
// per round, because its cost is proportional to the number of servers.
func (b *Backends) SetReports(rows []ReportRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var now time.Time
	for _, r := range rows {
		b.setReport(r)
		now = later(now, r.At)
	}
	for _, row := range b.rows {
		row.Old = now.Sub(row.ReportAt) > reportMaxAge
	}
	b.publish()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RequestReport makes a server's load report due, so that the next polling round
// includes it.
func (b *Backends) RequestReport(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if row := b.rows[id]; row != nil {
		row.SentAt = -1
		b.publish()
	}
}

// setReport stores one result. b.mu must be held.
func (b *Backends) setReport(r ReportRow) {
	row := b.rows[r.Server]
	if row == nil {
		return
	}
	row.AskedAt, row.SentAt = r.At, row.Counters.Sent.Load()
	if r.Failed {
		row.Missed++
		return
	}
	row.Report, row.ReportAt, row.Missed = r.Report, r.At, 0
	row.OwnAt = row.Counters.Outstanding.Load()
	if r.Report.Leaving {
		b.markLeaving(protocol.Leaving{Server: r.Server, Seen: r.At, Origin: "report"})
	}
}

// MarkLeaving records that a server accepts no new requests, and reports whether that
// was not known yet. The mark persists until the server is no longer listed and
// LeavingRetention has passed.
func (b *Backends) MarkLeaving(l protocol.Leaving) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.markLeaving(l) {
		return false
	}
	b.publish()
	return true
}

// markLeaving is MarkLeaving without publishing a snapshot. b.mu must be held.
func (b *Backends) markLeaving(l protocol.Leaving) bool {
	if _, ok := b.leaving[l.Server]; ok {
		return false
	}
	b.leaving[l.Server] = l
	select {
	case b.newlyLeaving <- l.Server:
	default:
	}
	return true
}

// NewlyLeaving returns a channel that receives the ID of each server that starts leaving.
func (b *Backends) NewlyLeaving() <-chan string { return b.newlyLeaving }

// Leaving returns all leaving marks, sorted by server ID.
func (b *Backends) Leaving() []protocol.Leaving {
	b.mu.Lock()
	defer b.mu.Unlock()
	marks := make([]protocol.Leaving, 0, len(b.leaving))
	for _, l := range b.leaving {
		marks = append(marks, l)
	}
	slices.SortFunc(marks, func(x, y protocol.Leaving) int { return strings.Compare(x.Server, y.Server) })
	return marks
}

// publish stores a new snapshot. b.mu must be held.
func (b *Backends) publish() {
	servers := make([]Server, 0, len(b.rows))
	for id, row := range b.rows {
		s := *row
		if _, ok := b.leaving[id]; ok {
			s.Leaving = true
		}
		servers = append(servers, s)
	}
	b.view.Store(NewView(servers))
}
