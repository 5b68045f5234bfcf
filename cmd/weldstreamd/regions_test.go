package main

import (
	"slices"
	"testing"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// TestUnplacedDomains checks that domains of instances and servers without a region are
// found, and that a member whose domain is not known yet is skipped.
func TestUnplacedDomains(t *testing.T) {
	twoRegions := topology.New(map[string]string{"a-1": "a", "b-1": "b"})
	member := func(domain string) state.MemberRow {
		return state.MemberRow{Member: protocol.Member{Domain: domain}}
	}
	members := []state.MemberRow{member("a-1"), member(""), member("d")}
	servers := []protocol.Instance{{Domain: "c"}, {Domain: "b-1"}, {Domain: "d"}}
	if got, want := unplacedDomains(twoRegions, members, servers), []string{"c", "d"}; !slices.Equal(got, want) {
		t.Errorf("unplaced domains %v, want %v", got, want)
	}
	if got := unplacedDomains(topology.New(nil), members, servers); len(got) > 0 {
		t.Errorf("without regions: %v, want none", got)
	}
}
