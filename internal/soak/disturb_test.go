package soak

import (
	"testing"
	"time"
)

// TestPlansWithCutOffsAndBrittleServers runs short plans in which gateways are cut off from all
// servers and servers are brittle, beside the other faults, and checks that nothing is broken.
func TestPlansWithCutOffsAndBrittleServers(t *testing.T) {
	size := Size{Controls: 3, Gateways: 4, Backends: 4, Sources: true}
	for name, plan := range map[string]Plan{
		"cut off":          DrawPlan(1, 8*time.Second, size).WithCutOffs(size),
		"brittle":          Plan{Seed: 2, Length: 8 * time.Second}.WithBrittleServers(),
		"brittle, cut off": Plan{Seed: 3, Length: 8 * time.Second}.WithCutOffs(size).WithBrittleServers(),
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, size)
			result, err := Run(c, plan)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range result.Breaches {
				t.Error(b)
			}
			if result.Served == 0 {
				t.Error("no request was served")
			}
			t.Logf("%d faults, %d of %d requests served, %d falls", len(plan.Steps), result.Served, result.Sent, result.Falls)
		})
	}
}
