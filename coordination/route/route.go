// Package route chooses the backend server for an attempt.
//
// A [Chooser] depends only on a snapshot and a message. It reads no clock and sends
// nothing: the caller first copies the counts of requests in progress, so that they do not
// change during the choice.
//
//	counts = view.Outstanding(counts)
//	i, err := route.LeastOutstanding{}.Choose(view, counts, route.ChooseMsg{Model: "docket-8b"})
package route

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// ErrNoServer is returned if no backend server may take the request.
var ErrNoServer = eris.New("no backend server can take the request")

// ChooseMsg requests a backend server.
type ChooseMsg struct {
	Model        string   // Model is the model that must be loaded; empty for a plain service.
	Adapter      string   // Adapter is the adapter that is preferably loaded.
	Service      string   // Service is the plain service; empty for a model.
	Prefix       uint64   // Prefix is the hash of the prompt's first part.
	Rand         uint64   // Rand is fresh randomness.
	Sheddable    bool     // Sheddable says that the request has low priority.
	AvoidServers []string // AvoidServers are never chosen, since they failed this request.
	AvoidDomains []string // AvoidDomains are chosen only if no other domain is left.
}

// Chooser chooses one server of a view.
type Chooser interface {
	// Choose returns an index into v.Servers, or ErrNoServer. The counts are the requests
	// in progress by server, in the same order.
	Choose(v *state.View, counts []int32, m ChooseMsg) (int, error)
}

// LeastOutstanding prefers, in this order, failure domains that did not fail the request,
// servers that are not silent, servers with the adapter loaded, and the fewest requests in
// progress. It is the baseline for other choosers.
type LeastOutstanding struct{}

// rank orders candidates lexicographically; lower is better.
type rank struct {
	domain   int
	silent   int
	adapter  int
	inFlight int32
}

func (r rank) less(o rank) bool {
	if r.domain != o.domain {
		return r.domain < o.domain
	}
	if r.silent != o.silent {
		return r.silent < o.silent
	}
	if r.adapter != o.adapter {
		return r.adapter < o.adapter
	}
	return r.inFlight < o.inFlight
}

// Choose implements [Chooser].
func (LeastOutstanding) Choose(v *state.View, counts []int32, m ChooseMsg) (int, error) {
	best, found := -1, rank{}
	for i := range v.Servers {
		s := &v.Servers[i]
		if !Eligible(s, m) {
			continue
		}
		r := rankOf(s, counts[i], m)
		if best < 0 || r.less(found) {
			best, found = i, r
		}
	}
	if best < 0 {
		return -1, ErrNoServer
	}
	return best, nil
}

func rankOf(s *state.Server, inFlight int32, m ChooseMsg) rank {
	r := rank{inFlight: inFlight}
	if slices.Contains(m.AvoidDomains, s.Domain) {
		r.domain = 1
	}
	if s.Silent() {
		r.silent = 1
	}
	if m.Adapter != "" && !slices.Contains(s.Report.Adapters, m.Adapter) {
		r.adapter = 1
	}
	return r
}

// Eligible reports whether a server may take the request: it is not leaving, has not failed
// this request, and serves the requested model or service.
func Eligible(s *state.Server, m ChooseMsg) bool {
	if s.Leaving || slices.Contains(m.AvoidServers, s.ID) {
		return false
	}
	if m.Service != "" {
		return s.Kind == protocol.InstanceService && s.Service == m.Service
	}
	return s.Kind == protocol.InstanceEngine && slices.Contains(s.Report.Models, m.Model)
}
