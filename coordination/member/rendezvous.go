package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Rendezvous returns up to n live members for a key by rendezvous hashing, highest score
// first, without the one with the name self. Instances with the same view choose the same
// members without coordination, and only the keys of a removed member move.
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
