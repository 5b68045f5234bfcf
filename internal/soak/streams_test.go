package soak

import (
	"testing"
	"time"
)

// TestStreamsKeepTheirVersion guards against streams that hold events of two software versions, and
// against truncated ones that look complete, while servers of both versions end and break streams,
// gateways are killed and callers go on with their streams at any gateway. At least half of the
// resumptions must go on.
func TestStreamsKeepTheirVersion(t *testing.T) {
	for name, plan := range map[string]Plan{
		"servers end":         {Seed: 1, Length: 4 * time.Second},
		"seed 3, with faults": DrawPlan(3, 4*time.Second, small),
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, small)
			result, err := Run(c, plan.WithStreams())
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range result.Breaches {
				t.Error(b)
			}
			s := result.Streams
			t.Logf("%d streams begun, %d whole, %d resumptions, %d went on", s.Begun, s.Whole, s.Resumed, s.WentOn)
			if s.Begun == 0 || s.Resumed < 12 || 2*s.WentOn < s.Resumed {
				t.Errorf("%d of %d resumptions went on", s.WentOn, s.Resumed)
			}
		})
	}
}
