package backpressure

import (
	"slices"
	"strings"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// brittleMemory is how long a service counts as brittle after the last of its servers that said so was
// taken off the list: a replacement is listed within that time.
const brittleMemory = 30 * time.Second

// brittleServices records which services have brittle servers. Servers are brittle for a time, all of a
// service together, so one that has not been heard yet is presumed to be as brittle as the others.
type brittleServices map[string]*brittleService

// brittleService is a service with brittle servers.
type brittleService struct {
	rejections map[string]int // rejections is how many each server says that it bears.
	least      int            // least is the least of them, or the last one known.
	until      time.Time      // until is when the service no longer counts as brittle; it holds once rejections is empty.
}

// record records what a server said, and reports whether the service began to be brittle or ceased to be.
func (b brittleServices) record(service, server string, limit protocol.RateLimit) (began, ended bool) {
	s := b[service]
	switch {
	case service == "":
		return false, false
	case limit.Brittle:
		if s == nil {
			s = &brittleService{}
			b[service], began = s, true
		}
		s.set(server, limit.MaxRejections)
	case s != nil:
		delete(s.rejections, server)
		s.update()
		if len(s.rejections) == 0 {
			delete(b, service)
			return false, true
		}
	}
	return began, false
}

func (s *brittleService) set(server string, rejections int) {
	if s.rejections == nil {
		s.rejections = map[string]int{}
	}
	s.rejections[server] = rejections
	s.update()
}

// update recomputes the least number of rejections.
func (s *brittleService) update() {
	first := true
	for _, n := range s.rejections {
		if first || n < s.least {
			s.least, first = n, false
		}
	}
}

// remember records that servers of a service were brittle until now.
func (b brittleServices) remember(service string, rejections int, now time.Time) (began bool) {
	s := b[service]
	if s == nil {
		s = &brittleService{least: rejections}
		b[service], began = s, true
	}
	if len(s.rejections) == 0 {
		s.least, s.until = min(s.least, rejections), now.Add(brittleMemory)
	}
	return began
}

// prune removes the servers that are no longer listed, and services that have not been brittle for
// brittleMemory.
func (b brittleServices) prune(listed func(server string) bool, now time.Time) {
	for name, s := range b {
		had := len(s.rejections) > 0
		for server := range s.rejections {
			if !listed(server) {
				delete(s.rejections, server)
			}
		}
		s.update()
		switch {
		case had && len(s.rejections) == 0:
			s.until = now.Add(brittleMemory)
		case !had && !now.Before(s.until):
			delete(b, name)
		}
	}
}

// presumed returns the limit of a server that has not been heard yet, and false if it is not presumed to
// be brittle.
func (b brittleServices) presumed(service string) (protocol.RateLimit, bool) {
	s := b[service]
	if s == nil {
		return protocol.RateLimit{}, false
	}
	return protocol.RateLimit{Brittle: true, MaxRejections: s.least}, true
}

// list returns the services, sorted by name.
func (b brittleServices) list() (list []protocol.BrittleService) {
	for name, s := range b {
		list = append(list, protocol.BrittleService{Service: name, MaxRejections: s.least})
	}
	slices.SortFunc(list, func(x, y protocol.BrittleService) int { return strings.Compare(x.Service, y.Service) })
	return list
}
