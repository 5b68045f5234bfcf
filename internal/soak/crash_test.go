package soak

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// crashTime is for how long requests that end servers come.
const crashTime = 7 * time.Second

// TestRequestThatEndsServers is an incident told again. Seen: 59 servers of a model service
// ended in a minute, one by one, under requests of one workspace, each of which was sent to
// as many servers as its route allows. It came about as the same request came again and
// again, with other ids, at all gateways, and each of them took it for a new one. The cause
// is that nothing was remembered of a request beyond its id, nor told to others. What proved it: the
// same fingerprint in all servers that ended, here as in the log lines of gateways.
func TestRequestThatEndsServers(t *testing.T) {
	c, k, _ := cluster(t, Size{Controls: 3, Gateways: 3, Backends: 6})
	for g, address := range c.Callers() {
		served(t, address, fmt.Sprint("before-", g))
	}
	stop := c.letCrash()
	end := time.Now().Add(crashTime)
	var callers sync.WaitGroup
	for g, address := range c.Callers() {
		for name, path := range crashPaths {
			callers.Go(func() {
				sendCrashing(address, fmt.Sprint(name, g), path, name, func() bool { return time.Now().Before(end) })
			})
		}
		callers.Go(func() { askMeanwhile(k, address, g, end) })
	}
	callers.Wait()
	stop()
	for _, text := range crashBreaches(c.Record, time.Time{}) {
		t.Error(text)
	}
	for body, list := range c.Record.Arrivals() {
		t.Logf("%q came to servers %d times, the last time %v behind the first", body, len(list), list[len(list)-1].At.Sub(list[0].At))
	}
	if n := len(c.Record.Arrivals()); n != 2 {
		t.Errorf("%d requests that end servers came to any; want 2", n)
	}
	k.Finish()
	for _, b := range slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches()) {
		t.Error(b)
	}
}

// askMeanwhile sends requests that do no harm.
func askMeanwhile(k *Checker, address string, g int, end time.Time) {
	client := standin.NewClient(address)
	defer client.Close()
	for n := 0; time.Now().Before(end); n++ {
		a := paths[n%len(paths)]
		a.ID = fmt.Sprintf("beside-%d-%d", g, n)
		k.Note(a, client.Ask(a.ID, a.Path))
		time.Sleep(askPause)
	}
}

// TestCrashSeeds plays plans in which requests that end servers come all the while, beside
// all other faults. The other steps of a seed stay as they are.
func TestCrashSeeds(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		plan := DrawPlan(seed, 5*time.Second, small).WithCrashes()
		if result := played(t, small, plan); result.ServersCrashed == 0 {
			t.Errorf("seed %d: no server ended", seed)
		}
	}
}
