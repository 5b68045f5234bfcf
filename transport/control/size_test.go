package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// How gateways reach the leader in a test of size.
type way uint8

const (
	wholeLoads   way = iota // wholeLoads has all ask the leader, which tells all loads.
	changedLoads            // changedLoads has all ask the leader, which tells what changed.
	byRelays                // byRelays has relays ask it.
)

// traffic counts what passes between control instances and gateways in a time.
type traffic struct {
	leader   int // leader are the bytes that the leader sends.
	between  int // between are the bytes that cross between regions.
	within   int // within are those that do not.
	messages int // messages are those that cross between regions.
}

// add counts one message between two domains.
func (c *traffic) add(t *topology.Topology, from, to string, message any, ofLeader bool) {
	const head = 4 + 20 // The length of a frame and the name of the method, a number and an error.
	data, err := wireMode.Marshal(message)
	if err != nil {
		panic(err)
	}
	n := len(data) + head
	if ofLeader {
		c.leader += n
	}
	if t.Distance(from, to) == topology.OtherRegion {
		c.between += n
		c.messages++
		return
	}
	c.within += n
}

// wireMode encodes as the links between instances do.
var wireMode, _ = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

const (
	sizeServers = 3000
	sizeStep    = gatherTime             // sizeStep is a batch at the most.
	sizeTime    = 450 * time.Millisecond // sizeTime has each of 300 gateways ask once.
	sizeBegun   = 1900                   // sizeBegun are the requests that begin in a second, for about 1 s each.
)

// sizeWorld is a fleet of gateways with servers in three regions, without a network.
type sizeWorld struct {
	topology *topology.Topology
	domains  []string
	leader   *Uplink
	relays   map[string]*Relay // relays are by domain.
	gateways []*sizeGateway
	rnd      *rand.Rand
	traffic  traffic
}

type sizeGateway struct {
	gatewayCopy
	running map[string]int
	relay   *Relay // relay is nil for one that asks the leader.
	begun   int64
}

func newSizeWorld(gateways int, w way) *sizeWorld {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
	s := &sizeWorld{topology: topology.New(regions), domains: []string{"a1", "a2", "b1", "b2", "c1", "c2"}, relays: map[string]*Relay{}, rnd: rand.New(rand.NewPCG(1, 2))}
	s.leader = NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(s.topology))
	var list []protocol.Instance
	for i := range sizeServers {
		list = append(list, protocol.Instance{ID: fmt.Sprintf("i-%010x", i*7919), Service: "s", Domain: s.domains[i%6], Slots: 32})
	}
	s.leader.Install(1, []byte("document"))
	s.leader.SetServers(1, list)
	controls := []string{"a1", "a2", "b1", "b2", "c1"} // The leader is in a1.
	for _, domain := range controls[1:] {
		if w == byRelays {
			u := NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(s.topology))
			s.relays[domain] = NewRelay(u, nil, "control-"+domain, domain, metrics.NewRegistry())
		}
	}
	for i := range gateways {
		g := &sizeGateway{running: map[string]int{}}
		g.m = protocol.SyncMsg{Gateway: fmt.Sprintf("edge-%s-%d", s.domains[i%6], i), Life: rand.Uint64(), Domain: s.domains[i%6], Relayed: w == byRelays}
		l := link.New(s.topology, g.m.Domain, g.m.Gateway)
		l.Learn(controls, controls)
		if near := l.Choose("a1", clock.Now()); w == byRelays {
			g.relay = s.relays[near]
		}
		s.gateways = append(s.gateways, g)
	}
	for range sizeBegun {
		s.begin()
	}
	return s
}

// begin has a request begin at some gateway for some server.
func (s *sizeWorld) begin() *sizeGateway {
	g := s.gateways[s.rnd.IntN(len(s.gateways))]
	g.running[s.leader.order[s.rnd.IntN(sizeServers)]]++
	g.begun++
	return g
}

// take takes an answer without unpacking the list, whose servers do not count here.
func (g *sizeGateway) take(r *protocol.SyncReply) error {
	if r.Listed {
		g.m.Lister, g.m.Servers, r.Listed, r.List = r.Lister, r.Version, false, nil
		return nil
	}
	return g.gatewayCopy.take(r)
}

// step lets the time of one batch pass: requests begin and end, gateways whose turn it
// is ask.
func (s *sizeWorld) step(number int, w way) {
	for range s.due(number) {
		g := s.begin()
		for server, n := range g.running { // One ends, of as many as began within a second.
			if len(g.running) > sizeBegun/len(s.gateways) {
				if g.running[server] = n - 1; n == 1 {
					delete(g.running, server)
				}
			}
			break
		}
	}
	every := int(max(150*time.Millisecond, time.Duration(len(s.gateways))*1500*time.Microsecond) / sizeStep)
	var asking []*sizeGateway
	for i, g := range s.gateways {
		if i%every == number%every {
			asking = append(asking, g)
		}
	}
	s.ask(asking, number, w)
}

// ask has some gateways ask at once.
func (s *sizeWorld) ask(list []*sizeGateway, number int, w way) {
	s.leader.common = common{} // As if more time had passed than it is kept.
	waiting := map[*Relay][]*question{}
	for _, g := range list {
		g.report(number, w)
		if g.relay == nil {
			s.askLeader(g)
			continue
		}
		s.traffic.add(s.topology, g.m.Domain, g.relay.own, g.m, false)
		waiting[g.relay] = append(waiting[g.relay], &question{m: g.m, at: clock.Now(), answer: make(chan protocol.SyncReply, 1)})
	}
	for r, list := range waiting {
		s.askRelay(r, list)
	}
}

// due is how many requests begin in a step.
func (s *sizeWorld) due(number int) int {
	upTo := func(n int) int { return int(float64(n) * sizeBegun * sizeStep.Seconds()) }
	return upTo(number+1) - upTo(number)
}

// report makes the gateway's next question, as one of a busy gateway.
func (g *sizeGateway) report(number int, w way) {
	g.m.Clock, g.m.Gateways, g.m.Running = time.Now(), 300, nil
	for server, n := range g.running {
		g.m.Running = append(g.m.Running, protocol.ServerLoad{Server: server, Running: n})
	}
	g.m.Usage, g.m.Wants, g.m.Pressure = nil, nil, nil
	for i := range 3 {
		g.m.Usage = append(g.m.Usage, protocol.UsageRow{Window: 354358471, Workspace: fmt.Sprintf("wuti%d", 600+i), Count: g.begun + int64(number)})
	}
	g.m.Wants = append(g.m.Wants, protocol.QuotaWant{Workspace: "w", Units: 10.5, Waiting: 3.25})
	for _, service := range []string{"assistant-llm", "records-app"} {
		g.m.Pressure = append(g.m.Pressure, protocol.Pressure{Service: service, Begun: g.begun, Slow: g.begun / 9, Work: 7.7, Lanes: protocol.LaneTerms{Mean: 3021.7, Seen: 812, Parts: protocol.LaneParts{Tokens: 0.71, Work: 0.4, Short: 3.3}}})
	}
	if w == wholeLoads {
		g.m.Loads = protocol.LoadMark{}
	}
}

func (s *sizeWorld) askLeader(g *sizeGateway) {
	var reply protocol.SyncReply
	_ = s.leader.Sync(g.m, &reply)
	s.traffic.add(s.topology, g.m.Domain, "a1", g.m, false)
	s.traffic.add(s.topology, "a1", g.m.Domain, reply, true)
	if err := g.take(&reply); err != nil {
		panic(err)
	}
}

func (s *sizeWorld) askRelay(r *Relay, list []*question) {
	m, _ := r.compose("a1", list)
	var reply protocol.BatchReply
	_ = s.leader.Batch(m, &reply)
	s.traffic.add(s.topology, r.own, "a1", m, false)
	s.traffic.add(s.topology, "a1", r.own, reply, true)
	r.take(&exchange{leader: "a1", m: m, list: list}, &reply, 5*sizeStep)
	for _, q := range list {
		a := <-q.answer
		s.traffic.add(s.topology, r.own, q.m.Domain, a, false)
		for _, g := range s.gateways {
			if g.m.Gateway != q.m.Gateway {
				continue
			}
			if err := g.take(&a); err != nil || !a.Leads {
				panic(fmt.Sprint("no answer that counts: ", err))
			}
		}
	}
}

// TestBytesBetweenRegions checks what passes between control instances and gateways of
// three regions before 3,000 servers, in the steady state: with relays the leader sends
// less than a megabyte a second to 300 gateways, and what crosses between regions is a
// small part of what it is without.
func TestBytesBetweenRegions(t *testing.T) {
	rates := map[way]map[int]traffic{}
	for w, name := range []string{"whole loads", "changed loads", "relays"} {
		rates[way(w)] = map[int]traffic{}
		for _, gateways := range []int{30, 100, 300} {
			s := newSizeWorld(gateways, way(w))
			for range 2 {
				s.ask(s.gateways, 0, way(w)) // Lists, documents and all loads are told then.
			}
			steps := int(sizeTime / sizeStep)
			for number := range 2 * steps {
				if number == steps {
					s.traffic = traffic{} // Each has asked once since all did.
				}
				s.step(number, way(w))
			}
			rate := func(n int) int { return int(float64(n) / sizeTime.Seconds()) }
			r := traffic{rate(s.traffic.leader), rate(s.traffic.between), rate(s.traffic.within), rate(s.traffic.messages)}
			rates[way(w)][gateways] = r
			t.Logf("%-14s %3d gateways: the leader sends %8d bytes/s; between regions %8d bytes/s in %5d messages/s, within %8d bytes/s", name, gateways, r.leader, r.between, r.messages, r.within)
		}
	}
	relays, whole := rates[byRelays], rates[wholeLoads]
	if n := relays[300].leader; n >= 1_000_000 {
		t.Errorf("the leader sends %d bytes a second to 300 gateways", n)
	}
	for _, gateways := range []int{100, 300} {
		if relays[gateways].between*5 > whole[gateways].between {
			t.Errorf("%d gateways: %d bytes a second cross between regions, %d without relays", gateways, relays[gateways].between, whole[gateways].between)
		}
	}
	if a, b := relays[30].between, relays[300].between; b > 3*a {
		t.Errorf("%d bytes a second cross between regions for 30 gateways, %d for 300: they grow with the gateways", a, b)
	}
}
