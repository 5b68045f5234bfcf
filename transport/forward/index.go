package forward

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
)

// Index finds the routes, services and workspaces of a catalog.
type Index struct {
	*protocol.Catalog
	hosts    map[string][]*protocol.PathRoute // hosts are the routes by host, sorted by descending length of their prefix.
	keys     map[string]*protocol.WorkspaceSpec
	services map[string]*protocol.ServiceSpec
}

// NewIndex returns the index of a catalog.
func NewIndex(c *protocol.Catalog) *Index {
	ix := &Index{
		Catalog:  c,
		hosts:    map[string][]*protocol.PathRoute{},
		keys:     map[string]*protocol.WorkspaceSpec{},
		services: map[string]*protocol.ServiceSpec{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		ix.hosts[host] = append(ix.hosts[host], r)
	}
	for _, routes := range ix.hosts {
		slices.SortStableFunc(routes, func(a, b *protocol.PathRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		ix.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			ix.keys[key] = &c.Workspaces[i]
		}
	}
	return ix
}

// Route returns the route with the longest matching path prefix, or nil.
func (ix *Index) Route(host, path string) *protocol.PathRoute {
	host = strings.ToLower(host)
	routes := ix.hosts[host]
	if routes == nil {
		if name, _, ok := strings.Cut(host, ":"); ok {
			routes = ix.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (ix *Index) Workspace(key string) *protocol.WorkspaceSpec { return ix.keys[key] }

// Service returns a service by its name, or nil.
func (ix *Index) Service(name string) *protocol.ServiceSpec { return ix.services[name] }

// Split returns the service for a request according to the route's weights. The same request
// ID always gets the same service.
func Split(r *protocol.PathRoute, id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := int(xxhash.Sum64String(id) % uint64(max(1, total)))
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
