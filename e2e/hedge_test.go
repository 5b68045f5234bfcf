package e2e

import (
	"fmt"
	"strings"
	"testing"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
)

// TestHedgedCalls delays the answers of one of two service replicas beyond every
// deadline. Repeatable calls are hedged and answered by the other replica. Calls
// that must run at most once are never hedged.
func TestHedgedCalls(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, services: 2})
	c.apply(1, strings.Replace(configText(), "name: gantry,", "name: gantry, hedge: true,", 1))
	d := c.daemons[0]
	lookUp := request{path: "/services/gantry/plates", body: "{}"}.with(protocol.HeaderDeadline, "10s")
	for range 100 { // Successful calls fill the hedging budget.
		if got := d.send(lookUp); got.status != 200 {
			t.Fatalf("answered %d: %s", got.status, got.body)
		}
	}
	c.services[0].faults(standin.Faults{DelayMS: 60_000})
	before := d.count("hedges")
	eventually(t, "a call is hedged", func() bool {
		if got := d.send(lookUp); got.status != 200 {
			t.Fatalf("answered %d: %s", got.status, got.body)
		}
		return d.count("hedges") > before
	})
	c.services[0].faults(standin.Faults{DelayMS: 300}) // Late enough for a hedge, in time for the deadline.
	for i := range 10 {
		key := fmt.Sprint("charge-", i)
		d.send(request{path: "/services/gantry/charge", body: "{}"}.atMostOnce(key))
		runs := c.services[0].serviceStats().Runs[key] + c.services[1].serviceStats().Runs[key]
		if runs != 1 {
			t.Errorf("a call that must run at most once was sent %d times", runs)
		}
	}
}

// count returns the value of one of the instance's counters.
func (d *daemon) count(name string) int64 {
	var m map[string]struct{ Count int64 }
	d.adminGet("/metrics", &m)
	return m[name].Count
}
