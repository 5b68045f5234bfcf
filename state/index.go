package state

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/weldstream/weldstream/protocol"
)

// Index is a revision with the lookup tables that the request path needs. It is
// immutable.
type Index struct {
	protocol.Revision
	routes     map[string]*protocol.Route
	services   map[string]*protocol.Service
	workspaces map[string]*protocol.Workspace
	keys       []workspaceKey
}

type workspaceKey struct {
	digest    [sha256.Size]byte
	workspace *protocol.Workspace
}

// NewIndex builds the index of a revision.
func NewIndex(rev protocol.Revision) *Index {
	ix := &Index{
		Revision:   rev,
		routes:     map[string]*protocol.Route{},
		services:   map[string]*protocol.Service{},
		workspaces: map[string]*protocol.Workspace{},
	}
	for i := range rev.Config.Routes {
		ix.routes[rev.Config.Routes[i].Name] = &rev.Config.Routes[i]
	}
	for i := range rev.Config.Services {
		ix.services[rev.Config.Services[i].Name] = &rev.Config.Services[i]
	}
	for i := range rev.Config.Workspaces {
		ix.addWorkspace(&rev.Config.Workspaces[i])
	}
	return ix
}

func (ix *Index) addWorkspace(w *protocol.Workspace) {
	ix.workspaces[w.Name] = w
	for _, text := range w.KeyDigests {
		k := workspaceKey{workspace: w}
		if n, err := hex.Decode(k.digest[:], []byte(text)); err == nil && n == sha256.Size {
			ix.keys = append(ix.keys, k)
		}
	}
}

// Authenticate returns the workspace that a key belongs to, or nil. It takes the same
// time whether or not a key matches, and whichever one does, to resist timing attacks.
func (ix *Index) Authenticate(key string) *protocol.Workspace {
	digest := sha256.Sum256([]byte(key))
	var found *protocol.Workspace
	for i := range ix.keys {
		if subtle.ConstantTimeCompare(digest[:], ix.keys[i].digest[:]) == 1 {
			found = ix.keys[i].workspace
		}
	}
	return found
}

// Route returns the route with the given name if the workspace may use it, or nil.
func (ix *Index) Route(name, workspace string) *protocol.Route {
	r := ix.routes[name]
	if r == nil || !allowed(r.Workspaces, workspace) {
		return nil
	}
	return r
}

// Routes returns the routes that a workspace may use, sorted by name.
func (ix *Index) Routes(workspace string) []*protocol.Route {
	var routes []*protocol.Route
	for i := range ix.Config.Routes {
		if r := &ix.Config.Routes[i]; allowed(r.Workspaces, workspace) {
			routes = append(routes, r)
		}
	}
	return routes
}

// Service returns the plain service with the given name if the workspace may call it,
// or nil.
func (ix *Index) Service(name, workspace string) *protocol.Service {
	s := ix.services[name]
	if s == nil || !allowed(s.Workspaces, workspace) {
		return nil
	}
	return s
}

// RepeatableCall reports whether calls to a path of a service may be repeated.
func RepeatableCall(s *protocol.Service, path string) bool {
	return !slices.ContainsFunc(s.NotRepeatable, func(prefix string) bool {
		return strings.HasPrefix(path, prefix)
	})
}

func allowed(workspaces []string, name string) bool {
	return len(workspaces) == 0 || slices.Contains(workspaces, name)
}

// Model returns the declared model with the given name, or nil.
func (ix *Index) Model(name string) *protocol.Model {
	for i := range ix.Config.Models {
		if ix.Config.Models[i].Name == name {
			return &ix.Config.Models[i]
		}
	}
	return nil
}

// Share returns a workspace's weight relative to the others, at least 1.
func (ix *Index) Share(workspace string) int {
	if w := ix.workspaces[workspace]; w != nil {
		return max(1, w.Share)
	}
	return 1
}
