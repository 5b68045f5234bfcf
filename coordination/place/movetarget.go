package place

import "slices"

// roomFill is how full a server may be and still take a run of another one: beyond it
// the next request there waits for the moved one.
const roomFill = 0.9

// MoveTarget returns a server that has room for a run of a leaving one, or nil: of the same
// service and version, trusted, and the lighter of two drawn ones, so that gateways which
// move runs at the same moment do not all take the lightest. Those of a near domain go
// first, as the copy is faster there.
func MoveTarget(v *View, source *Server, m ChooseMsg) *Server {
	m.Service = source.Service
	rows := slices.DeleteFunc(candidates(v, m), func(r row) bool {
		s := &v.Servers[r.index]
		return s.ID == source.ID || s.Version != source.Version || r.fill >= roomFill
	})
	if len(rows) == 0 {
		return nil
	}
	for i := range rows {
		if v.Servers[rows[i].index].Domain != source.Domain {
			rows[i].fill += nearLoad
		}
	}
	n := uint64(len(rows))
	a, b := rows[mix(m.Rand)%n], rows[mix(m.Rand+1)%n]
	if byFill(b, a) < 0 {
		a = b
	}
	return &v.Servers[a.index]
}
