package state

import (
	"slices"
	"strings"

	"github.com/weldstream/weldstream/protocol"
)

// Pool holds the servers that may serve one model, or one plain service, in
// columns: a decision reads a few bytes of each server, and among hundreds of
// servers it is the memory that takes the time. Servers that leave are not in
// it.
type Pool struct {
	Index  []int32   // Index are the positions in View.Servers.
	Hash   []uint64  // Hash are the servers' hashes.
	Base   []float64 // Base are the reported loads less this process's own part.
	Silent []bool    // Silent tells which servers missed their last reports.
	old    []int32   // old are the positions in the columns of servers whose report is old.
	slots  int       // slots are those of the servers that report any.
	known  int       // known counts these servers.
	with   map[string][]bool
}

// maxMissed is how many load reports in a row a server may miss and still get
// work while others answer.
const maxMissed = 2

// Adapter returns which servers hold an adapter, or nil if none does.
func (p *Pool) Adapter(name string) []bool { return p.with[name] }

// Load estimates the load of the k-th server of the pool. It is [Server.Load].
func (p *Pool) Load(k int, own int32) float64 {
	return max(float64(own), p.Base[k]+float64(own))
}

// Slots returns how many requests the pool's servers run at once. Servers that
// do not say are taken to be like the others; 0 means that none says.
func (p *Pool) Slots() int {
	if p.known == 0 {
		return 0
	}
	return p.slots * len(p.Index) / p.known
}

func (p *Pool) add(i int, s *Server) {
	if s.Report.Slots > 0 {
		p.slots += s.Report.Slots
		p.known++
	}
	p.Index = append(p.Index, int32(i))
	p.Hash = append(p.Hash, s.Hash)
	p.Base = append(p.Base, float64(s.Report.Running+s.Report.Waiting)-float64(s.OwnAt))
	p.Silent = append(p.Silent, s.Silent())
	if s.Old {
		p.old = append(p.old, int32(len(p.Base)-1))
	}
}

// guessOld takes servers whose report is old for like the mean of the others:
// an old report would keep a server out, or let all in, for as long as nobody
// asks it.
func (p *Pool) guessOld() {
	fresh := len(p.Base) - len(p.old)
	if len(p.old) == 0 || fresh == 0 {
		return
	}
	isOld := make([]bool, len(p.Base))
	for _, k := range p.old {
		isOld[k] = true
	}
	sum := 0.0
	for k, base := range p.Base {
		if !isOld[k] {
			sum += base
		}
	}
	for _, k := range p.old {
		p.Base[k] = sum / float64(fresh)
	}
}

// markAdapters fills the adapters' columns once the pool is complete.
func (p *Pool) markAdapters(servers []Server) {
	p.with = map[string][]bool{}
	for k, i := range p.Index {
		for _, a := range servers[i].Report.Adapters {
			if p.with[a] == nil {
				p.with[a] = make([]bool, len(p.Index))
			}
			p.with[a][k] = true
		}
	}
}

// NewView returns a snapshot of servers, which it sorts by identity.
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
		p.markAdapters(servers)
		p.guessOld()
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
