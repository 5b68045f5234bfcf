package main

import (
	"slices"
	"testing"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// TestUnplacedDomains checks that domains of instances and servers without a region are
// found, and that a member which has not told its domain is none of them.
func TestUnplacedDomains(t *testing.T) {
	two := topology.New(map[string]string{"a-1": "a", "b-1": "b"})
	member := func(domain string) state.MemberRow {
		return state.MemberRow{Member: protocol.Member{Domain: domain}}
	}
	members := []state.MemberRow{member("a-1"), member(""), member("d")}
	servers := []protocol.Instance{{Domain: "c"}, {Domain: "b-1"}, {Domain: "d"}}
	if got, want := unplacedDomains(two, members, servers), []string{"c", "d"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if got := unplacedDomains(topology.New(nil), members, servers); len(got) > 0 {
		t.Errorf("without regions: %v", got)
	}
}
