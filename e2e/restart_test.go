package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport"
)

// applyDirect applies a configuration through the admin API instead of weldctl,
// whose start-up would dominate the time of hundreds of applies.
func (d *daemon) applyDirect(number int, text string) error {
	body := transport.ApplyRequest{Number: uint64(number), Files: []state.ConfigFile{{Path: "config.yaml", Data: text}}}
	resp, err := d.adminPost("/v1/config", body)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("apply %d answered %d", number, resp.StatusCode)
	}
	return nil
}

const manyChanges = 700

// TestRestartAfterManyChanges applies 700 configurations and restarts all
// instances. Once an instance is ready, the last configuration is in force.
func TestRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, settings: "replica: {snapshot_entries: 256}\n"})
	c.apply(1, configText())
	for n := 2; n <= manyChanges; n++ {
		if err := c.daemons[n%3].applyDirect(n, numberedConfig(n)); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range c.daemons {
		d.kill()
	}
	for _, d := range c.daemons {
		d.launch()
	}
	for _, d := range c.daemons {
		d.awaitReady()
		if got := d.dump().Number; got != manyChanges {
			t.Errorf("%s is ready with %d in force, want %d", d.name, got, manyChanges)
		}
	}
}

// TestFreshInstanceIsConfirmed starts a new instance that reaches no quorum, only
// an instance with an older configuration. It must not become ready until a
// quorum confirms the configuration.
func TestFreshInstanceIsConfirmed(t *testing.T) {
	c, n := newPartitionCluster(t)
	old := c.daemons[2]
	n.isolate(old.name, true)
	next := c.leader(old)
	if code, out := next.applyOn(2, numberedConfig(2)); code != 0 {
		t.Fatalf("apply: %d %s", code, out)
	}
	for _, d := range c.daemons {
		if d != old {
			d.kill()
		}
	}
	n.isolate(old.name, false)
	fresh := c.startDaemon("entry-4", "zone-a", "")
	eventually(t, "the fresh instance has the older configuration", func() bool { return fresh.dump().Number == 1 })
	if fresh.readyStatus() == http.StatusOK {
		t.Error("the fresh instance is ready with a configuration that no quorum confirmed")
	}
	c.daemons[0].launch()
	fresh.awaitReady()
	if got := fresh.dump().Number; got != 2 {
		t.Errorf("the fresh instance is ready with %d in force, want 2", got)
	}
}
