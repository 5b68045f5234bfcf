package order

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// TestPlan checks that missing adapters are ordered, those on the fewest servers
// first, and that a server that is leaving, missed its latest report or has not
// reported yet gets no order.
func TestPlan(t *testing.T) {
	ix := state.NewIndex(protocol.Revision{Number: 1, Config: &protocol.Config{
		Models:   []protocol.Model{{Name: "m"}},
		Adapters: []protocol.Adapter{{Name: "common", Model: "m"}, {Name: "rare", Model: "m"}, {Name: "foreign", Model: "other"}},
	}})
	server := func(id string, change func(*state.Server), adapters ...string) state.Server {
		s := state.Server{Instance: protocol.Instance{ID: id, Kind: protocol.InstanceEngine}, ReportAt: time.Unix(1, 0)}
		s.Report.Models, s.Report.Adapters = []string{"m"}, adapters
		if change != nil {
			change(&s)
		}
		return s
	}
	v := state.NewView([]state.Server{
		server("a", nil, "common"),
		server("b", nil),
		server("leaving", func(s *state.Server) { s.Leaving = true }),
		server("silent", func(s *state.Server) { s.Missed = 1 }),
		server("new", func(s *state.Server) { s.ReportAt = time.Time{} }),
		server("service", func(s *state.Server) { s.Kind = protocol.InstanceService }),
	})
	want := []Order{
		{Server: "a", Kind: protocol.OrderLoadAdapter, Name: "rare"},
		{Server: "b", Kind: protocol.OrderLoadAdapter, Name: "rare"},
		{Server: "b", Kind: protocol.OrderLoadAdapter, Name: "common"},
	}
	if diff := cmp.Diff(want, Plan(ix, v, 10)); diff != "" {
		t.Error(diff)
	}
	if got := Plan(ix, v, 2); len(got) != 2 {
		t.Errorf("%d orders, want at most 2", len(got))
	}
	if got := Plan(nil, v, 10); got != nil {
		t.Errorf("orders without a configuration: %v", got)
	}
}
