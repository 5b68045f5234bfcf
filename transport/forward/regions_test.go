package forward

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// regional makes a world's gateway one of domain a, beside b in its region and c in
// another one.
func (w *world) regional(log io.Writer) metrics.Registry {
	r := metrics.NewRegistry()
	w.g.cfg.Topology = topology.New(map[string]string{"a": "near", "b": "near", "c": "far"})
	w.g.paths.trips = topology.NewTrips(w.g.cfg.Topology, w.g.cfg.Domain)
	w.g.meters = newMeters(r)
	w.g.log = zerolog.New(log)
	return r
}

// lines are what is logged, as far as there is room.
type lines chan string

// Write implements io.Writer.
func (l lines) Write(p []byte) (int, error) {
	select {
	case l <- string(p):
	default:
	}
	return len(p), nil
}

// in adds a server in a domain.
func (w *world) in(domain, id string, serve func(net.Conn, *fasthttp.Request)) *backendServer {
	b := w.backend(id, serve)
	w.servers[len(w.servers)-1].Domain = domain
	w.g.SetServers(w.servers)
	return b
}

// counted returns a counter's value.
func counted(t *testing.T, r metrics.Registry, name string) int64 {
	t.Helper()
	c, ok := r.Get(name).(metrics.Counter)
	if !ok {
		t.Fatalf("no counter %s", name)
	}
	return c.Count()
}

// TestBytesByDistance checks that attempts and bytes are counted by how far away the
// server is, those of a kept connection too.
func TestBytesByDistance(t *testing.T) {
	const each = 5000
	w := newWorld(t)
	r := w.regional(io.Discard)
	w.install(protocol.PathRoute{Attempts: 1})
	long := func(c net.Conn, _ *fasthttp.Request) { say(c, 200, "", strings.Repeat("y", each)) }
	for i, domain := range []string{"a", "b", "c"} {
		w.servers = nil
		w.in(domain, fmt.Sprint("server-", i), long)
		for range 2 {
			if got := w.send(strings.Repeat("x", each)); got.status != 200 {
				t.Fatalf("%s: %+v", domain, got)
			}
		}
	}
	for _, d := range distances {
		if n := counted(t, r, fmt.Sprintf("servers.attempts{distance=%q}", d)); n != 2 {
			t.Errorf("%s: %d attempts, want 2", d, n)
		}
		for _, cause := range []string{"request", "answer"} {
			n := counted(t, r, fmt.Sprintf("servers.bytes{cause=%q,distance=%q}", cause, d))
			if n < 2*each || n > 2*each+1000 {
				t.Errorf("%s: %d bytes of %ss, want two of %d with their heads", d, n, cause, each)
			}
		}
	}
}

// TestRegionCutOff checks that a request is answered from another region at once when
// the servers of the own one cannot be reached, and from the own region again as soon as
// one there can be.
func TestRegionCutOff(t *testing.T) {
	w := newWorld(t)
	r := w.regional(io.Discard)
	w.install(protocol.PathRoute{Attempts: 3})
	once := func(c net.Conn, _ *fasthttp.Request) {
		say(c, 200, "Connection: close\r\n", "fine") // A connection that is kept would outlast the cut.
		_ = c.Close()
	}
	near, far := w.in("a", "near", once), w.in("c", "far", once)
	across := func() int64 { return counted(t, r, `servers.attempts{distance="other region"}`) }
	if got := w.ask(); got.status != 200 || across() != 0 || near.runs.Load() != 1 {
		t.Fatalf("at first: %+v, %d went across", got, across())
	}
	address := w.servers[0].Address
	w.servers[0].Address = "127.0.0.1:1" // Nobody listens there.
	w.g.SetServers(w.servers)
	for i := range 3 {
		if got := w.ask(); got.status != 200 {
			t.Fatalf("cut off, request %d: %+v", i, got)
		}
	}
	if across() != 3 || far.runs.Load() != 3 {
		t.Fatalf("cut off: %d of 3 went across", across())
	}
	w.servers[0].Address = address
	w.g.SetServers(w.servers)
	if got := w.ask(); got.status != 200 || across() != 3 || near.runs.Load() != 2 {
		t.Errorf("back again: %+v, %d went across", got, across())
	}
}

// TestUnplacedDomains checks that a server's domain without a region is logged and
// counted once where there are several regions, and never without.
func TestUnplacedDomains(t *testing.T) {
	var log bytes.Buffer
	w := newWorld(t)
	r := w.regional(&log)
	gauge := func() int64 { return r.Get("domains.unplaced").(metrics.Gauge).Value() }
	list := []protocol.Instance{{ID: "1", Service: "s", Domain: "a"}, {ID: "2", Service: "s", Domain: "d"}}
	w.g.SetServers(list)
	w.g.SetServers(list)
	if n := strings.Count(log.String(), "domains without a region"); n != 1 || gauge() != 1 {
		t.Errorf("logged %d times, %d domains: %s", n, gauge(), log.String())
	}
	if !strings.Contains(log.String(), `"domains":["d"]`) {
		t.Errorf("the domain is not named: %s", log.String())
	}
	w.g.SetServers(list[:1])
	if gauge() != 0 {
		t.Errorf("%d domains after the server left", gauge())
	}
	w.g.cfg.Topology = nil
	log.Reset()
	w.g.SetServers(list)
	if gauge() != 0 || strings.Contains(log.String(), "without a region") {
		t.Errorf("without regions: %s", log.String())
	}
}

// TestAttemptTellsRegion checks that the log line of an attempt has region and distance.
func TestAttemptTellsRegion(t *testing.T) {
	log := make(lines, 100)
	w := newWorld(t)
	w.regional(log)
	w.install(protocol.PathRoute{Attempts: 1})
	w.in("c", "far", good)
	if got := w.ask(); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	for line := range log {
		if strings.Contains(line, `"message":"attempt"`) {
			if !strings.Contains(line, `"region":"far","distance":"other region"`) {
				t.Errorf("region and distance are not told: %s", line)
			}
			return
		}
	}
}

// TestFurtherThanTheirRegion checks that a domain of the own region whose connects take
// longer than those to another region is logged and counted once, and that connects
// which fail are counted by distance.
func TestFurtherThanTheirRegion(t *testing.T) {
	var log bytes.Buffer
	w := newWorld(t)
	r := w.regional(&log)
	server := func(domain string) *place.Server {
		return &place.Server{Instance: protocol.Instance{Domain: domain}}
	}
	for range 30 {
		w.g.noteConnect(server("a"), time.Millisecond, false)
		w.g.noteConnect(server("b"), 40*time.Millisecond, false)
		w.g.noteConnect(server("c"), 16*time.Millisecond, false)
	}
	w.g.noteConnect(server("c"), 0, true)
	if n := strings.Count(log.String(), "domains whose round trips contradict their region"); n != 1 || !strings.Contains(log.String(), `"domains":["b"]`) {
		t.Errorf("logged %d times: %s", n, log.String())
	}
	gauge := func(name string) int64 { return r.Get(name).(metrics.Gauge).Value() }
	if n := gauge("domains.further"); n != 1 {
		t.Errorf("%d domains counted", n)
	}
	if us := gauge(`servers.trip.us{distance="other region"}`); us != 16_000 {
		t.Errorf("a round trip across takes %d us, want 16,000", us)
	}
	if n := counted(t, r, `servers.connects.failed{distance="other region"}`); n != 1 {
		t.Errorf("%d connects across failed, want 1", n)
	}
	want := []DistanceStats{{Distance: "same domain", TripUS: 1000}, {Distance: "same region", TripUS: 40_000}, {Distance: "other region", TripUS: 16_000, Failed: 1}}
	if ways := w.g.StatsByDistance(); !slices.Equal(ways, want) {
		t.Errorf("seen %+v, want %+v", ways, want)
	}
}
