package control

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// maxHistory is the number of versions that a gateway may be behind and still be sent only
// the changes.
const maxHistory = 64

// history holds the changes between versions of the list. Sending the complete list of a
// large fleet to every gateway at each change would saturate the leader's link.
type history struct {
	deltas []listDelta // deltas are in the order of their versions.
}

// listDelta contains the changes of one version.
type listDelta struct {
	version uint64
	base    uint64 // base is the version that the changes refer to; a relay may miss versions in between.
	changed []protocol.Instance
	gone    []string
}

// add appends the changes of a new version against the last one.
func (h *history) add(version, last uint64, before, after []protocol.Instance) {
	old := make(map[string]protocol.Instance, len(before))
	for _, in := range before {
		old[in.ID] = in
	}
	s := listDelta{version: version, base: last}
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
	h.deltas = append(h.deltas, s)
	if len(h.deltas) > maxHistory {
		h.deltas = h.deltas[len(h.deltas)-maxHistory:]
	}
}

// since returns the changes after a version, or false if they are no longer known.
func (h *history) since(version uint64) (changed []protocol.Instance, gone []string, ok bool) {
	if !h.covers(version) {
		return nil, nil, false
	}
	latest := map[string]*protocol.Instance{} // latest is nil for removed servers.
	for i := range h.deltas {
		s := &h.deltas[i]
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

// covers reports whether the changes since a version are known.
func (h *history) covers(version uint64) bool {
	return slices.ContainsFunc(h.deltas, func(s listDelta) bool { return s.base == version || s.version == version })
}
