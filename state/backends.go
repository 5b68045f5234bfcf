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

// Server is one backend server as a snapshot shows it: an engine or a replica
// of a plain service. It is immutable but for its counters.
type Server struct {
	protocol.Instance
	Report   protocol.LoadReport // Report is the last that was read.
	ReportAt time.Time           // ReportAt is when it was read; zero before the first.
	OwnAt    int32               // OwnAt is Outstanding when Report was read.
	AskedAt  time.Time           // AskedAt is when a report was asked for last, in vain or not.
	SentAt   int64               // SentAt is Sent when it was.
	Old      bool                // Old says that Report tells nothing of the load any more.
	Hash     uint64              // Hash is of the identity, for rendezvous ranks.
	Missed   int                 // Missed counts reports that failed since ReportAt.
	Counters *Counters           // Counters are shared by all snapshots.
}

// Counters are this process's own view of one backend server.
type Counters struct {
	Outstanding atomic.Int32 // Outstanding counts requests sent and not ended.
	Sent        atomic.Int64 // Sent counts requests since the start.
	Failed      atomic.Int64 // Failed counts attempts that failed.
}

// Load estimates how many requests the server has: what it reported, corrected
// by what this process sent, or saw ended, since then.
func (s *Server) Load(own int32) float64 {
	return max(float64(own), float64(s.Report.Running+s.Report.Waiting)+float64(own-s.OwnAt))
}

// ReportDue reports whether this process sent to the server since it last asked for
// its load, or never asked.
func (s *Server) ReportDue() bool { return s.AskedAt.IsZero() || s.Counters.Sent.Load() != s.SentAt }

// Silent reports whether the server missed its last load reports.
func (s *Server) Silent() bool { return s.Missed > maxMissed }

// View is an immutable snapshot of all backend servers, by identity.
type View struct {
	Servers  []Server
	models   map[string]*Pool
	services map[string]*Pool
}

// Outstanding copies the counts of requests in progress into dst, which is
// grown as needed, so that a decision works on numbers that stand still.
func (v *View) Outstanding(dst []int32) []int32 {
	dst = dst[:0]
	for i := range v.Servers {
		dst = append(dst, v.Servers[i].Counters.Outstanding.Load())
	}
	return dst
}

// Find returns the server with an identity, or nil.
func (v *View) Find(id string) *Server {
	i, ok := slices.BinarySearchFunc(v.Servers, id, func(s Server, id string) int {
		return strings.Compare(s.ID, id)
	})
	if !ok {
		return nil
	}
	return &v.Servers[i]
}

// Backends is the table of backend servers. The platform's list, the load
// reports and the leaving marks each change their own part of a row, so that a
// lagging list cannot undo a leaving mark.
type Backends struct {
	mu      sync.Mutex
	rows    map[string]*Server
	leaving map[string]protocol.Leaving
	joined  map[string]protocol.Joined // joined are servers that the others' news told of.
	view    atomic.Pointer[View]
	changed chan string // changed receives the identity of a server that began to leave.
}

// leavingQueue bounds the identities that wait for the reader of Changed.
const leavingQueue = 1024

// NewBackends returns an empty table.
func NewBackends() *Backends {
	b := &Backends{
		rows:    map[string]*Server{},
		leaving: map[string]protocol.Leaving{},
		joined:  map[string]protocol.Joined{},
		changed: make(chan string, leavingQueue),
	}
	b.view.Store(NewView(nil))
	return b
}

// View returns the current snapshot.
func (b *Backends) View() *View { return b.view.Load() }

// SetList replaces the servers by those of the platform's list. A row that is
// listed again keeps its report and counters. A server that another instance
// found in a newer list than this one stays for a while.
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
			b.mark(protocol.Leaving{Server: in.ID, Seen: now, Origin: "list"})
		}
	}
	b.rows = rows
	b.forget(now)
	b.publish()
}

// row returns the row of a listed server, the one that there is if it is still
// the same server. It needs b.mu.
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

// forget drops the marks of servers that are long gone. It needs b.mu.
func (b *Backends) forget(now time.Time) {
	for id, l := range b.leaving {
		if b.rows[id] == nil && now.Sub(l.Seen) > protocol.LeavingRetention {
			delete(b.leaving, id)
		}
	}
}

// reportFresh is how long a report tells something of the load: a few requests'
// time.
const reportFresh = 2 * time.Second

// ReportRow is the outcome of asking one server for its load.
type ReportRow struct {
	Server string
	Report protocol.LoadReport
	Failed bool // Failed says that the report could not be read.
	At     time.Time
}

// SetReports stores the outcomes of one round of asking. The snapshot is built
// once a round: it is as large as there are servers.
func (b *Backends) SetReports(rows []ReportRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var now time.Time
	for _, r := range rows {
		b.setReport(r)
		now = later(now, r.At)
	}
	for _, row := range b.rows {
		row.Old = now.Sub(row.ReportAt) > reportFresh
	}
	b.publish()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RequestReport has a server's load asked for in the next round.
func (b *Backends) RequestReport(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if row := b.rows[id]; row != nil {
		row.SentAt = -1
		b.publish()
	}
}

// setReport needs b.mu.
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
		b.mark(protocol.Leaving{Server: r.Server, Seen: r.At, Origin: "report"})
	}
}

// MarkLeaving records that a server takes no new work and reports whether that
// was news. The mark lasts until the server is long gone from the list.
func (b *Backends) MarkLeaving(l protocol.Leaving) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.mark(l) {
		return false
	}
	b.publish()
	return true
}

// mark needs b.mu.
func (b *Backends) mark(l protocol.Leaving) bool {
	if _, ok := b.leaving[l.Server]; ok {
		return false
	}
	b.leaving[l.Server] = l
	select {
	case b.changed <- l.Server:
	default:
	}
	return true
}

// Changed delivers the identity of each server that begins to leave.
func (b *Backends) Changed() <-chan string { return b.changed }

// Leaving returns all leaving marks, by identity.
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

// publish needs b.mu.
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
