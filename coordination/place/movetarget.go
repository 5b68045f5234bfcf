package place

import "slices"

// maxTargetFill is the fill above which a server takes no moved run: the moved run would
// take the slot of the next request there.
const maxTargetFill = 0.9

// MoveTarget returns a server that has room for a run of a leaving server, or nil. The
// target has the same service and version and is not suspect. The less loaded of two random
// candidates is taken, so that gateways which move runs at the same moment do not all take
// the least loaded one. Servers of the same domain are preferred because the copy is faster
// there.
func MoveTarget(v *View, source *Server, m ChooseMsg) *Server {
	m.Service = source.Service
	rows := slices.DeleteFunc(candidates(v, m), func(r candidate) bool {
		s := &v.Servers[r.index]
		return s.ID == source.ID || s.Version != source.Version || r.fill >= maxTargetFill
	})
	if len(rows) == 0 {
		return nil
	}
	for i := range rows {
		if v.Servers[rows[i].index].Domain != source.Domain {
			rows[i].fill += sameRegionPenalty
		}
	}
	n := uint64(len(rows))
	a, b := rows[mix(m.Rand)%n], rows[mix(m.Rand+1)%n]
	if byFill(b, a) < 0 {
		a = b
	}
	return &v.Servers[a.index]
}
