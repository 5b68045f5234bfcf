package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// limitContact is how long after it named its limit first that holds.
	limitContact = 3 * time.Second
	// limitPause is between two requests at each gateway: together they send a server two to
	// three times the limit of the test.
	limitPause = 100 * time.Millisecond
	// limitOfTest is in requests a second.
	limitOfTest = 4.0
)

// TestServerThatNamesALimit is an incident told again. Seen: two servers that had named a
// limit of 2.4 and 2.6 requests a second in their answers each got 22 in 4 s. It came about
// as nothing changed for them: gateways sent them as many requests as before, and as many as to
// other servers. The cause is that what a server says of how much it takes was read nowhere, and
// that no gateway knew what the others sent it. What proved it: gateways that log what servers say log
// the limit in this test, and each goes on as before.
func TestServerThatNamesALimit(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, c *Cluster){
		"the control role stands": func(*testing.T, *Cluster) {},
		"the leader dies": func(t *testing.T, c *Cluster) {
			c.procs[leaderOf(t, c, -1)].Kill()
		},
		"no leader stands": func(t *testing.T, c *Cluster) {
			leader := leaderOf(t, c, -1)
			c.procs[leader].Kill()
			c.procs[(leader+1)%c.Size.Controls].Kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, k, _ := cluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
			for g, address := range c.Callers() {
				served(t, address, fmt.Sprint("before-", g))
			}
			ctx, stop := context.WithCancel(t.Context())
			wait := askingAll(ctx, c, k)
			time.Sleep(limitWindow / 4) // The servers have their usual load.
			limited := c.Backends[:2]
			for _, b := range limited {
				b.SetLimit(limitOfTest)
			}
			named := time.Now()
			time.Sleep(limitContact / 2)
			disturb(t, c)
			time.Sleep(limitContact + limitWindow)
			stop()
			wait()
			for _, b := range limited {
				checkLimit(t, b, named)
			}
			k.Finish()
			for _, b := range slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches()) {
				t.Error(b)
			}
		})
	}
}

// askingAll has a caller at each gateway ask again and again, until ctx ends. The func that
// it returns waits for their last answers.
func askingAll(ctx context.Context, c *Cluster, k *Checker) (wait func()) {
	var callers sync.WaitGroup
	for g, address := range c.Callers() {
		callers.Go(func() {
			client := standin.NewClient(address)
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				a := paths[n%len(paths)]
				a.ID = fmt.Sprintf("g%d-%d", g, n)
				k.Note(a, client.Ask(a.ID, a.Path))
				time.Sleep(limitPause)
			}
		})
	}
	return callers.Wait
}

// checkLimit checks that a server got no more than it bears in any window, and that it was
// not left out.
func checkLimit(t *testing.T, b *standin.Backend, named time.Time) {
	t.Helper()
	taken := b.ReceivedTimes()
	allowed := int(limitFactor*limitOfTest*limitWindow.Seconds() + limitBurst)
	most, behind := 0, 0
	for i, at := range taken {
		if at.Sub(named) < limitContact {
			continue
		}
		behind++
		first, _ := slices.BinarySearchFunc(taken, at.Add(-limitWindow), time.Time.Compare)
		most = max(most, i+1-first)
	}
	t.Logf("%s got %d requests in a window at the most, %d behind the first %v", b.ID, most, behind, limitContact)
	if most > allowed {
		t.Errorf("%s got %d requests in %v; allowed %d", b.ID, most, limitWindow, allowed)
	}
	if behind == 0 {
		t.Errorf("%s got no request any more", b.ID)
	}
}
