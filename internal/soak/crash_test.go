package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// crashDuration is how long requests that crash servers are sent.
const crashDuration = 7 * time.Second

// TestRequestThatEndsServers replays an incident: 59 servers of a model service crashed
// one by one within a minute under the requests of one workspace, each of which was sent
// to as many servers as its route allows. The same request came repeatedly with other ids
// at all gateways, and every gateway treated it as a new one, as nothing of a request but
// its id was remembered or shared. The evidence was the same fingerprint in all crashed
// servers, here as in the gateways' logs.
func TestRequestThatEndsServers(t *testing.T) {
	c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 3, Backends: 6})
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("before-", g))
	}
	stop := c.enableCrashes()
	end := time.Now().Add(crashDuration)
	var callers sync.WaitGroup
	for g, address := range c.Callers() {
		for name, path := range crashPaths {
			callers.Go(func() {
				sendCrashRequests(address, fmt.Sprint(name, g), path, name, func() bool { return time.Now().Before(end) })
			})
		}
		callers.Go(func() { sendHarmlessRequests(k, address, g, end) })
	}
	callers.Wait()
	stop()
	for _, text := range crashBreaches(c.Record, time.Time{}) {
		t.Error(text)
	}
	for body, list := range c.Record.Arrivals() {
		t.Logf("%q was sent to servers %d times, the last %v after the first", body, len(list), list[len(list)-1].At.Sub(list[0].At))
	}
	if n := len(c.Record.Arrivals()); n != 2 {
		t.Errorf("%d distinct requests that crash servers arrived at servers, want 2", n)
	}
	reportBreaches(t, c, k)
}

// sendHarmlessRequests sends requests that do not crash servers, until end.
func sendHarmlessRequests(k *Checker, address string, g int, end time.Time) {
	client := standin.NewClient(address)
	defer client.Close()
	for n := 0; time.Now().Before(end); n++ {
		a := requestKinds[n%len(requestKinds)]
		a.ID = fmt.Sprintf("beside-%d-%d", g, n)
		k.Observe(a, client.Ask(a.ID, a.Path))
		time.Sleep(requestPause)
	}
}

// TestCrashSeeds runs plans with requests that crash servers next to all other faults. The
// other steps of a seed stay as they are.
func TestCrashSeeds(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		plan := DrawPlan(seed, 5*time.Second, small).WithCrashes()
		if result := runPlan(t, small, plan); result.ServersCrashed == 0 {
			t.Errorf("seed %d: no server crashed", seed)
		}
	}
}
