package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// startSlowReader starts a caller that requests a large answer and reads one byte of it
// per second.
func startSlowReader(t *testing.T, address string, n int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := io.WriteString(conn, standin.Request(fmt.Sprintf("drip-%d", n), "/again/large", 2500)); err != nil {
		t.Fatal(err)
	}
	go func() {
		var b [1]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}()
}

// medianLatency sends requests of well-behaved callers and returns the median latency.
func medianLatency(t *testing.T, address, name string) time.Duration {
	t.Helper()
	const callers, asks = 50, 10
	var mu sync.Mutex
	var times []time.Duration
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			c := standin.NewClient(address)
			defer c.Close()
			for n := range asks {
				began := time.Now()
				r := c.Ask(fmt.Sprintf("%s-%d-%d", name, i, n), "/again/x")
				if r.Status != 200 || !r.Complete {
					t.Errorf("a well-behaved caller got status %d, complete %v", r.Status, r.Complete)
					return
				}
				mu.Lock()
				times = append(times, time.Since(began))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	slices.Sort(times)
	if len(times) == 0 {
		t.Fatal("no request was served")
	}
	return times[len(times)/2]
}

// laggingBytes returns the bytes that the first gateway buffers for slow callers.
func laggingBytes(t *testing.T, c *Cluster) int64 {
	t.Helper()
	resp, err := http.Get("http://" + hostPort(gatewayIP(0), c.ports.metrics) + "/dump")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var dump struct {
		Memory struct{ Causes map[string]int64 }
	}
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		t.Fatal(err)
	}
	text, err := http.Get("http://" + hostPort(gatewayIP(0), c.ports.metrics) + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer text.Body.Close()
	lines, err := io.ReadAll(text.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`weldstream_memory_held{cause="lag"} `, `weldstream_memory_held_for{workspace="` + standin.Tenant + `"} `, "weldstream_memory_bound ", "weldstream_memory_refused_total ", `weldstream_callers_slow_total{side="reads"} `} {
		if !strings.Contains(string(lines), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	t.Logf("held, by cause: %v", dump.Memory.Causes)
	return dump.Memory.Causes["lag"]
}

// TestSlowCallersDoNotDelayOthers has 500 callers read their answers from one gateway at a
// byte per second. Other callers are served about as fast as without them, the gateway's
// memory stays within its limit, and its shutdown ends in time.
func TestSlowCallersDoNotDelayOthers(t *testing.T) {
	// The race detector multiplies memory use, so this test builds the daemon without it.
	bin := filepath.Join(t.TempDir(), "weldstreamd")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/weldstreamd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	const memoryMB, slow = 184, 500
	usual := daemon
	daemon = bin
	c, _, _ := startCluster(t, Size{Controls: 3, Gateways: 1, Backends: 3, MemoryMB: memoryMB})
	daemon = usual
	address, gateway := c.Callers()[0], c.Proc("gateway-0")
	waitUntilServed(t, address, "first")
	alone := medianLatency(t, address, "alone")
	for n := range slow {
		startSlowReader(t, address, n)
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(requestPause) {
		if ran := c.Record.Count(time.Time{}, time.Now()); ran >= slow+1+500 {
			break // All answers are under way; the 500 of the well-behaved callers came before.
		}
		if time.Now().After(end) {
			t.Fatalf("the slow callers' requests did not all run: %d", c.Record.Count(time.Time{}, time.Now()))
		}
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(requestPause) { // Some answers are read completely first.
		held := laggingBytes(t, c)
		if held >= 10<<20 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("only %d bytes are buffered for slow callers", held)
		}
	}
	beside := medianLatency(t, address, "beside")
	t.Logf("median latency: %v without slow callers, %v beside %d; %d KB resident", alone, beside, slow, gateway.ResidentKB())
	// Five times leaves room for a machine on which other tests run.
	if beside > 5*alone+20*time.Millisecond {
		t.Errorf("median latency is %v beside slow callers, %v without them", beside, alone)
	}
	if kb := gateway.ResidentKB(); kb == 0 || kb > memoryMB<<10 {
		t.Errorf("the gateway uses %d KB, limit %d KB", kb, memoryMB<<10)
	}
	began := time.Now()
	if err := gateway.Stop(); err != nil {
		t.Errorf("stopped with %v", err)
	}
	t.Logf("stopped within %v", time.Since(began))
}

// TestServersAreNotSentMoreThanTheyBear has servers crash beyond 4 MB of buffered bodies,
// with more in flight than all of them can hold. The gateway learns the limit: servers
// hardly crash any more, requests without room are rejected as not run, and the others are
// served.
func TestServersAreNotSentMoreThanTheyBear(t *testing.T) {
	const maxBuffered, body, callers, asks = 4 << 20, 512 << 10, 40, 15
	c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 1, Backends: 3, MemoryMB: 512})
	for _, b := range c.Backends {
		b.MaxBufferedBytes, b.Pause, b.ReadPause = maxBuffered, 50*time.Millisecond, 0
	}
	waitUntilServed(t, c.Callers()[0], "first")
	for _, b := range c.Backends {
		b.SetFlaw(standin.Flaw{Slow: 4 * time.Second}) // Bodies accumulate until a server crashes.
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for n := range asks {
				a := Request{ID: fmt.Sprintf("big-%d-%d", i, n), Path: "/once/x", AtMostOnce: true, Padding: body}
				r := standin.AskPaced(c.Callers()[0], a.ID, a.Path, standin.Pacing{ChunkSize: 64 << 10, Padding: body})
				k.Observe(a, r)
				mu.Lock()
				statuses[r.Status]++
				mu.Unlock()
			}
		})
	}
	crashes := func() (sum int) {
		for _, b := range c.Backends {
			sum += b.Crashes()
		}
		return sum
	}
	for end := time.Now().Add(readyTimeout); crashes() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no server crashed")
		}
	}
	for _, b := range c.Backends {
		b.SetFlaw(standin.Flaw{})
	}
	all.Wait()
	t.Logf("%d crashes, answers by status: %v", crashes(), statuses)
	// Without a limit each server crashes with about every ninth body that it gets.
	if crashes() > callers*asks/40 {
		t.Errorf("servers crashed %d times", crashes())
	}
	if statuses[200] < callers*asks/10 {
		t.Errorf("answers by status: %v", statuses)
	}
	k.Finish()
	for _, b := range k.Breaches() {
		t.Error(b)
	}
}
