package state

import (
	"slices"
	"strings"

	"github.com/weldstream/weldstream/protocol"
)

// Pool holds the servers of one model or plain service in columns. A routing decision
// reads a few bytes for each server, and with hundreds of servers its duration is
// dominated by memory access. Servers that are leaving are not included.
type Pool struct {
	Index     []int32           // positions in View.Servers
	Hash      []uint64          // hashes of the server IDs
	Base      []float64         // reported load minus this process's own share of it
	Silent    []bool            // servers that missed their latest reports
	stale     []int32           // positions in the columns of servers with an outdated report
	slots     int               // total slots of the servers that report slots
	reporting int               // number of those servers
	adapters  map[string][]bool // adapter name to a column of the servers that hold it
}

// maxMissedReports is how many consecutive load reports a server may miss and still
// receive requests while other servers answer.
const maxMissedReports = 2

// Adapter returns a column that tells which servers hold an adapter, or nil if none
// does.
func (p *Pool) Adapter(name string) []bool { return p.adapters[name] }

// Load estimates the load of the k-th server of the pool, like [Server.Load].
func (p *Pool) Load(k int, own int32) float64 {
	return max(float64(own), p.Base[k]+float64(own))
}

// Slots returns the number of concurrent requests that the pool's servers support.
// Servers that report no slots are assumed to have the average of the others. 0 means
// that no server reports slots.
func (p *Pool) Slots() int {
	if p.reporting == 0 {
		return 0
	}
	return p.slots * len(p.Index) / p.reporting
}

func (p *Pool) add(i int, s *Server) {
	if s.Report.Slots > 0 {
		p.slots += s.Report.Slots
		p.reporting++
	}
	p.Index = append(p.Index, int32(i))
	p.Hash = append(p.Hash, s.Hash)
	p.Base = append(p.Base, float64(s.Report.Running+s.Report.Waiting)-float64(s.OwnAt))
	p.Silent = append(p.Silent, s.Silent())
	if s.Old {
		p.stale = append(p.stale, int32(len(p.Base)-1))
	}
}

// estimateStale sets the load of servers with an outdated report to the mean of the
// others. An outdated report would otherwise keep excluding a server, or keep
// attracting requests, until it is polled again.
func (p *Pool) estimateStale() {
	current := len(p.Base) - len(p.stale)
	if len(p.stale) == 0 || current == 0 {
		return
	}
	isStale := make([]bool, len(p.Base))
	for _, k := range p.stale {
		isStale[k] = true
	}
	sum := 0.0
	for k, base := range p.Base {
		if !isStale[k] {
			sum += base
		}
	}
	for _, k := range p.stale {
		p.Base[k] = sum / float64(current)
	}
}

// buildAdapterColumns fills the adapter columns. The pool must be complete.
func (p *Pool) buildAdapterColumns(servers []Server) {
	p.adapters = map[string][]bool{}
	for k, i := range p.Index {
		for _, a := range servers[i].Report.Adapters {
			if p.adapters[a] == nil {
				p.adapters[a] = make([]bool, len(p.Index))
			}
			p.adapters[a][k] = true
		}
	}
}

// NewView returns a snapshot of servers. It sorts servers by ID.
func NewView(servers []Server) *View {
	slices.SortFunc(servers, func(x, y Server) int { return strings.Compare(x.ID, y.ID) })
	v := &View{Servers: servers, models: map[string]*Pool{}, services: map[string]*Pool{}}
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Leaving:
		case s.Kind == protocol.InstanceService:
			v.pool(v.services, s.Service).add(i, s)
		case s.Kind == protocol.InstanceEngine:
			for _, model := range s.Report.Models {
				v.pool(v.models, model).add(i, s)
			}
		}
	}
	for _, p := range v.models {
		p.buildAdapterColumns(servers)
		p.estimateStale()
	}
	return v
}

func (v *View) pool(pools map[string]*Pool, name string) *Pool {
	if pools[name] == nil {
		pools[name] = &Pool{}
	}
	return pools[name]
}

// Model returns the pool of a model, or nil.
func (v *View) Model(name string) *Pool { return v.models[name] }

// Service returns the pool of a plain service, or nil.
func (v *View) Service(name string) *Pool { return v.services[name] }
