// Package place chooses the backend server for one attempt of a request that
// came by host and path.
//
// A [View] is an immutable snapshot of the servers; each has a [ServerStats] with this
// gateway's own counts and the load that the server reported last. [Choose] is a
// function of both and of a message: it holds no clock and sends nothing.
//
// Two aims pull apart. Requests that share the first parts of a prompt should
// meet at the server that has read them, and no server should have more to do
// than the others. Servers are ranked by rendezvous hashing of the shared parts,
// so that gateways agree without talking, and one above the bound is passed
// over for the next in rank.
package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// Server is one backend server in a view.
type Server struct {
	protocol.Instance
	Hash     uint64       // Hash is of the identity, for rendezvous ranks.
	Stats    *ServerStats // Cell is shared by all views that hold the server.
	location topology.Location
	region   int    // region is the number of its region in the view; 0 where all are near.
	order    uint64 // order is that in which the long lane takes servers, the highest first.
}

// View is an immutable snapshot of the servers, by service.
type View struct {
	Servers  []Server
	services map[string][]int // services have the servers that take requests.
	trials   map[string][]int // trials have those of a version on trial.
	byID     map[string]int
	topology *topology.Topology           // topology tells the regions of the domains.
	regions  int                          // regions are how many the servers lie in, those of no known region as one.
	rollouts map[string]*protocol.Rollout // rollouts are by service.
}

// ViewOption changes a new view.
type ViewOption func(*View)

// WithRollouts keeps requests off servers whose version gets none.
func WithRollouts(list []protocol.Rollout) ViewOption {
	return func(v *View) {
		for i := range list {
			v.rollouts[list[i].Service] = &list[i]
		}
	}
}

// WithRegions sets where the failure domains lie; without it they all are near.
func WithRegions(t *topology.Topology) ViewOption { return func(v *View) { v.topology = t } }

// NewView returns a view of the listed servers. Those that the view before held
// keep their cells.
func NewView(list []protocol.Instance, before *View, opts ...ViewOption) *View {
	v := &View{services: map[string][]int{}, trials: map[string][]int{}, byID: map[string]int{}, rollouts: map[string]*protocol.Rollout{}}
	for _, opt := range opts {
		opt(v)
	}
	for _, in := range list {
		s := Server{Instance: in, Hash: xxhash.Sum64String(in.ID), location: v.topology.Location(in.Domain)}
		s.order = mix(laneSeed ^ s.Hash)
		if old := before.Find(in.ID); old != nil && old.Address == in.Address {
			s.Stats = old.Stats
		} else {
			s.Stats = &ServerStats{}
		}
		v.byID[in.ID] = len(v.Servers)
		v.index(&in, v.rollouts[in.Service])
		v.Servers = append(v.Servers, s)
	}
	v.numberRegions()
	return v
}

// numberRegions gives each server the number of its region, so that a choice needs no
// look-up for each of them.
func (v *View) numberRegions() {
	v.regions = 1
	if !v.topology.MultiRegion() {
		return
	}
	numbers := map[string]int{}
	for i := range v.Servers {
		s := &v.Servers[i]
		n, known := numbers[s.location.Region]
		if !known {
			n = len(numbers)
			numbers[s.location.Region] = n
		}
		s.region = n
	}
	v.regions = max(1, len(numbers))
}

// index enters the server that is appended next.
func (v *View) index(in *protocol.Instance, r *protocol.Rollout) {
	at := len(v.Servers)
	switch {
	case r == nil:
		v.services[in.Service] = append(v.services[in.Service], at)
	case r.OnTrial(in.Version):
		v.trials[in.Service] = append(v.trials[in.Service], at)
	case !r.Blocks(in.Version):
		v.services[in.Service] = append(v.services[in.Service], at)
	}
}

// Find returns the server with an identity, or nil.
func (v *View) Find(id string) *Server {
	if v == nil {
		return nil
	}
	i, ok := v.byID[id]
	if !ok {
		return nil
	}
	return &v.Servers[i]
}

// Service returns the indices of a service's servers that take requests.
func (v *View) Service(name string) []int {
	if v == nil {
		return nil
	}
	return v.services[name]
}

// ChooseMsg asks for a server.
type ChooseMsg struct {
	Service        string
	Prefix         uint64 // Prefix is the hash of the prompt's shared parts; 0 without any.
	Domain         string // Domain is the gateway's own.
	Rand           uint64 // Rand is fresh randomness.
	Avoid          []string
	Lane           Lane
	Parts          protocol.LaneShares
	Brief          bool // Brief says that little is lost if the server stops before the request has ended.
	MaxOutstanding int  // Most is how many requests of this gateway a server may have; 0 means no bound.
	Now            time.Time
}

const (
	// bound and slack limit a server's load before a prefix is sent elsewhere: so
	// many times the mean, and so many requests more.
	bound = 1.25
	slack = 2
	// suspectLoad is added to the load of a server that failed lately.
	suspectLoad = 4
	// failingLoad is added in the measure in which a server fails requests.
	failingLoad = 3
	// pendingLoad is added for each prompt of mean length that the server is still
	// to read for this gateway.
	pendingLoad = 0.1
	// coldLoad is added to that of one that has just started.
	coldLoad = 0.3
	// usualSlots are taken where the list tells none.
	usualSlots = 8
)

// row is one candidate as a decision sees it.
type row struct {
	index int
	fill  float64 // fill is the load as a part of the slots, with what counts against the server.
	rank  uint64
}

// leaveMargin is how long a leaving server must still run to be sent a request:
// longer than nearly all brief ones take.
const leaveMargin = 500 * time.Millisecond

// Choose returns the index of a server, or false where none may be sent to. A brief
// request goes to one that is leaving, while that still runs, if all others have more
// to do than they do at once.
func Choose(v *View, m ChooseMsg) (int, bool) {
	rows := inLane(v, candidates(v, m), m)
	if m.Brief && allFull(rows) {
		if leaving := leavingCandidates(v, m); !allFull(leaving) {
			return lightest(v, leaving, m), true
		}
	}
	if len(rows) == 0 {
		return 0, false
	}
	rows = nearest(v, rows, m)
	if m.Prefix != 0 {
		width := float64(v.Servers[rows[0].index].Width())
		return ranked(rows, v.prefixLimit(rows, width)), true
	}
	return lightest(v, rows, m), true
}

// allFull reports whether no server has room for one more at once.
func allFull(rows []row) bool {
	return !slices.ContainsFunc(rows, func(r row) bool { return r.fill < fullLoad })
}

// candidates returns the servers of a service that are not leaving.
func candidates(v *View, m ChooseMsg) []row {
	return eligible(v, v.Service(m.Service), m, func(s *Server) bool { return !s.Leaving })
}

// leavingCandidates returns those that are leaving and run for long enough.
func leavingCandidates(v *View, m ChooseMsg) []row {
	return eligible(v, v.Service(m.Service), m, func(s *Server) bool { return s.Leaving && s.Stats.runsUntil().Sub(m.Now) > leaveMargin })
}

func eligible(v *View, list []int, m ChooseMsg, may func(*Server) bool) []row {
	rows := make([]row, 0, len(list))
	for _, i := range list {
		s := &v.Servers[i]
		if !may(s) || slices.Contains(m.Avoid, s.ID) {
			continue
		}
		load, pending, failing, suspect := s.Stats.load(m.Now)
		if m.MaxOutstanding > 0 && s.Stats.Outstanding() >= m.MaxOutstanding {
			continue
		}
		load += pendingLoad * pending * float64(s.Width())
		r := row{index: i, fill: load/float64(s.Width()) + failingLoad*failing}
		if suspect {
			r.fill += suspectLoad
		}
		if s.ColdMS > 0 {
			r.fill += coldLoad
		}
		key := m.Prefix
		if key == 0 {
			key = m.Rand
		}
		r.rank = mix(key ^ s.Hash)
		rows = append(rows, r)
	}
	return rows
}

// Width returns the requests that the server runs at once.
func (s *Server) Width() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return usualSlots
}

// ranked returns the highest in rank among those that are not much fuller than
// the rest, by a limit. The lightest is always one of them.
func ranked(rows []row, limit float64) int {
	best := slices.MinFunc(rows, byFill)
	for _, r := range rows {
		if r.fill <= limit && (best.fill > limit || r.rank > best.rank) {
			best = r
		}
	}
	return best.index
}

// prefixLimit returns the load up to which a server takes prompts for their shared parts.
// Where there are other regions, that leaves room for one request more.
func (v *View) prefixLimit(rows []row, width float64) float64 {
	sum, n := 0.0, 0
	for _, r := range rows {
		if r.fill < suspectLoad {
			sum += r.fill
			n++
		}
	}
	limit := bound*sum/float64(max(1, n)) + slack/width
	if v.topology.MultiRegion() {
		return min(limit, fullLoad-1/width)
	}
	return limit
}

func byFill(a, b row) int {
	switch {
	case a.fill < b.fill:
		return -1
	case a.fill > b.fill:
		return 1
	case a.rank > b.rank:
		return -1
	}
	return 1
}

// lightest returns the one with the least to do, near ones first.
func lightest(v *View, rows []row, m ChooseMsg) int {
	from := v.topology.Location(m.Domain)
	for i := range rows {
		rows[i].fill += distanceLoad[from.Distance(v.Servers[rows[i].index].location)]
	}
	return slices.MinFunc(rows, byFill).index
}

// mix is the finalizer of SplitMix64: each bit of the input reaches all of the
// output.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Prefix returns the hash of the parts of a prompt that other requests may
// share: all but the last, which is the request's own. It is 0 without any.
func Prefix(parts []protocol.PromptPart) uint64 {
	var h uint64
	for i := 0; i+1 < len(parts); i++ {
		h = mix(h ^ parts[i].ID)
	}
	return h
}
