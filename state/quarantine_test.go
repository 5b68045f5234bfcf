package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

func printOf(n uint64) protocol.Fingerprint {
	return protocol.Fingerprint{Quick: n % 7, Content: [2]uint64{n, n}}
}

func quarantined(m *Machine, at int64, msg protocol.QuarantineMsg) {
	m.Apply(&protocol.Command{At: at, Quarantine: &msg})
}

func hold(n uint64) protocol.QuarantineMsg {
	return protocol.QuarantineMsg{Hold: []protocol.HoldRequest{{Fingerprint: printOf(n), Servers: 3}}}
}

func try(n uint64, trials int) protocol.QuarantineMsg {
	return protocol.QuarantineMsg{Try: []protocol.TryRequest{{Fingerprint: printOf(n), Gateway: "g", Trials: trials}}}
}

func free(n uint64) protocol.QuarantineMsg {
	return protocol.QuarantineMsg{Free: []protocol.Fingerprint{printOf(n)}}
}

// TestQuarantineEntries checks when a request that is held is tried: soon at first, and
// then after pauses that double. The same command twice changes nothing.
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
		{"held again at once", 200, hold(1), true, 0, 30_100},
		{"tried", 31_000, try(1, 0), true, 1, 61_000},
		{"the same trial again", 32_000, try(1, 0), true, 1, 61_000},
		{"tried a second time", 33_000, try(1, 1), true, 2, 33_000 + hour},
		{"tried a third time", 34_000, try(1, 2), true, 3, 34_000 + 2*hour},
		{"freed", 34_000, free(1), false, 0, 0},
		{"tried though it is free", 34_000, try(1, 0), false, 0, 0},
		{"held anew", 35_000, hold(1), true, 0, 65_000},
	} {
		quarantined(m, step.at, step.msg)
		e := m.QuarantineLog().Entries[0]
		if e.Held != step.held || e.Trials != step.trials || e.Until != step.until {
			t.Errorf("%s: %+v", step.name, e)
		}
	}
	before := m.QuarantineLog().Changes
	quarantined(m, 36_000, hold(1))
	quarantined(m, 36_000, free(2))
	if after := m.QuarantineLog().Changes; after != before {
		t.Errorf("what is so already changed it: %d to %d", before, after)
	}
}

// TestQuarantineNews checks that somebody who is told what it lacks, at any time and from
// any state, holds what the log does, also behind a snapshot and where entries were
// forgotten, and that there are never more than the bound.
func TestQuarantineNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		var known uint64
		held := map[protocol.Fingerprint]bool{}
		tell := func() {
			l := m.QuarantineLog()
			news := l.UpdateSince(known)
			if news == nil {
				return
			}
			if news.Whole {
				clear(held)
			}
			for _, h := range news.Held {
				held[h.Fingerprint] = true
			}
			for _, f := range news.Free {
				delete(held, f)
			}
			known = news.Changes
		}
		next := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				quarantined(m, 1, hold(rapid.Uint64Range(1, 9).Draw(t, "request")))
			},
			"free": func(t *rapid.T) {
				quarantined(m, 1, free(rapid.Uint64Range(1, 9).Draw(t, "request")))
			},
			"try": func(t *rapid.T) {
				quarantined(m, 1, try(rapid.Uint64Range(1, 9).Draw(t, "request"), rapid.IntRange(0, 2).Draw(t, "trials")))
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
				quarantined(m, 1, msg)
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
			"tell": func(*rapid.T) { tell() },
			"start anew": func(*rapid.T) {
				known = 0
				clear(held)
			},
			"": func(t *rapid.T) {
				if n := len(m.QuarantineLog().Entries); n > mostQuarantined {
					t.Fatalf("%d entries", n)
				}
			},
		})
		tell()
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

// TestQuarantineCommand checks that a command comes out of the log as it went in.
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

// TestForgottenEntries checks that where entries are forgotten those that are held no more go
// first, and that somebody who knew one of them is told the whole.
func TestForgottenEntries(t *testing.T) {
	m := NewMachine()
	var all protocol.QuarantineMsg
	for n := range uint64(mostQuarantined) {
		all.Hold = append(all.Hold, hold(n).Hold...)
	}
	quarantined(m, 1, all)
	freed := protocol.QuarantineMsg{}
	for n := range uint64(2000) {
		freed.Free = append(freed.Free, printOf(mostQuarantined-1-n))
	}
	quarantined(m, 2, freed) // The latest to be held, so that their age does not decide.
	l := m.QuarantineLog()
	known := l.Changes
	quarantined(m, 3, hold(mostQuarantined))
	l = m.QuarantineLog()
	held := 0
	for _, e := range l.Entries {
		if e.Held {
			held++
		}
	}
	if len(l.Entries) != leastKept || held != mostQuarantined-2000+1 {
		t.Errorf("%d entries are left, %d of them held", len(l.Entries), held)
	}
	if news := l.UpdateSince(known); news == nil || !news.Whole || len(news.Held) != held {
		t.Errorf("somebody who knew what was forgotten is told %+v", news)
	}
}
