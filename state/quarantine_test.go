package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

func fingerprint(n uint64) protocol.Fingerprint {
	return protocol.Fingerprint{Quick: n % 7, Content: [2]uint64{n, n}}
}

func applyQuarantine(m *Machine, at int64, msg protocol.QuarantineMsg) {
	m.Apply(&protocol.Command{At: at, Quarantine: &msg})
}

func hold(n uint64) protocol.QuarantineMsg {
	return protocol.QuarantineMsg{Hold: []protocol.HoldRequest{{Fingerprint: fingerprint(n), Servers: 3}}}
}

func try(n uint64, trials int) protocol.QuarantineMsg {
	return protocol.QuarantineMsg{Try: []protocol.TryRequest{{Fingerprint: fingerprint(n), Gateway: "g", Trials: trials}}}
}

func free(n uint64) protocol.QuarantineMsg {
	return protocol.QuarantineMsg{Free: []protocol.Fingerprint{fingerprint(n)}}
}

// TestQuarantineEntries checks when a held request gets its trials: soon at first, and
// later after delays that double. Duplicate commands have no effect.
func TestQuarantineEntries(t *testing.T) {
	const hour = 3_600_000
	m := NewMachine()
	for _, step := range []struct {
		name   string
		at     int64
		msg    protocol.QuarantineMsg
		held   bool
		trials int
		until  int64
	}{
		{"held", 100, hold(1), true, 0, 30_100},
		{"held again immediately", 200, hold(1), true, 0, 30_100},
		{"tried", 31_000, try(1, 0), true, 1, 61_000},
		{"duplicate of the trial", 32_000, try(1, 0), true, 1, 61_000},
		{"tried a second time", 33_000, try(1, 1), true, 2, 33_000 + hour},
		{"tried a third time", 34_000, try(1, 2), true, 3, 34_000 + 2*hour},
		{"released", 34_000, free(1), false, 0, 0},
		{"tried after its release", 34_000, try(1, 0), false, 0, 0},
		{"held again after its release", 35_000, hold(1), true, 0, 65_000},
	} {
		applyQuarantine(m, step.at, step.msg)
		e := m.QuarantineLog().Entries[0]
		if e.Held != step.held || e.Trials != step.trials || e.Until != step.until {
			t.Errorf("%s: %+v", step.name, e)
		}
	}
	before := m.QuarantineLog().Changes
	applyQuarantine(m, 36_000, hold(1))
	applyQuarantine(m, 36_000, free(2))
	if after := m.QuarantineLog().Changes; after != before {
		t.Errorf("commands without effect raised the change number from %d to %d", before, after)
	}
}

// TestQuarantineUpdates checks that a copy that receives updates at any time and from
// any state matches the log, also after a snapshot and after evictions, and that the
// number of entries stays within its limit.
func TestQuarantineUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		var known uint64
		held := map[protocol.Fingerprint]bool{}
		update := func() {
			l := m.QuarantineLog()
			u := l.UpdateSince(known)
			if u == nil {
				return
			}
			if u.Whole {
				clear(held)
			}
			for _, h := range u.Held {
				held[h.Fingerprint] = true
			}
			for _, f := range u.Free {
				delete(held, f)
			}
			known = u.Changes
		}
		next := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				applyQuarantine(m, 1, hold(rapid.Uint64Range(1, 9).Draw(t, "request")))
			},
			"free": func(t *rapid.T) {
				applyQuarantine(m, 1, free(rapid.Uint64Range(1, 9).Draw(t, "request")))
			},
			"try": func(t *rapid.T) {
				applyQuarantine(m, 1, try(rapid.Uint64Range(1, 9).Draw(t, "request"), rapid.IntRange(0, 2).Draw(t, "trials")))
			},
			"many": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				var msg protocol.QuarantineMsg
				for range 1500 {
					next++
					msg.Hold = append(msg.Hold, hold(100+next).Hold...)
				}
				applyQuarantine(m, 1, msg)
			},
			"snapshot": func(t *rapid.T) {
				data, err := m.Image().Encode()
				if err != nil {
					t.Fatal(err)
				}
				restored := NewMachine()
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(m.QuarantineLog(), restored.QuarantineLog()); diff != "" {
					t.Fatal(diff)
				}
				m = restored
			},
			"tell": func(*rapid.T) { update() },
			"start anew": func(*rapid.T) {
				known = 0
				clear(held)
			},
			"": func(t *rapid.T) {
				if n := len(m.QuarantineLog().Entries); n > maxQuarantined {
					t.Fatalf("%d entries", n)
				}
			},
		})
		update()
		want := map[protocol.Fingerprint]bool{}
		for _, e := range m.QuarantineLog().Entries {
			if e.Held {
				want[e.Fingerprint] = true
			}
		}
		if diff := cmp.Diff(want, held); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestQuarantineCommand checks that a quarantine command survives encoding and
// decoding.
func TestQuarantineCommand(t *testing.T) {
	msg := hold(1)
	msg.Try, msg.Free = try(2, 1).Try, free(3).Free
	data, err := EncodeCommand(&protocol.Command{At: 7, Quarantine: &msg})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&msg, got.Quarantine); diff != "" {
		t.Error(diff)
	}
}

// TestQuarantineEviction checks that released requests are evicted before held ones,
// and that a copy from before an eviction receives a complete update.
func TestQuarantineEviction(t *testing.T) {
	m := NewMachine()
	var all protocol.QuarantineMsg
	for n := range uint64(maxQuarantined) {
		all.Hold = append(all.Hold, hold(n).Hold...)
	}
	applyQuarantine(m, 1, all)
	released := protocol.QuarantineMsg{}
	for n := range uint64(2000) {
		released.Free = append(released.Free, fingerprint(maxQuarantined-1-n))
	}
	applyQuarantine(m, 2, released) // the most recently held, so that age does not decide
	l := m.QuarantineLog()
	known := l.Changes
	applyQuarantine(m, 3, hold(maxQuarantined))
	l = m.QuarantineLog()
	held := 0
	for _, e := range l.Entries {
		if e.Held {
			held++
		}
	}
	if len(l.Entries) != evictTarget || held != maxQuarantined-2000+1 {
		t.Errorf("after eviction: %d entries, %d of them held", len(l.Entries), held)
	}
	if u := l.UpdateSince(known); u == nil || !u.Whole || len(u.Held) != held {
		t.Errorf("update for a copy from before the eviction: %+v, want a complete one", u)
	}
}
