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

// setRegions puts the gateway into failure domain a, with b in the same region and c in
// another one.
func (w *testGateway) setRegions(log io.Writer) metrics.Registry {
	r := metrics.NewRegistry()
	w.g.cfg.Topology = topology.New(map[string]string{"a": "near", "b": "near", "c": "far"})
	w.g.roundTrips.roundTrips = topology.NewRoundTrips(w.g.cfg.Topology, w.g.cfg.Domain)
	w.g.meters = newMeters(r)
	w.g.log = zerolog.New(log)
	return r
}

// logLines receives log lines while there is room in the channel.
type logLines chan string

// Write implements io.Writer.
func (l logLines) Write(p []byte) (int, error) {
	select {
	case l <- string(p):
	default:
	}
	return len(p), nil
}

// backendIn adds a server in a failure domain.
func (w *testGateway) backendIn(domain, id string, serve func(net.Conn, *fasthttp.Request)) *backendServer {
	b := w.backend(id, serve)
	w.servers[len(w.servers)-1].Domain = domain
	w.g.SetServers(w.servers)
	return b
}

// counterValue returns a counter's value.
func counterValue(t *testing.T, r metrics.Registry, name string) int64 {
	t.Helper()
	c, ok := r.Get(name).(metrics.Counter)
	if !ok {
		t.Fatalf("no counter %s", name)
	}
	return c.Count()
}

// TestBytesByDistance checks that attempts and bytes are counted by distance, including those
// on reused connections.
func TestBytesByDistance(t *testing.T) {
	const each = 5000
	w := newTestGateway(t)
	r := w.setRegions(io.Discard)
	w.install(protocol.PathRoute{Attempts: 1})
	long := func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 200, "", strings.Repeat("y", each)) }
	for i, domain := range []string{"a", "b", "c"} {
		w.servers = nil
		w.backendIn(domain, fmt.Sprint("server-", i), long)
		for range 2 {
			if got := w.send(strings.Repeat("x", each)); got.status != 200 {
				t.Fatalf("%s: %+v", domain, got)
			}
		}
	}
	for _, d := range distances {
		if n := counterValue(t, r, fmt.Sprintf("servers.attempts{distance=%q}", d)); n != 2 {
			t.Errorf("%s: %d attempts, want 2", d, n)
		}
		for _, cause := range []string{"request", "answer"} {
			n := counterValue(t, r, fmt.Sprintf("servers.bytes{cause=%q,distance=%q}", cause, d))
			if n < 2*each || n > 2*each+1000 {
				t.Errorf("%s: %d bytes of %ss, want two of %d with their heads", d, n, cause, each)
			}
		}
	}
}

// TestRegionUnreachable checks that a request is answered from another region at once while
// the servers of the gateway's region are unreachable, and from its own region as soon as one
// is reachable again.
func TestRegionUnreachable(t *testing.T) {
	w := newTestGateway(t)
	r := w.setRegions(io.Discard)
	w.install(protocol.PathRoute{Attempts: 3})
	once := func(c net.Conn, _ *fasthttp.Request) {
		writeAnswer(c, 200, "Connection: close\r\n", "fine") // A kept connection would survive the partition.
		_ = c.Close()
	}
	near, far := w.backendIn("a", "near", once), w.backendIn("c", "far", once)
	otherRegion := func() int64 { return counterValue(t, r, `servers.attempts{distance="other region"}`) }
	if got := w.ask(); got.status != 200 || otherRegion() != 0 || near.runs.Load() != 1 {
		t.Fatalf("at first: %+v, %d went to the other region", got, otherRegion())
	}
	address := w.servers[0].Address
	w.servers[0].Address = "127.0.0.1:1" // Nothing listens on this port.
	w.g.SetServers(w.servers)
	for i := range 3 {
		if got := w.ask(); got.status != 200 {
			t.Fatalf("unreachable, request %d: %+v", i, got)
		}
	}
	if otherRegion() != 3 || far.runs.Load() != 3 {
		t.Fatalf("unreachable: %d of 3 went to the other region", otherRegion())
	}
	w.servers[0].Address = address
	w.g.SetServers(w.servers)
	if got := w.ask(); got.status != 200 || otherRegion() != 3 || near.runs.Load() != 2 {
		t.Errorf("reachable again: %+v, %d went to the other region", got, otherRegion())
	}
}

// TestDomainsWithoutRegion checks that a failure domain without a region is logged and
// counted once if there are several regions, and not at all otherwise.
func TestDomainsWithoutRegion(t *testing.T) {
	var log bytes.Buffer
	w := newTestGateway(t)
	r := w.setRegions(&log)
	gauge := func() int64 { return r.Get("domains.unplaced").(metrics.Gauge).Value() }
	list := []protocol.Instance{{ID: "1", Service: "s", Domain: "a"}, {ID: "2", Service: "s", Domain: "d"}}
	w.g.SetServers(list)
	w.g.SetServers(list)
	if n := strings.Count(log.String(), "domains without a region"); n != 1 || gauge() != 1 {
		t.Errorf("logged %d times, %d domains: %s", n, gauge(), log.String())
	}
	if !strings.Contains(log.String(), `"domains":["d"]`) {
		t.Errorf("the failure domain is not logged: %s", log.String())
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

// TestAttemptLogsRegion checks that the log line of an attempt contains region and distance.
func TestAttemptLogsRegion(t *testing.T) {
	log := make(logLines, 100)
	w := newTestGateway(t)
	w.setRegions(log)
	w.install(protocol.PathRoute{Attempts: 1})
	w.backendIn("c", "far", answerOK)
	if got := w.ask(); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	for line := range log {
		if strings.Contains(line, `"message":"attempt"`) {
			if !strings.Contains(line, `"region":"far","distance":"other region"`) {
				t.Errorf("region and distance are not logged: %s", line)
			}
			return
		}
	}
}

// TestRoundTripsContradictRegion checks that a failure domain of the gateway's region is
// logged and counted once if connects to it take longer than connects to another region, and
// that failed connects are counted by distance.
func TestRoundTripsContradictRegion(t *testing.T) {
	var log bytes.Buffer
	w := newTestGateway(t)
	r := w.setRegions(&log)
	server := func(domain string) *place.Server {
		return &place.Server{Instance: protocol.Instance{Domain: domain}}
	}
	for range 30 {
		w.g.recordConnect(server("a"), time.Millisecond, false)
		w.g.recordConnect(server("b"), 40*time.Millisecond, false)
		w.g.recordConnect(server("c"), 16*time.Millisecond, false)
	}
	w.g.recordConnect(server("c"), 0, true)
	if n := strings.Count(log.String(), "domains whose round trips contradict their region"); n != 1 || !strings.Contains(log.String(), `"domains":["b"]`) {
		t.Errorf("logged %d times: %s", n, log.String())
	}
	gauge := func(name string) int64 { return r.Get(name).(metrics.Gauge).Value() }
	if n := gauge("domains.further"); n != 1 {
		t.Errorf("%d domains counted", n)
	}
	if us := gauge(`servers.trip.us{distance="other region"}`); us != 16_000 {
		t.Errorf("a round trip to the other region takes %d us, want 16,000", us)
	}
	if n := counterValue(t, r, `servers.connects.failed{distance="other region"}`); n != 1 {
		t.Errorf("%d connects to the other region failed, want 1", n)
	}
	want := []DistanceStats{{Distance: "same domain", TripUS: 1000}, {Distance: "same region", TripUS: 40_000}, {Distance: "other region", TripUS: 16_000, Failed: 1}}
	if ways := w.g.StatsByDistance(); !slices.Equal(ways, want) {
		t.Errorf("statistics %+v, want %+v", ways, want)
	}
}
