package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Rendezvous returns up to n live members for a key, best first, without the
// one with the name self. Instances that see the same members choose the same
// ones without asking each other; a member that goes moves only its own keys.
func Rendezvous(rows []state.MemberRow, key, self string, n int) []state.MemberRow {
	var live []state.MemberRow
	for _, row := range rows {
		if row.Name != self && row.State == protocol.MemberAlive && !row.Leaving {
			live = append(live, row)
		}
	}
	slices.SortFunc(live, func(a, b state.MemberRow) int {
		return cmp.Compare(score(key, b.Name), score(key, a.Name))
	})
	return live[:min(n, len(live))]
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
