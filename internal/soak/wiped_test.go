package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestDisksLostWhileAllEnd kills all processes at once, right after a configuration was
// acknowledged, and wipes as many disks as the quorum tolerates, that of the leader among
// them: the acknowledged configuration survives, and all gateways serve.
func TestDisksLostWhileAllEnd(t *testing.T) {
	c, k, o := startCluster(t, Size{Controls: 5, Gateways: 3, Backends: 3})
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("before-", g))
	}
	for i := range c.Size.Controls {
		waitForVoter(t, c, i) // Until then fewer losses are tolerated.
	}
	for number := uint64(50); number < 53; number++ {
		for end := time.Now().Add(readyTimeout); !o.Put(number); {
			if time.Now().After(end) {
				t.Fatalf("configuration %d was not acknowledged", number)
			}
		}
	}
	leader := waitForLeader(t, c, -1)
	for _, p := range c.procs {
		p.Kill()
	}
	for i := range (c.Size.Controls - 1) / 2 {
		if err := c.procs[(leader+i)%c.Size.Controls].Wipe(); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(readyTimeout); !o.Get(0); time.Sleep(requestPause) {
		if time.Now().After(end) {
			t.Fatal("no configuration could be read back")
		}
	}
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("behind-", g))
	}
	for i := range c.Size.Controls {
		waitForVoter(t, c, i)
	}
	reportBreaches(t, c, k)
}
