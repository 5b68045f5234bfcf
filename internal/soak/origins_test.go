package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// outlivingStreams is the number of streams that are begun before all gateways are killed.
	outlivingStreams = 12
	// outlivingEvents is the number of events that their callers have by then.
	outlivingEvents = 3
	// outlivingPause is the pause between two tries to go on with a stream.
	outlivingPause = 100 * time.Millisecond
)

// TestStreamsOutliveAllGateways checks that callers go on with their streams, each at its version, after
// all gateways were killed at once, since control instances keep the origins of streams as well.
func TestStreamsOutliveAllGateways(t *testing.T) {
	for name, c := range map[string]struct {
		versions   []string
		withLeader bool
	}{
		"two versions":                    {[]string{firstVersion, secondVersion}, false},
		"two versions, leader killed too": {[]string{firstVersion, secondVersion}, true},
		"one version":                     {[]string{firstVersion}, false},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, Size{Controls: 3, Gateways: 3, Backends: 4})
			for i, b := range cluster.Backends {
				b.Version, b.Pause = c.versions[i%len(c.versions)], markedPause
			}
			k, _ := start(t, cluster)
			serveAll(t, cluster, "before")
			begun := beginStreams(cluster)
			procs := cluster.procs[cluster.Size.Controls:]
			if c.withLeader {
				procs = append(procs[:len(procs):len(procs)], cluster.procs[waitForLeader(t, cluster, -1)])
			}
			restartAll(t, procs)
			serveAll(t, cluster, "after")
			streams := &markedStreams{cluster: cluster, checker: k}
			for n, events := range begun {
				id := fmt.Sprint("outliving-", n)
				if len(events) == 0 {
					t.Errorf("stream %d did not begin", n)
					continue
				}
				more, whole := resumeStream(cluster, id, n, len(events))
				if !whole {
					t.Errorf("stream %d did not go on behind %q", n, events[len(events)-1])
				}
				streams.check(id, append(events, more...), whole)
			}
			reportBreaches(t, cluster, k)
		})
	}
}

// serveAll waits until all gateways serve.
func serveAll(t *testing.T, c *Cluster, name string) {
	t.Helper()
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint(name, "-", g))
	}
}

// beginStreams begins streams at all gateways and returns the events that each caller has when its
// connection breaks.
func beginStreams(c *Cluster) (begun [outlivingStreams][]string) {
	callers := c.Callers()
	var all sync.WaitGroup
	for n := range begun {
		all.Go(func() {
			id := fmt.Sprint("outliving-", n)
			begun[n], _ = wholeEvents(standin.AskForStream(callers[n%len(callers)], standin.StreamRequest{ID: id, Began: id, Most: outlivingEvents}))
		})
	}
	all.Wait()
	return begun
}

// restartAll kills processes at once and starts them again.
func restartAll(t *testing.T, procs []*Proc) {
	t.Helper()
	var killed sync.WaitGroup
	for _, p := range procs {
		killed.Go(p.Kill)
	}
	killed.Wait()
	for _, p := range procs {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// resumeStream goes on with a stream at another gateway than the one that began it.
func resumeStream(c *Cluster, id string, n, last int) (events []string, whole bool) {
	callers := c.Callers()
	for try := range maxResumptions {
		a := standin.StreamRequest{ID: fmt.Sprintf("%s-%d", id, try), Began: id, Last: last}
		events, whole = wholeEvents(standin.AskForStream(callers[(n+1+try)%len(callers)], a))
		if whole {
			break
		}
		time.Sleep(outlivingPause)
	}
	return events, whole
}
