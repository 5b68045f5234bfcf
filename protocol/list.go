package protocol

import (
	"maps"
	"slices"
)

// ApplyTo returns the result of applying the list, which may be an incremental update,
// to the servers in held. The result is sorted by ID.
func (l *ServerList) ApplyTo(held []Instance) []Instance {
	servers := make(map[string]Instance, len(held)+len(l.Servers))
	if !l.Whole {
		for _, in := range held {
			servers[in.ID] = in
		}
	}
	for _, in := range l.Servers {
		servers[in.ID] = in
	}
	for _, id := range l.Gone {
		delete(servers, id)
	}
	list := make([]Instance, 0, len(servers))
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		list = append(list, servers[id])
	}
	return list
}
