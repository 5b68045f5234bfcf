// Package place chooses the backend server for one attempt of a request that was routed by
// host and path.
//
// A [View] is an immutable snapshot of the servers; each has [ServerStats] with this
// gateway's own counts and the latest reported load. [Choose] depends only on the view and
// a message: it reads no clock and sends nothing.
//
// Two goals conflict: requests that share the first parts of a prompt should be sent to the
// server that has them cached, and load should be even. Servers are ranked by rendezvous
// hashing of the shared parts, so that gateways agree without communication, and a server
// above the load bound is skipped in favor of the next in rank.
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
	Hash      uint64       // Hash is the hash of the ID, for rendezvous ranks.
	Stats     *ServerStats // Stats is shared by all views that hold the server.
	location  topology.Location
	region    int    // region is the number of its region in the view; 0 if there is only one region.
	laneOrder uint64 // laneOrder is the server's priority for the long lane; the highest values are assigned first.
}

// View is an immutable snapshot of the servers, by service.
type View struct {
	Servers  []Server
	services map[string][]int // services holds the servers that take regular requests.
	trials   map[string][]int // trials holds the servers of a version on trial.
	byID     map[string]int
	topology *topology.Topology           // topology maps domains to regions.
	regions  int                          // regions is the number of regions with servers; servers of unknown region count as one region.
	rollouts map[string]*protocol.Rollout // rollouts are keyed by service.
}

// ViewOption configures a new view.
type ViewOption func(*View)

// WithRollouts keeps requests off servers whose version must not get any.
func WithRollouts(list []protocol.Rollout) ViewOption {
	return func(v *View) {
		for i := range list {
			v.rollouts[list[i].Service] = &list[i]
		}
	}
}

// WithRegions sets the regions of the failure domains; without it all servers count as
// near.
func WithRegions(t *topology.Topology) ViewOption { return func(v *View) { v.topology = t } }

// NewView returns a view of the listed servers. A server that the previous view held at the
// same address keeps its stats.
func NewView(list []protocol.Instance, previous *View, opts ...ViewOption) *View {
	v := &View{services: map[string][]int{}, trials: map[string][]int{}, byID: map[string]int{}, rollouts: map[string]*protocol.Rollout{}}
	for _, opt := range opts {
		opt(v)
	}
	for _, in := range list {
		s := Server{Instance: in, Hash: xxhash.Sum64String(in.ID), location: v.topology.Location(in.Domain)}
		s.laneOrder = mix(laneSeed ^ s.Hash)
		if old := previous.Find(in.ID); old != nil && old.Address == in.Address {
			s.Stats = old.Stats
		} else {
			s.Stats = &ServerStats{}
		}
		v.byID[in.ID] = len(v.Servers)
		v.addToIndex(&in, v.rollouts[in.Service])
		v.Servers = append(v.Servers, s)
	}
	v.numberRegions()
	return v
}

// numberRegions numbers the regions, so that a choice needs no map look-up for each server.
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

// addToIndex indexes the server that is appended next.
func (v *View) addToIndex(in *protocol.Instance, r *protocol.Rollout) {
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

// Find returns the server with the given ID, or nil.
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

// Service returns the indices of a service's servers that take regular requests.
func (v *View) Service(name string) []int {
	if v == nil {
		return nil
	}
	return v.services[name]
}

// Listed returns the number of a service's servers that take regular requests and are not
// leaving.
func (v *View) Listed(name string) (n int) {
	for _, i := range v.Service(name) {
		if !v.Servers[i].Leaving {
			n++
		}
	}
	return n
}

// OnTrial reports whether a server has a version on trial.
func (v *View) OnTrial(s *Server) bool {
	r := v.rollouts[s.Service]
	return r != nil && r.OnTrial(s.Version)
}

// HasTrials reports whether servers of a service have a version on trial.
func (v *View) HasTrials(service string) bool { return v != nil && len(v.trials[service]) > 0 }

// Listing returns what limits are based on: the slots of each server, and whether it takes regular
// requests.
func (v *View) Listing() []protocol.ListedServer {
	list := make([]protocol.ListedServer, 0, len(v.Servers))
	for i := range v.Servers {
		s := &v.Servers[i]
		r := v.rollouts[s.Service]
		takes := !s.Leaving && (r == nil || !r.OnTrial(s.Version) && !r.Blocks(s.Version))
		list = append(list, protocol.ListedServer{Server: s.ID, Service: s.Service, Slots: s.SlotCount(), Takes: takes})
	}
	return list
}

// ChooseMsg requests a server.
type ChooseMsg struct {
	Service        string
	Prefix         uint64 // Prefix is the hash of the prompt's shared parts; 0 if there are none.
	Domain         string // Domain is the gateway's failure domain.
	Rand           uint64 // Rand is fresh randomness.
	Avoid          []string
	Lane           Lane                // Lane selects the servers that are preferred.
	Parts          protocol.LaneShares // Parts is how the servers are split between the lanes.
	Brief          bool                // Brief says that little is lost if the server stops before the request ends.
	MaxOutstanding int                 // MaxOutstanding limits the requests of this gateway at one server; 0 means no limit.
	Version        *string             // Version is the only software version that may take the request; nil for any.
	Now            time.Time
}

const (
	// loadFactor and loadSlack limit the load up to which a server takes prompts for their
	// prefix: loadFactor times the mean, plus loadSlack requests.
	loadFactor = 1.25
	loadSlack  = 2
	// suspectPenalty is added to the fill of a suspect server.
	suspectPenalty = 4
	// failurePenalty is added to the fill in proportion to the failure rate.
	failurePenalty = 3
	// pendingPrefillPenalty is added to the fill for each prompt of mean length that the
	// server still has to prefill for this gateway.
	pendingPrefillPenalty = 0.1
	// coldPenalty is added to the fill of a server that has just started.
	coldPenalty = 0.3
	// defaultSlots is used if the list does not give the number of slots.
	defaultSlots = 8
)

// candidate is a server that may take the request.
type candidate struct {
	index int
	fill  float64 // fill is the load as a share of the slots, plus penalties.
	rank  uint64
}

// minRemainingTime is how long a leaving server must still run to get a request: longer
// than nearly all brief requests take.
const minRemainingTime = 500 * time.Millisecond

// Choose returns the index of a server, or false if no server may take the request. A brief
// request is sent to a leaving server, while that still runs, if all other servers are
// full.
func Choose(v *View, m ChooseMsg) (int, bool) {
	rows := inLane(v, candidates(v, m), m)
	if m.Brief && allFull(rows) {
		if leaving := leavingCandidates(v, m); !allFull(leaving) {
			return leastLoaded(v, leaving, m), true
		}
	}
	if len(rows) == 0 {
		return 0, false
	}
	rows = preferRegion(v, rows, m)
	if m.Prefix != 0 {
		// The servers of a service are taken to have the same number of slots.
		width := float64(v.Servers[rows[0].index].SlotCount())
		return highestRanked(rows, v.prefixLimit(rows, width)), true
	}
	return leastLoaded(v, rows, m), true
}

// allFull reports whether no candidate has a free slot.
func allFull(rows []candidate) bool {
	return !slices.ContainsFunc(rows, func(r candidate) bool { return r.fill < fullLoad })
}

// candidates returns the servers of a service that are not leaving.
func candidates(v *View, m ChooseMsg) []candidate {
	return scoreCandidates(v, v.Service(m.Service), m, func(s *Server) bool { return !s.Leaving })
}

// leavingCandidates returns the leaving servers that run for long enough.
func leavingCandidates(v *View, m ChooseMsg) []candidate {
	return scoreCandidates(v, v.Service(m.Service), m, func(s *Server) bool { return s.Leaving && s.runsOn(m.Now) })
}

// runsOn reports whether a leaving server runs long enough for a brief request.
func (s *Server) runsOn(now time.Time) bool {
	return s.Stats.stopTime().Sub(now) > minRemainingTime
}

func scoreCandidates(v *View, list []int, m ChooseMsg, allowed func(*Server) bool) []candidate {
	rows := make([]candidate, 0, len(list))
	for _, i := range list {
		s := &v.Servers[i]
		if !allowed(s) || !m.admits(s) {
			continue
		}
		load, pending, failing, suspect := s.Stats.load(m.Now)
		if m.MaxOutstanding > 0 && s.Stats.Outstanding() >= m.MaxOutstanding {
			continue
		}
		load += pendingPrefillPenalty * pending * float64(s.SlotCount())
		r := candidate{index: i, fill: load/float64(s.SlotCount()) + failurePenalty*failing}
		if suspect {
			r.fill += suspectPenalty
		}
		if s.ColdMS > 0 {
			r.fill += coldPenalty
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

// admits reports whether the request may be sent to a server at all.
func (m *ChooseMsg) admits(s *Server) bool {
	return (m.Version == nil || s.Version == *m.Version) && !slices.Contains(m.Avoid, s.ID)
}

// Serves reports whether any listed server of the service may be sent the request, full or not.
func Serves(v *View, m ChooseMsg) bool {
	return slices.ContainsFunc(slices.Concat(v.Service(m.Service), v.trials[m.Service]), func(i int) bool {
		s := &v.Servers[i]
		return m.admits(s) && (!s.Leaving || s.runsOn(m.Now))
	})
}

// SlotCount returns the number of requests that the server runs at once.
func (s *Server) SlotCount() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

// highestRanked returns the highest-ranked candidate with a fill up to the limit, or the
// one with the lowest fill if all are above it.
func highestRanked(rows []candidate, limit float64) int {
	best := slices.MinFunc(rows, byFill)
	for _, r := range rows {
		if r.fill <= limit && (best.fill > limit || r.rank > best.rank) {
			best = r
		}
	}
	return best.index
}

// prefixLimit returns the fill up to which a server takes prompts for their prefix. With
// several regions, it is at most the fill of a server with one free slot.
func (v *View) prefixLimit(rows []candidate, width float64) float64 {
	sum, n := 0.0, 0
	for _, r := range rows {
		if r.fill < suspectPenalty { // Excludes suspect servers.
			sum += r.fill
			n++
		}
	}
	limit := loadFactor*sum/float64(max(1, n)) + loadSlack/width
	if v.topology.MultiRegion() {
		return min(limit, fullLoad-1/width)
	}
	return limit
}

func byFill(a, b candidate) int {
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

// leastLoaded returns the candidate with the lowest fill after distance penalties.
func leastLoaded(v *View, rows []candidate, m ChooseMsg) int {
	from := v.topology.Location(m.Domain)
	for i := range rows {
		rows[i].fill += distancePenalty[from.Distance(v.Servers[rows[i].index].location)]
	}
	return slices.MinFunc(rows, byFill).index
}

// mix is the finalizer of SplitMix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Prefix returns the hash of the parts of a prompt that other requests may share: all but
// the last, which is specific to the request. It is 0 if there are none.
func Prefix(parts []protocol.PromptPart) uint64 {
	var h uint64
	for i := 0; i+1 < len(parts); i++ {
		h = mix(h ^ parts[i].ID)
	}
	return h
}
