package control

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// historyKept is how many versions of the list a gateway may be behind and still
// be sent the changes only.
const historyKept = 64

// history keeps what changed between the versions of the list: whole lists of a
// large fleet, sent to every gateway at each change, would fill the leader's link.
type history struct {
	steps []step // steps are in the order of their versions.
}

// step is what changed in one version.
type step struct {
	version uint64
	after   uint64 // after is the version that the changes are against; a relay may not see each one.
	changed []protocol.Instance
	gone    []string
}

// add notes a new version beside the one before.
func (h *history) add(version, last uint64, before, after []protocol.Instance) {
	old := make(map[string]protocol.Instance, len(before))
	for _, in := range before {
		old[in.ID] = in
	}
	s := step{version: version, after: last}
	for _, in := range after {
		was, ok := old[in.ID]
		delete(old, in.ID)
		if !ok || !sameServer(was, in) {
			s.changed = append(s.changed, in)
		}
	}
	for id := range old {
		s.gone = append(s.gone, id)
	}
	h.steps = append(h.steps, s)
	if len(h.steps) > historyKept {
		h.steps = h.steps[len(h.steps)-historyKept:]
	}
}

// since returns what changed behind a version, or false where that is not known
// any more.
func (h *history) since(version uint64) (changed []protocol.Instance, gone []string, ok bool) {
	if !h.knows(version) {
		return nil, nil, false
	}
	latest := map[string]*protocol.Instance{} // latest is nil for those that are gone.
	for i := range h.steps {
		s := &h.steps[i]
		if s.version <= version {
			continue
		}
		for k := range s.changed {
			latest[s.changed[k].ID] = &s.changed[k]
		}
		for _, id := range s.gone {
			latest[id] = nil
		}
	}
	for id, in := range latest {
		if in == nil {
			gone = append(gone, id)
			continue
		}
		changed = append(changed, *in)
	}
	return changed, gone, true
}

// knows reports whether a version is one that changes are kept against.
func (h *history) knows(version uint64) bool {
	return slices.ContainsFunc(h.steps, func(s step) bool { return s.after == version || s.version == version })
}
