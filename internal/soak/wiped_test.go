package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestDisksLostWhileAllEnd has every process end at the same moment, right after a
// configuration was acknowledged, and as many disks lost as are borne, that of the leader
// among them: what was acknowledged is there behind it, and all gateways serve.
func TestDisksLostWhileAllEnd(t *testing.T) {
	c, k, o := cluster(t, Size{Controls: 5, Gateways: 3, Backends: 3})
	for g, address := range c.Callers() {
		served(t, address, fmt.Sprint("before-", g))
	}
	for i := range c.Size.Controls {
		votes(t, c, i) // Before that fewer losses are borne.
	}
	for number := uint64(50); number < 53; number++ {
		for end := time.Now().Add(readyTime); !o.Put(number); {
			if time.Now().After(end) {
				t.Fatalf("configuration %d is not acknowledged", number)
			}
		}
	}
	leader := leaderOf(t, c, -1)
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
	for end := time.Now().Add(readyTime); !o.Get(0); time.Sleep(askPause) {
		if time.Now().After(end) {
			t.Fatal("no configuration is read back")
		}
	}
	for g, address := range c.Callers() {
		served(t, address, fmt.Sprint("behind-", g))
	}
	for i := range c.Size.Controls {
		votes(t, c, i)
	}
	k.Finish()
	for _, b := range slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches()) {
		t.Error(b)
	}
}
