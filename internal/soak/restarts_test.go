package soak

import (
	"testing"
	"time"
)

// TestRetryBudgetInRestarts guards against gateways that exceed the retry budget together when all
// of them start at once, with the leader or without, while servers reject most requests.
func TestRetryBudgetInRestarts(t *testing.T) {
	size := Size{Controls: 3, Gateways: 4, Backends: 3, RetryRatio: RestartRetryRatio}
	c := newCluster(t, size)
	result, err := Run(c, Plan{Seed: 1, Length: 8 * time.Second}.WithRestarts())
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range result.Breaches {
		t.Error(b)
	}
	if retries := c.countRetries(); retries == 0 {
		t.Error("no request was retried")
	}
	t.Logf("%d requests, %d served, %d retried", result.Sent, result.Served, c.countRetries())
}
