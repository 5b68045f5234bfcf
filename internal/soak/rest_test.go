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
	// restAsked is the rest that servers of these tests ask for.
	restAsked = 3 * time.Second
	// restSlack is how long behind the answer that asks for rest a gateway may still send.
	restSlack = 500 * time.Millisecond
	// restBears is how many requests a server bears from a gateway behind that and before the
	// end of the rest.
	restBears = 2
	// restShed is that every so many requests are turned away with it.
	restShed = 3
)

// TestServerThatAsksForRest is an incident told again. Seen: a server that had turned a
// gateway's request away with 503 and asked it for 3 s of rest got five more requests from that
// gateway within those. It came about as a request that is turned away as not run counted for
// nothing: the server had little to do and was chosen again at once, for the next requests too. The cause is that the
// time in such an answer was read nowhere. What proved it: gateways that log what servers say log the
// rest in this test, and send on.
func TestServerThatAsksForRest(t *testing.T) {
	c, k, _ := cluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
	for g, address := range c.Callers() {
		served(t, address, fmt.Sprint("before-", g))
	}
	ctx, stop := context.WithCancel(t.Context())
	wait := askingAll(ctx, c, k)
	tired := c.Backends[:2]
	for _, b := range tired {
		b.SetRetryAfter(restShed, restAsked)
	}
	time.Sleep(3 * restAsked)
	stop()
	wait()
	for _, b := range tired {
		checkRest(t, b, c.Size.Gateways)
	}
	k.Finish()
	for _, b := range slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches()) {
		t.Error(b)
	}
}

// checkRest checks that no gateway sent a server more than it bears while that wanted rest.
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
			if n > restBears {
				t.Errorf("%s asked gateway %d for %v of rest with %s, and got %d requests from it in that time", b.ID, g, c.RetryAfter, c.ID, n)
			}
		}
	}
	t.Logf("%s asked for rest %d times", b.ID, asked)
	if asked == 0 {
		t.Errorf("%s asked nobody for rest", b.ID)
	}
}

// TestServerThatSaysItLeaves has a server say in its answers that it leaves while the
// platform's list goes on to show it as one that stays. A gateway that passed such an
// answer on sends it nothing that comes later than drained behind it.
func TestServerThatSaysItLeaves(t *testing.T) {
	const drained = 3 * time.Second
	c, k, _ := cluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
	for g, address := range c.Callers() {
		served(t, address, fmt.Sprint("before-", g))
	}
	ctx, stop := context.WithCancel(t.Context())
	wait := askingAll(ctx, c, k)
	time.Sleep(time.Second)
	leaver := c.Backends[0]
	said := time.Now()
	leaver.AnnounceLeaving()
	time.Sleep(2 * drained)
	stop()
	wait()
	told := map[string]time.Time{} // told is when each gateway got the first answer.
	for _, r := range leaver.ReceivedRequests() {
		gateway, _, _ := strings.Cut(r.ID, "-")
		if r.At.Before(said) {
			continue
		}
		if told[gateway].IsZero() {
			told[gateway] = r.At
		}
		if d := r.At.Sub(told[gateway]); d > drained {
			t.Errorf("%s reached the server %v behind the answer that said it leaves", r.ID, d)
		}
	}
	if len(told) == 0 {
		t.Error("no gateway was told")
	}
	k.Finish()
	for _, b := range slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches()) {
		t.Error(b)
	}
}
