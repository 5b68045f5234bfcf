package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/topology"
	_ "github.com/weldstream/weldstream/internal/testseed"
	"github.com/weldstream/weldstream/protocol"
)

// parts returns a prompt of three parts, of which the last is not shared.
func parts(first, second uint64) []protocol.PromptPart {
	return []protocol.PromptPart{{ID: first, Tokens: 1000}, {ID: second, Tokens: 500}, {ID: 99, Tokens: 50}}
}

// TestChainEndsInThePrefix checks that the links cover the shared parts in order, and that
// the hash of the last link is the prefix by which servers are ranked.
func TestChainEndsInThePrefix(t *testing.T) {
	chain := Chain(parts(1, 2))
	if len(chain) != 2 || chain[0].Tokens != 1000 || chain[1].Tokens != 1500 || chain[1].Hash != Prefix(parts(1, 2)) {
		t.Errorf("chain is %+v", chain)
	}
	if other := Chain(parts(1, 3)); other[0] != chain[0] || other[1].Hash == chain[1].Hash {
		t.Errorf("chain is %+v, compared with %+v", other, chain)
	}
	if Chain(nil) != nil || Chain(parts(1, 2)[:1]) != nil {
		t.Error("a prompt without shared parts has links")
	}
}

// TestHoldersFind checks which server is chosen as the source of a copy.
func TestHoldersFind(t *testing.T) {
	list := []protocol.Instance{
		{ID: "near", Service: "m", Domain: "a1"}, {ID: "same", Service: "m", Domain: "a2"}, {ID: "far", Service: "m", Domain: "b1"},
		{ID: "old", Service: "m", Domain: "b1"},
	}
	v := NewView(list, nil)
	regions := topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	whole, first := Chain(parts(1, 2)), Chain(parts(1, 3))
	all := func(*Server) bool { return true }
	for name, c := range map[string]struct {
		recorded   map[string][]protocol.PromptLink
		allowed    func(*Server) bool
		after      time.Duration
		prefilling string // prefilling is a server that starts the prefill of the whole prompt just before the search.
		holder     string
		tokens     int
	}{
		"nobody":                                            {nil, all, 0, "", "", 0},
		"the nearest of equal holders":                      {map[string][]protocol.PromptLink{"far": whole, "near": whole, "same": whole}, all, 0, "", "near", 1500},
		"the holder of more tokens":                         {map[string][]protocol.PromptLink{"far": whole[:1], "near": first, "same": whole}, all, 0, "", "same", 1500},
		"a partial holder rather than none":                 {map[string][]protocol.PromptLink{"far": first}, all, 0, "", "far", 1000},
		"no holder that may not be used":                    {map[string][]protocol.PromptLink{"far": whole, "near": whole}, func(s *Server) bool { return s.ID != "near" }, 0, "", "far", 1500},
		"no holder that is not listed":                      {map[string][]protocol.PromptLink{"gone": whole}, all, 0, "", "", 0},
		"the latest of equally near holders":                {map[string][]protocol.PromptLink{"far": whole, "old": whole}, all, 0, "", "far", 1500},
		"no holder during its prefill":                      {map[string][]protocol.PromptLink{"far": whole}, all, 0, "near", "far", 1500},
		"a holder during its prefill if it is the only one": {nil, all, 0, "near", "near", 1500},
		"no holder past the retention time":                 {map[string][]protocol.PromptLink{"near": whole}, all, prefixTTL, "", "", 0},
	} {
		h := NewHolders(regions)
		for server, chain := range c.recorded {
			at := start
			if server == "old" {
				at = start.Add(-10 * time.Second)
			}
			h.Record(server, chain, at)
		}
		now := start.Add(2*assumedPrefill + c.after)
		if c.prefilling != "" {
			h.Record(c.prefilling, whole, now)
		}
		if holder, tokens := h.Find(v, whole, "a1", c.allowed, now); holder != c.holder || tokens != c.tokens {
			t.Errorf("%s: found %q with %d tokens, want %q with %d", name, holder, tokens, c.holder, c.tokens)
		}
	}
}

// TestHoldersAreBounded checks that the number of links stays within its limit, that the
// latest prompt is never evicted, and that no server is named for links it was not given.
func TestHoldersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := NewHolders(nil), start
		v := fleet(6)
		given := map[string]map[uint64]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			base := rapid.Uint64Range(1, 5).Draw(t, "base")
			server := v.Servers[rapid.IntRange(0, 5).Draw(t, "server")].ID
			var last []protocol.PromptLink
			for i := range rapid.IntRange(1, maxLinks/4).Draw(t, "prompts") {
				last = Chain(parts(base, uint64(i)*7+base))
				h.Record(server, last, now)
				if given[server] == nil {
					given[server] = map[uint64]bool{}
				}
				for _, link := range last {
					given[server][uint64(keyOf(link))] = true
				}
			}
			if len(h.links) > maxLinks {
				t.Fatalf("%d links are kept", len(h.links))
			}
			if h.HeldTokens(server, last, now) != last[1].Tokens {
				t.Fatalf("%s is not known to hold its latest prompt", server)
			}
			chain := Chain(parts(base, rapid.Uint64Range(0, 50).Draw(t, "second")))
			holder, tokens := h.Find(v, chain, "a", func(*Server) bool { return true }, now)
			if holder == "" {
				continue
			}
			at := slices.IndexFunc(chain, func(l protocol.PromptLink) bool { return l.Tokens == tokens })
			if !given[holder][uint64(keyOf(chain[at]))] {
				t.Fatalf("%s is named for %d tokens that it was not given", holder, tokens)
			}
		}
	})
}

// TestReadingsReachAll checks that a gateway that polls from time to time, also across
// changes of the server list, learns all kept rows of other gateways, and never attributes
// a row to the wrong server.
func TestReadingsReachAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, holders := NewPrefillLog(), NewHolders(nil)
		v := fleet(6)
		list := func() {
			var order []string
			for i := range v.Servers {
				order = append(order, v.Servers[i].ID)
			}
			slices.Sort(order)
			r.SetServers(order)
		}
		list()
		position, number := uint64(0), uint64(0)
		recorded := map[string][]protocol.PromptLink{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			server := fmt.Sprintf("gone-%d", rapid.IntRange(0, 1).Draw(t, "gone"))
			if rapid.Bool().Draw(t, "listed") {
				server = v.Servers[rapid.IntRange(0, len(v.Servers)-1).Draw(t, "server")].ID
			}
			number++
			link := protocol.PromptLink{Hash: mix(number), Tokens: 10}
			recorded[server] = append(recorded[server], link)
			r.Add(1, server, []uint32{uint32(keyOf(link))})
			if rapid.Bool().Draw(t, "asks") {
				var packed []byte
				packed, position = r.Since(position)
				holders.RecordPacked(v, packed, start)
			}
			if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				list()
			}
		}
		packed, _ := r.Since(position)
		holders.RecordPacked(v, packed, start)
		for i := range v.Servers {
			for _, link := range recorded[v.Servers[i].ID] {
				if holders.HeldTokens(v.Servers[i].ID, []protocol.PromptLink{link}, start) == 0 {
					t.Fatalf("the gateway does not know that %s holds %x", v.Servers[i].ID, link.Hash)
				}
			}
		}
		for key, rows := range holders.links {
			for _, row := range rows {
				if !slices.ContainsFunc(recorded[row.server], func(l protocol.PromptLink) bool { return keyOf(l) == key }) {
					t.Fatalf("%s is wrongly assumed to hold %x", row.server, key)
				}
			}
		}
	})
}

// TestReadingsAreBounded checks that a log without readers stays within its limit, and that
// a position of another log counts as the end or the beginning of this one instead of
// addressing missing rows.
func TestReadingsAreBounded(t *testing.T) {
	r := NewPrefillLog()
	r.SetServers([]string{"a"})
	for i := range 3 * maxPrefills {
		r.Add(1, "a", []uint32{uint32(i)})
	}
	packed, next := r.Since(1)
	if len(packed) != len(r.rows)*prefillBytes || len(r.rows) > maxPrefills || next != 3*maxPrefills {
		t.Errorf("%d bytes of %d rows, next position %d", len(packed), len(r.rows), next)
	}
	if packed, again := r.Since(next + 1000); len(packed) != 0 || again != next {
		t.Errorf("%d bytes past the end, next position %d", len(packed), again)
	}
}

// TestForget checks that a server which rejected a prompt is not assumed to hold links that
// it did not hold before.
func TestForget(t *testing.T) {
	h, chain := NewHolders(nil), Chain(parts(1, 2))
	h.Record("a", chain[:1], start)
	h.Forget("a", h.Record("a", chain, start))
	h.Forget("b", h.Record("b", chain, start))
	if h.HeldTokens("a", chain, start) != 1000 || h.HeldTokens("b", chain, start) != 0 || h.Len() != 1 {
		t.Errorf("%d and %d tokens held, %d links", h.HeldTokens("a", chain, start), h.HeldTokens("b", chain, start), h.Len())
	}
}
