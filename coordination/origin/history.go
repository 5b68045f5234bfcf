package origin

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// maxListGap is the longest time between two confirmations of the list of servers over which the
// history counts as known: in a longer one a version may have come and gone.
const maxListGap = 3 * time.Second

// History is what a gateway has seen of the versions of each service and of the services of each
// route, from lists and configurations.
type History struct {
	start       time.Time // start is since when the history is known.
	confirmedAt time.Time // confirmedAt is when the list was last known to be the newest.
	versions    map[string]*spell
	services    map[string]*spell // services is keyed by route.
}

// spell is a time in which a name stood for a single value, or for several.
type spell struct {
	value  string
	single bool
	since  time.Time
}

// NewHistory returns a history that begins now.
func NewHistory(now time.Time) *History {
	return &History{start: now, confirmedAt: now, versions: map[string]*spell{}, services: map[string]*spell{}}
}

// List records the list of servers. It reports whether a service that had a single version got
// another one.
func (h *History) List(list []protocol.Instance, now time.Time) (changed bool) {
	listed := map[string][]string{}
	for i := range list {
		s := &list[i]
		if !slices.Contains(listed[s.Service], s.Version) {
			listed[s.Service] = append(listed[s.Service], s.Version)
		}
	}
	for service, versions := range listed {
		changed = h.observe(h.versions, service, versions, now) || changed
	}
	return changed
}

// Routes records a configuration. It reports whether a route that led to a single service leads to
// another one.
func (h *History) Routes(routes []protocol.PathRoute, now time.Time) (changed bool) {
	for i := range routes {
		var services []string
		for _, s := range routes[i].Split {
			services = append(services, s.Service)
		}
		changed = h.observe(h.services, routes[i].Name, services, now) || changed
	}
	return changed
}

// observe records the values that a name stands for from now on. A name that was not there before
// stood for nothing else.
func (h *History) observe(spells map[string]*spell, name string, values []string, now time.Time) (changed bool) {
	s := spells[name]
	single := len(values) == 1
	switch {
	case s == nil:
		spells[name] = &spell{value: values[0], single: single, since: h.start}
		return false
	case single && s.single && s.value == values[0]:
		return false
	case single:
		changed = s.single
		*s = spell{value: values[0], single: true, since: now}
		return changed
	}
	changed = s.single
	s.single = false
	return changed
}

// Confirm records that the list was the newest at a time. It reports whether the history starts anew
// because nothing was known for too long.
func (h *History) Confirm(at time.Time) (restarted bool) {
	if !at.After(h.confirmedAt) {
		return false
	}
	restarted = at.Sub(h.confirmedAt) > maxListGap
	h.confirmedAt = at
	if restarted {
		h.start = at
		for _, s := range h.versions {
			s.since = later(s.since, at)
		}
	}
	return restarted
}

// Single returns the only service that a route led to lately and its only version, and for how long
// both have been the only ones.
func (h *History) Single(route string, now time.Time) protocol.SingleVersion {
	service, serviceFor := h.services[route].lasting(now)
	version, versionFor := h.versions[service].lasting(now)
	return protocol.SingleVersion{Service: service, Version: version, For: min(serviceFor, versionFor)}
}

// Several reports whether the route now leads to several services, or its service has several versions.
func (h *History) Several(route string) bool {
	services := h.services[route]
	if services == nil || !services.single {
		return services != nil
	}
	versions := h.versions[services.value]
	return versions != nil && !versions.single
}

// lasting returns the single value of a spell and its time up to now; 0 without a single value.
func (s *spell) lasting(now time.Time) (string, time.Duration) {
	if s == nil || !s.single {
		return "", 0
	}
	return s.value, max(0, now.Sub(s.since))
}

// ListAge returns the time since the list was last known to be the newest.
func (h *History) ListAge(now time.Time) time.Duration { return now.Sub(h.confirmedAt) }
