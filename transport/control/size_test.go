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

// layout is where control instances and servers stand.
type layout struct {
	regions  map[string]string
	domains  []string
	controls []string // controls are the instances by address; the first one leads.
	servers  int
}

var (
	// threeRegions has a control instance in most domains, named by it.
	threeRegions = layout{
		regions:  map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		domains:  []string{"a1", "a2", "b1", "b2", "c1", "c2"},
		controls: []string{"a1", "a2", "b1", "b2", "c1"},
		servers:  sizeServers,
	}
	// oneRegion has two of them in most domains.
	oneRegion = layout{
		domains:  []string{"d1", "d2", "d3", "d4", "d5", "d6"},
		controls: []string{"d1", "d2", "d3", "d4", "d5", "d1-2", "d2-2", "d3-2", "d4-2", "d5-2"},
		servers:  sizeServers,
	}
)

// domainOf is the domain of a control instance.
func (l *layout) domainOf(address string) string { return address[:2] }

// sizeWorld is a fleet of gateways with servers, without a network.
type sizeWorld struct {
	layout
	topology *topology.Topology
	leader   *Uplink
	relays   map[string]*Relay // relays are by address.
	batches  int               // batches counts those that the leader answered.
	gateways []*sizeGateway
	share    int // share is how many gateways one instance answers.
	rnd      *rand.Rand
	traffic  traffic
}

type sizeGateway struct {
	gatewayCopy
	running map[string]int
	relay   *Relay // relay is nil for one that asks the leader.
	begun   int64
}

func newSizeWorld(gateways int, w way) *sizeWorld { return newSizeWorldIn(threeRegions, gateways, w) }

func newSizeWorldIn(at layout, gateways int, w way) *sizeWorld {
	s := &sizeWorld{layout: at, topology: topology.New(at.regions), relays: map[string]*Relay{}, rnd: rand.New(rand.NewPCG(1, 2))}
	s.leader = NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(s.topology))
	var list []protocol.Instance
	for i := range at.servers {
		list = append(list, protocol.Instance{ID: fmt.Sprintf("i-%010x", i*7919), Service: "s", Domain: s.domains[i%6], Slots: 32})
	}
	s.leader.Install(1, []byte("document"))
	s.leader.SetServers(1, list)
	var domains []string
	for i, address := range at.controls {
		domains = append(domains, at.domainOf(address))
		if w == byRelays && i > 0 {
			u := NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(s.topology))
			s.relays[address] = NewRelay(u, nil, "control-"+address, address, metrics.NewRegistry())
		}
	}
	for i := range gateways {
		g := &sizeGateway{running: map[string]int{}}
		g.m = protocol.SyncMsg{Gateway: fmt.Sprintf("edge-%s-%d", s.domains[i%6], i), Life: rand.Uint64(), Domain: s.domains[i%6], Relayed: w == byRelays}
		l := link.New(s.topology, g.m.Domain, g.m.Gateway)
		l.SetControls(at.controls, domains)
		l.SetGateways(gateways)
		if near := l.Choose(at.controls[0], clock.Now()); w == byRelays {
			g.relay = s.relays[near]
		}
		s.share = l.GatewaysPerInstance(gateways)
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
	g.running[s.leader.order[s.rnd.IntN(s.servers)]]++
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
	every := int(s.every() / sizeStep)
	var asking []*sizeGateway
	for i, g := range s.gateways {
		if i%every == number%every {
			asking = append(asking, g)
		}
	}
	s.ask(asking, number, w)
}

// every is the pause between two questions of each gateway.
func (s *sizeWorld) every() time.Duration {
	return max(150*time.Millisecond, time.Duration(s.share)*1500*time.Microsecond)
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
		s.traffic.add(s.topology, g.m.Domain, s.domainOf(g.relay.own), g.m, false)
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
	g.m.Wants = append(g.m.Wants, protocol.QuotaRequest{Workspace: "w", Units: 10.5, Waiting: 3.25})
	for _, service := range []string{"assistant-llm", "records-app"} {
		g.m.Pressure = append(g.m.Pressure, protocol.Pressure{Service: service, Begun: g.begun, Slow: g.begun / 9, Work: 7.7, Lanes: protocol.LaneParams{Mean: 3021.7, Seen: 812, Parts: protocol.LaneShares{Tokens: 0.71, Work: 0.4, Short: 3.3}}})
	}
	if w == wholeLoads {
		g.m.Loads = protocol.LoadVersion{}
	}
}

func (s *sizeWorld) askLeader(g *sizeGateway) {
	var reply protocol.SyncReply
	_ = s.leader.Sync(g.m, &reply)
	s.traffic.add(s.topology, g.m.Domain, s.domains[0], g.m, false)
	s.traffic.add(s.topology, s.domains[0], g.m.Domain, reply, true)
	if err := g.take(&reply); err != nil {
		panic(err)
	}
}

func (s *sizeWorld) askRelay(r *Relay, list []*question) {
	m, _ := r.compose(s.controls[0], list)
	s.batches++
	var reply protocol.BatchReply
	_ = s.leader.Batch(m, &reply)
	own := s.domainOf(r.own)
	s.traffic.add(s.topology, own, s.domains[0], m, false)
	s.traffic.add(s.topology, s.domains[0], own, reply, true)
	r.take(&exchange{leader: s.controls[0], m: m, list: list}, &reply, 5*sizeStep)
	for _, q := range list {
		a := <-q.answer
		s.traffic.add(s.topology, own, q.m.Domain, a, false)
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

// TestOneRegionOfAThousand checks the pattern of a thousand gateways in one region, and of
// twice as many, before as many servers as theirs: a change that the leader knows reaches all
// gateways within a pause that the share of one instance sets, and what the leader sends
// grows with the relays, not with the gateways.
func TestOneRegionOfAThousand(t *testing.T) {
	const (
		steps  = 120                   // steps are more than a pause.
		every  = 15 * time.Millisecond // every is what a relay gathers for.
		second = float64(time.Second) / float64(steps*every)
	)
	sent := map[way]map[int]int{changedLoads: {}, byRelays: {}}
	for _, size := range []struct{ gateways, servers int }{{300, 900}, {986, 2996}, {1972, 5992}} {
		at := oneRegion
		at.servers = size.servers
		for w := range sent {
			s := newSizeWorldIn(at, size.gateways, w)
			if w == changedLoads {
				s.share = size.gateways // All ask the leader.
			}
			for range 2 {
				s.ask(s.gateways, 0, w)
			}
			s.traffic, s.batches = traffic{}, 0
			pause := max(1, int(s.every()/every))
			for number := range steps {
				for range int(sizeBegun * every.Seconds()) {
					s.begin()
				}
				var asking []*sizeGateway
				for i, g := range s.gateways {
					if i%pause == number%pause {
						asking = append(asking, g)
					}
				}
				s.ask(asking, number, w)
			}
			sent[w][size.gateways] = int(float64(s.traffic.leader) * second)
			t.Logf("%4d gateways before %4d servers, by relays %5v: each asks every %4v; the leader answers %4.0f batches and sends %8d bytes a second", size.gateways, size.servers, w == byRelays, s.every(), float64(s.batches)*second, sent[w][size.gateways])
			if w == byRelays && s.every() > 350*time.Millisecond {
				t.Errorf("%d gateways: each asks every %v", size.gateways, s.every())
			}
		}
	}
	for _, gateways := range []int{300, 986, 1972} {
		if n := sent[byRelays][gateways]; n >= 1_000_000 || n >= sent[changedLoads][gateways] {
			t.Errorf("%d gateways: the leader sends %d bytes a second to relays, %d to all", gateways, n, sent[changedLoads][gateways])
		}
	}
}
