package backpressure

import (
	"maps"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// recordBrittle records whether a server says that it is brittle, and presumes of the others of its
// service what follows. The service may be empty if the server is listed.
func (l *Limits) recordBrittle(server, service string, limit protocol.RateLimit) {
	if in, ok := l.listed[server]; ok {
		service = in.Service
	}
	if began, ended := l.brittle.record(service, server, limit); began || ended {
		l.presume(service)
	}
}

// presume gives the servers of a service that have not been heard the limit that the others have, or none
// if the service is not brittle.
func (l *Limits) presume(service string) {
	limit, brittle := l.brittle.presumed(service)
	for server, in := range l.listed {
		if in.Service != service {
			continue
		}
		s := l.servers[server]
		switch {
		case brittle && (s == nil || s.presumed || !s.limit.Brittle):
			l.presumeServer(server, limit)
		case !brittle && s != nil && s.presumed:
			s.presumed = false
			s.setLimit(presumeBrittle(s.limit, limit), s.reported)
			if s.limit.IsZero() {
				delete(l.servers, server)
			}
		}
	}
}

// presumeServer presumes that a server is brittle.
func (l *Limits) presumeServer(server string, limit protocol.RateLimit) {
	s := l.servers[server]
	if s == nil {
		s = &serverState{}
		l.servers[server] = s
	}
	s.presumed = true
	s.setLimit(presumeBrittle(s.limit, limit), s.reported)
}

// SetServers sets the listed servers. It removes the state of others, and presumes that servers which
// were not listed before are as brittle as the others of their service.
func (l *Limits) SetServers(list []protocol.ListedServer, now time.Time) {
	before := l.listed
	l.listed = make(map[string]protocol.ListedServer, len(list))
	for _, in := range list {
		l.listed[in.Server] = in
	}
	isListed := func(server string) bool { _, ok := l.listed[server]; return ok }
	for server, s := range l.servers {
		if _, known := before[server]; !known && isListed(server) && s.limit.Brittle && !s.presumed {
			l.recordBrittle(server, "", s.limit)
		}
	}
	unlisted := func(server string) bool { return !isListed(server) }
	maps.DeleteFunc(l.servers, func(server string, _ *serverState) bool { return unlisted(server) })
	maps.DeleteFunc(l.sent, func(server string, _ *sentCounter) bool { return unlisted(server) })
	l.brittle.prune(isListed, now)
	for _, in := range list {
		if _, known := before[in.Server]; known || l.servers[in.Server] != nil {
			continue
		}
		if limit, brittle := l.brittle.presumed(in.Service); brittle {
			l.presumeServer(in.Server, limit)
		}
	}
}

// heardLimit returns the entry of a report for a server's limit, and false if the report needs none: the leader
// presumes for itself what servers have not said, unless it is of an earlier build.
func (l *Limits) heardLimit(server string, s *serverState, now time.Time) (h protocol.ReportedLimit, ok bool) {
	h = protocol.ReportedLimit{Server: server, Service: l.listed[server].Service, Limit: s.limit, Ago: now.Sub(s.statedAt)}
	if s.presumed {
		h.Ago = inheritedAge
		return h, !s.reported && l.answered && !l.choosesRooms
	}
	return h, !s.reported
}

// serviceOf returns the service of a server that the leader tells of.
func (l *Limits) serviceOf(update *protocol.ServerLimit) string {
	if in, ok := l.listed[update.Server]; ok {
		return in.Service
	}
	return update.Service
}
