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

// dripping is a caller who asks for a large answer and takes a byte of it a second.
func dripping(t *testing.T, address string, n int) {
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

// median has good callers ask, and returns the median time of an answer.
func median(t *testing.T, address, name string) time.Duration {
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
					t.Errorf("a good caller got %d, whole %v", r.Status, r.Complete)
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
		t.Fatal("nobody was served")
	}
	return times[len(times)/2]
}

// lagging returns the bytes that the first gateway holds for callers who lag.
func lagging(t *testing.T, c *Cluster) int64 {
	t.Helper()
	resp, err := http.Get("http://" + at(gatewayIP(0), c.ports.metrics) + "/dump")
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
	text, err := http.Get("http://" + at(gatewayIP(0), c.ports.metrics) + "/metrics")
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

// TestSlowCallersHoldNobodyUp has 500 callers take a byte a second of their answers at one
// gateway. Good callers beside them are served about as fast as alone, the gateway's
// memory stays within its limit, and an order to stop is carried out in time.
func TestSlowCallersHoldNobodyUp(t *testing.T) {
	// The race detector multiplies memory, so this test's daemon goes without.
	bin := filepath.Join(t.TempDir(), "weldstreamd")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/weldstreamd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	const memoryMB, slow = 184, 500
	usual := daemon
	daemon = bin
	c, _, _ := cluster(t, Size{Controls: 3, Gateways: 1, Backends: 3, MemoryMB: memoryMB})
	daemon = usual
	address, gateway := c.Callers()[0], c.Proc("gateway-0")
	served(t, address, "first")
	alone := median(t, address, "alone")
	for n := range slow {
		dripping(t, address, n)
	}
	for end := time.Now().Add(readyTime); ; time.Sleep(askPause) {
		if ran := c.Record.Count(time.Time{}, time.Now()); ran >= slow+1+500 {
			break // All answers are under way, the good callers' 500 before them.
		}
		if time.Now().After(end) {
			t.Fatalf("the slow callers' requests did not all run: %d", c.Record.Count(time.Time{}, time.Now()))
		}
	}
	for end := time.Now().Add(readyTime); ; time.Sleep(askPause) { // Some answers are read whole first.
		held := lagging(t, c)
		if held >= 10<<20 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("only %d bytes are held for slow callers", held)
		}
	}
	beside := median(t, address, "beside")
	t.Logf("a good caller's median: %v alone, %v beside %d slow ones; %d KB resident", alone, beside, slow, gateway.ResidentKB())
	// Five times leaves room for a machine on which other tests run.
	if beside > 5*alone+20*time.Millisecond {
		t.Errorf("a good caller waits %v beside slow ones, %v alone", beside, alone)
	}
	if kb := gateway.ResidentKB(); kb == 0 || kb > memoryMB<<10 {
		t.Errorf("the gateway takes %d KB of %d", kb, memoryMB<<10)
	}
	began := time.Now()
	if err := gateway.Stop(); err != nil {
		t.Errorf("stopped with %v", err)
	}
	t.Logf("stopped within %v", time.Since(began))
}

// TestServersAreSparedTheirFalls has servers fall over beyond 4 MB of bodies, with more on
// the way than all of them bear. The gateway learns it: they hardly ever fall over any
// more, what has no room is refused as not run, and the others are served.
func TestServersAreSparedTheirFalls(t *testing.T) {
	const bears, body, callers, asks = 4 << 20, 512 << 10, 40, 15
	c, k, _ := cluster(t, Size{Controls: 3, Gateways: 1, Backends: 3, MemoryMB: 512})
	for _, b := range c.Backends {
		b.MaxBufferedBytes, b.Pause, b.ReadPause = bears, 50*time.Millisecond, 0
	}
	served(t, c.Callers()[0], "first")
	for _, b := range c.Backends {
		b.SetFlaw(standin.Flaw{Slow: 4 * time.Second}) // Bodies gather until a server falls over.
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for n := range asks {
				a := Ask{ID: fmt.Sprintf("big-%d-%d", i, n), Path: "/once/x", Once: true, Pad: body}
				r := standin.AskPaced(c.Callers()[0], a.ID, a.Path, standin.Pacing{ChunkSize: 64 << 10, Padding: body})
				k.Note(a, r)
				mu.Lock()
				statuses[r.Status]++
				mu.Unlock()
			}
		})
	}
	falls := func() (sum int) {
		for _, b := range c.Backends {
			sum += b.Crashes()
		}
		return sum
	}
	for end := time.Now().Add(readyTime); falls() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no server fell over")
		}
	}
	for _, b := range c.Backends {
		b.SetFlaw(standin.Flaw{})
	}
	all.Wait()
	t.Logf("%d falls, answers by status: %v", falls(), statuses)
	// Without a limit each server falls over with about every ninth body that it gets.
	if falls() > callers*asks/40 {
		t.Errorf("servers fell over %d times", falls())
	}
	if statuses[200] < callers*asks/10 {
		t.Errorf("answers by status: %v", statuses)
	}
	k.Finish()
	for _, b := range k.Breaches() {
		t.Error(b)
	}
}
