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

// syncMode is how gateways reach the leader in a size test.
type syncMode uint8

const (
	modeFullLoads   syncMode = iota // modeFullLoads: all gateways ask the leader, which sends all loads.
	modeLoadChanges                 // modeLoadChanges: all gateways ask the leader, which sends changes of loads.
	modeRelays                      // modeRelays: relays ask the leader.
)

// traffic counts the messages and bytes between control instances and gateways.
type traffic struct {
	leader   int // leader is the number of bytes that the leader sends.
	between  int // between is the number of bytes between regions.
	within   int // within is the number of bytes within regions.
	messages int // messages is the number of messages between regions.
}

// add counts one message between two domains.
func (c *traffic) add(t *topology.Topology, from, to string, message any, ofLeader bool) {
	const head = 4 + 20 // Frame length, method name, sequence number and error.
	data, err := cborMode.Marshal(message)
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

// cborMode encodes as the connections between instances do.
var cborMode, _ = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

const (
	simServers     = 3000
	simStep        = batchDelay             // simStep is at most the time between two batches.
	simTime        = 450 * time.Millisecond // simTime is enough for each of 300 gateways to send a request.
	simRequestRate = 1900                   // simRequestRate is the number of requests that start per second; each runs for about 1 s.
)

// layout is the distribution of control instances and servers.
type layout struct {
	regions  map[string]string
	domains  []string
	controls []string // controls are the instances by address; the first one leads.
	servers  int
}

var (
	// threeRegions has a control instance in most domains, named after the domain.
	threeRegions = layout{
		regions:  map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		domains:  []string{"a1", "a2", "b1", "b2", "c1", "c2"},
		controls: []string{"a1", "a2", "b1", "b2", "c1"},
		servers:  simServers,
	}
	// oneRegion has two of them in most domains.
	oneRegion = layout{
		domains:  []string{"d1", "d2", "d3", "d4", "d5", "d6"},
		controls: []string{"d1", "d2", "d3", "d4", "d5", "d1-2", "d2-2", "d3-2", "d4-2", "d5-2"},
		servers:  simServers,
	}
)

// domainOf returns the domain of a control instance.
func (l *layout) domainOf(address string) string { return address[:2] }

// fleetSim simulates a fleet of gateways and servers without a network.
type fleetSim struct {
	layout
	topology *topology.Topology
	leader   *Uplink
	relays   map[string]*Relay // relays are by address.
	batches  int               // batches is the number of batches that the leader answered.
	gateways []*simGateway
	share    int // share is the number of gateways per control instance.
	rnd      *rand.Rand
	traffic  traffic
}

type simGateway struct {
	gatewayState
	running map[string]int
	relay   *Relay // relay is nil for a gateway that asks the leader.
	begun   int64
}

func newFleetSim(gateways int, w syncMode) *fleetSim { return newFleetSimIn(threeRegions, gateways, w) }

func newFleetSimIn(at layout, gateways int, w syncMode) *fleetSim {
	s := &fleetSim{layout: at, topology: topology.New(at.regions), relays: map[string]*Relay{}, rnd: rand.New(rand.NewPCG(1, 2))}
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
		if w == modeRelays && i > 0 {
			u := NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(s.topology))
			s.relays[address] = NewRelay(u, nil, "control-"+address, address, metrics.NewRegistry())
		}
	}
	for i := range gateways {
		g := &simGateway{running: map[string]int{}}
		g.m = protocol.SyncMsg{Gateway: fmt.Sprintf("edge-%s-%d", s.domains[i%6], i), Life: rand.Uint64(), Domain: s.domains[i%6], Relayed: w == modeRelays}
		l := link.New(s.topology, g.m.Domain, g.m.Gateway)
		l.SetControls(at.controls, domains)
		l.SetGateways(gateways)
		if near := l.Choose(at.controls[0], clock.Now()); w == modeRelays {
			g.relay = s.relays[near]
		}
		s.share = l.GatewaysPerInstance(gateways)
		s.gateways = append(s.gateways, g)
	}
	for range simRequestRate {
		s.startRequest()
	}
	return s
}

// startRequest starts a request at a random gateway and server.
func (s *fleetSim) startRequest() *simGateway {
	g := s.gateways[s.rnd.IntN(len(s.gateways))]
	g.running[s.leader.serverOrder[s.rnd.IntN(s.servers)]]++
	g.begun++
	return g
}

// apply applies an answer without unpacking the list, whose servers do not matter here.
func (g *simGateway) apply(r *protocol.SyncReply) error {
	if r.Listed {
		g.m.Lister, g.m.Servers, r.Listed, r.List = r.Lister, r.Version, false, nil
		return nil
	}
	return g.gatewayState.apply(r)
}

// step simulates the time of one batch: requests start and end, and the gateways whose turn it
// is send a request.
func (s *fleetSim) step(number int, w syncMode) {
	for range s.requestsIn(number) {
		g := s.startRequest()
		for server, n := range g.running { // One request ends, of as many as started within a second.
			if len(g.running) > simRequestRate/len(s.gateways) {
				if g.running[server] = n - 1; n == 1 {
					delete(g.running, server)
				}
			}
			break
		}
	}
	every := int(s.syncInterval() / simStep)
	var asking []*simGateway
	for i, g := range s.gateways {
		if i%every == number%every {
			asking = append(asking, g)
		}
	}
	s.ask(asking, number, w)
}

// syncInterval is the time between two requests of each gateway.
func (s *fleetSim) syncInterval() time.Duration {
	return max(150*time.Millisecond, time.Duration(s.share)*1500*time.Microsecond)
}

// ask sends the requests of some gateways at once.
func (s *fleetSim) ask(list []*simGateway, number int, w syncMode) {
	s.leader.common = commonReply{} // As if it had expired.
	waiting := map[*Relay][]*pendingSync{}
	for _, g := range list {
		g.report(number, w)
		if g.relay == nil {
			s.askLeader(g)
			continue
		}
		s.traffic.add(s.topology, g.m.Domain, s.domainOf(g.relay.peer), g.m, false)
		waiting[g.relay] = append(waiting[g.relay], &pendingSync{m: g.m, receivedAt: clock.Now(), reply: make(chan protocol.SyncReply, 1)})
	}
	for r, list := range waiting {
		s.askRelay(r, list)
	}
}

// requestsIn is the number of requests that start in a step.
func (s *fleetSim) requestsIn(number int) int {
	upTo := func(n int) int { return int(float64(n) * simRequestRate * simStep.Seconds()) }
	return upTo(number+1) - upTo(number)
}

// report builds the next request of a busy gateway.
func (g *simGateway) report(number int, w syncMode) {
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
	if w == modeFullLoads {
		g.m.Loads = protocol.LoadVersion{}
	}
}

func (s *fleetSim) askLeader(g *simGateway) {
	var reply protocol.SyncReply
	_ = s.leader.Sync(g.m, &reply)
	s.traffic.add(s.topology, g.m.Domain, s.domains[0], g.m, false)
	s.traffic.add(s.topology, s.domains[0], g.m.Domain, reply, true)
	if err := g.apply(&reply); err != nil {
		panic(err)
	}
}

func (s *fleetSim) askRelay(r *Relay, list []*pendingSync) {
	m, _ := r.newBatch(s.controls[0], list)
	s.batches++
	var reply protocol.BatchReply
	_ = s.leader.Batch(m, &reply)
	own := s.domainOf(r.peer)
	s.traffic.add(s.topology, own, s.domains[0], m, false)
	s.traffic.add(s.topology, s.domains[0], own, reply, true)
	r.handleReply(&exchange{leader: s.controls[0], m: m, pending: list}, &reply, 5*simStep)
	for _, q := range list {
		a := <-q.reply
		s.traffic.add(s.topology, own, q.m.Domain, a, false)
		for _, g := range s.gateways {
			if g.m.Gateway != q.m.Gateway {
				continue
			}
			if err := g.apply(&a); err != nil || !a.Leads {
				panic(fmt.Sprint("invalid answer: ", err))
			}
		}
	}
}

// TestBytesBetweenRegions checks the traffic between control instances and gateways of three
// regions with 3,000 servers in the steady state: with relays the leader sends less than a
// megabyte per second to 300 gateways, and the traffic between regions is a small fraction of
// that without relays.
func TestBytesBetweenRegions(t *testing.T) {
	rates := map[syncMode]map[int]traffic{}
	for w, name := range []string{"whole loads", "changed loads", "relays"} {
		rates[syncMode(w)] = map[int]traffic{}
		for _, gateways := range []int{30, 100, 300} {
			s := newFleetSim(gateways, syncMode(w))
			for range 2 {
				s.ask(s.gateways, 0, syncMode(w)) // This transfers lists, documents and all loads.
			}
			steps := int(simTime / simStep)
			for number := range 2 * steps {
				if number == steps {
					s.traffic = traffic{} // All gateways have sent a request since then.
				}
				s.step(number, syncMode(w))
			}
			rate := func(n int) int { return int(float64(n) / simTime.Seconds()) }
			r := traffic{rate(s.traffic.leader), rate(s.traffic.between), rate(s.traffic.within), rate(s.traffic.messages)}
			rates[syncMode(w)][gateways] = r
			t.Logf("%-14s %3d gateways: the leader sends %8d bytes/s; between regions %8d bytes/s in %5d messages/s, within %8d bytes/s", name, gateways, r.leader, r.between, r.messages, r.within)
		}
	}
	relays, whole := rates[modeRelays], rates[modeFullLoads]
	if n := relays[300].leader; n >= 1_000_000 {
		t.Errorf("the leader sends %d bytes/s to 300 gateways", n)
	}
	for _, gateways := range []int{100, 300} {
		if relays[gateways].between*5 > whole[gateways].between {
			t.Errorf("%d gateways: %d bytes/s between regions, %d without relays", gateways, relays[gateways].between, whole[gateways].between)
		}
	}
	if a, b := relays[30].between, relays[300].between; b > 3*a {
		t.Errorf("traffic between regions grows with the gateways: %d bytes/s for 30, %d for 300", a, b)
	}
}

// TestThousandGatewaysInOneRegion checks the case of a thousand gateways in one region, and of
// twice as many with twice the servers: a change that the leader knows reaches all gateways
// within an interval that depends on the number of gateways per instance, and the leader's
// traffic grows with the relays, not with the gateways.
func TestThousandGatewaysInOneRegion(t *testing.T) {
	const (
		steps  = 120                   // steps cover more than an interval.
		every  = 15 * time.Millisecond // every is how long a relay collects requests.
		second = float64(time.Second) / float64(steps*every)
	)
	sent := map[syncMode]map[int]int{modeLoadChanges: {}, modeRelays: {}}
	for _, size := range []struct{ gateways, servers int }{{300, 900}, {986, 2996}, {1972, 5992}} {
		at := oneRegion
		at.servers = size.servers
		for w := range sent {
			s := newFleetSimIn(at, size.gateways, w)
			if w == modeLoadChanges {
				s.share = size.gateways // All gateways ask the leader.
			}
			for range 2 {
				s.ask(s.gateways, 0, w)
			}
			s.traffic, s.batches = traffic{}, 0
			pause := max(1, int(s.syncInterval()/every))
			for number := range steps {
				for range int(simRequestRate * every.Seconds()) {
					s.startRequest()
				}
				var asking []*simGateway
				for i, g := range s.gateways {
					if i%pause == number%pause {
						asking = append(asking, g)
					}
				}
				s.ask(asking, number, w)
			}
			sent[w][size.gateways] = int(float64(s.traffic.leader) * second)
			t.Logf("%4d gateways, %4d servers, relays %5v: each sends a request every %4v; the leader answers %4.0f batches/s and sends %8d bytes/s", size.gateways, size.servers, w == modeRelays, s.syncInterval(), float64(s.batches)*second, sent[w][size.gateways])
			if w == modeRelays && s.syncInterval() > 350*time.Millisecond {
				t.Errorf("%d gateways: each sends a request every %v", size.gateways, s.syncInterval())
			}
		}
	}
	for _, gateways := range []int{300, 986, 1972} {
		if n := sent[modeRelays][gateways]; n >= 1_000_000 || n >= sent[modeLoadChanges][gateways] {
			t.Errorf("%d gateways: the leader sends %d bytes/s to relays, %d to gateways directly", gateways, n, sent[modeLoadChanges][gateways])
		}
	}
}
