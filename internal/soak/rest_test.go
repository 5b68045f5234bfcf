package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// requestedRest is the retry delay that servers of these tests send.
	requestedRest = 3 * time.Second
	// restSlack is how long after the answer with a retry delay a gateway may still send
	// requests.
	restSlack = 500 * time.Millisecond
	// maxDuringRest is how many requests a server tolerates from a gateway after that and
	// before the delay has passed.
	maxDuringRest = 2
	// shedEvery makes a server shed every shedEvery-th request with a retry delay.
	shedEvery = 3
)

// TestServerThatAsksForRest replays an incident: a server that had rejected a gateway's
// request with 503 and a retry delay of 3 s got five more requests from that gateway
// within it. A request that is rejected as not run did not count as load, so the idle
// server was chosen again at once; nothing read the delay in the answer. The evidence:
// gateways that log what servers send log the delay in this test, and continue to send.
func TestServerThatAsksForRest(t *testing.T) {
	c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("before-", g))
	}
	ctx, stop := context.WithCancel(t.Context())
	wait := startCallers(ctx, c, k)
	resting := c.Backends[:2]
	for _, b := range resting {
		b.SetRetryAfter(shedEvery, requestedRest)
	}
	time.Sleep(3 * requestedRest)
	stop()
	wait()
	for _, b := range resting {
		checkRest(t, b, c.Size.Gateways)
	}
	reportBreaches(t, c, k)
}

// checkRest checks that no gateway sent a server more requests than it tolerates within
// the retry delay.
func checkRest(t *testing.T, b *standin.Backend, gateways int) {
	t.Helper()
	came, asked := b.ReceivedRequests(), 0
	for g := range gateways {
		own := slices.DeleteFunc(slices.Clone(came), func(c standin.ReceivedRequest) bool { return !strings.HasPrefix(c.ID, fmt.Sprintf("g%d-", g)) })
		for i, c := range own {
			if c.RetryAfter == 0 {
				continue
			}
			asked++
			n := 0
			for _, later := range own[i+1:] {
				if d := later.At.Sub(c.At); d > restSlack && d < c.RetryAfter {
					n++
				}
			}
			if n > maxDuringRest {
				t.Errorf("%s sent gateway %d a retry delay of %v with %s, and got %d requests from it within it", b.ID, g, c.RetryAfter, c.ID, n)
			}
		}
	}
	t.Logf("%s sent a retry delay %d times", b.ID, asked)
	if asked == 0 {
		t.Errorf("%s sent no retry delay", b.ID)
	}
}

// TestServerThatSaysItLeaves has a server announce in its answers that it leaves while the
// platform's list still shows it as staying. A gateway that got such an answer sends the
// server nothing later than drained after it.
func TestServerThatSaysItLeaves(t *testing.T) {
	const drained = 3 * time.Second
	c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("before-", g))
	}
	ctx, stop := context.WithCancel(t.Context())
	wait := startCallers(ctx, c, k)
	time.Sleep(time.Second)
	leaver := c.Backends[0]
	announced := time.Now()
	leaver.AnnounceLeaving()
	time.Sleep(2 * drained)
	stop()
	wait()
	informed := map[string]time.Time{} // informed is when each gateway got the first such answer.
	for _, r := range leaver.ReceivedRequests() {
		gateway, _, _ := strings.Cut(r.ID, "-")
		if r.At.Before(announced) {
			continue
		}
		if informed[gateway].IsZero() {
			informed[gateway] = r.At
		}
		if d := r.At.Sub(informed[gateway]); d > drained {
			t.Errorf("%s reached the server %v after the answer that announced its leaving", r.ID, d)
		}
	}
	if len(informed) == 0 {
		t.Error("no gateway got the announcement")
	}
	reportBreaches(t, c, k)
}
