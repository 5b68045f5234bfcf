package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// stopTimeBefore and stopTimeAfter are how long before and after the signal callers send requests. A
	// gateway serves for longer than that behind it.
	stopTimeBefore, stopTimeAfter = 500 * time.Millisecond, 2500 * time.Millisecond
	// stopInterval is the pause between two requests.
	stopInterval = 50 * time.Millisecond
	// neverAnswered is longer than a gateway may take to stop.
	neverAnswered = time.Minute
)

// TestPlannedStopAnswersAll checks that each request that a gateway has read while it stops gets an answer,
// also if its server never gives one.
func TestPlannedStopAnswersAll(t *testing.T) {
	for name, prepare := range map[string]func(b *standin.Backend){
		"servers that answer":             func(*standin.Backend) {},
		"servers that never answer":       func(b *standin.Backend) { b.SetFlaw(standin.Flaw{Slow: neverAnswered}) },
		"servers that name a small limit": func(b *standin.Backend) { b.SetLimit(0.3) },
	} {
		t.Run(name, func(t *testing.T) {
			c, k, _ := startCluster(t, small)
			serveAll(t, c, "before")
			for _, b := range c.Backends {
				prepare(b)
			}
			ended := stopLater(c.procs[c.Size.Controls])
			statuses := askSteadily(t, c.Callers()[0], stopTimeBefore+stopTimeAfter)
			if err := <-ended; err != nil {
				t.Error(err)
			}
			t.Logf("answers by status: %v", statuses)
			reportBreaches(t, c, k)
		})
	}
}

// TestPlannedStopOfHelperCutsNothing checks that requests which a gateway passes on are answered while one of
// the gateways that it passes them on to stops.
func TestPlannedStopOfHelperCutsNothing(t *testing.T) {
	c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 3, Backends: 4, Sources: true})
	serveAll(t, c, "before")
	restore := c.CutOff(0)
	defer restore()
	time.Sleep(cutEffectTime)
	ended := stopLater(c.procs[c.Size.Controls+1])
	statuses := askSteadily(t, c.Callers()[0], 2*stopTimeAfter+stopTimeBefore)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	t.Logf("answers by status: %v", statuses)
	if statuses[200] == 0 {
		t.Error("no request was passed on")
	}
	reportBreaches(t, c, k)
}

// stopLater stops a process stopTimeBefore later. The channel receives its exit error.
func stopLater(p *Proc) <-chan error {
	ended := make(chan error, 1)
	go func() {
		time.Sleep(stopTimeBefore)
		ended <- p.Stop()
	}()
	return ended
}

// askSteadily sends requests over new connections for a time, every second one not to be repeated, and
// returns the number of answers by status. It reports each request that is cut off without an answer.
func askSteadily(t *testing.T, address string, lasting time.Duration) map[int]int {
	var all sync.WaitGroup
	var mu sync.Mutex // mu guards statuses.
	statuses := map[int]int{}
	began := time.Now()
	for n := 0; time.Since(began) < lasting; n++ {
		sent := time.Since(began) - stopTimeBefore
		all.Go(func() {
			path := "/again/x"
			if n%2 == 1 {
				path = "/once/x"
			}
			client := standin.NewClient(address)
			defer client.Close()
			r := client.Ask(fmt.Sprint("stop-", n), path)
			if !r.Complete {
				t.Errorf("request %d for %s, sent %v behind the signal, was cut off: %+v", n, path, sent, r)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[r.Status]++
		})
		time.Sleep(stopInterval)
	}
	all.Wait()
	return statuses
}
