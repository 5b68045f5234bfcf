package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var startTime = time.Unix(1_000_000, 0)

// TestFair checks the properties of weighted max-min fairness: no party gets more than it
// demands, no slot is left over while a party demands one, and no party with an unmet demand
// has less for its weight than another one by more than a slot.
func TestFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 200).Draw(t, "slots")
		var wants []want
		total := 0
		for range rapid.IntRange(0, 9).Draw(t, "parties") {
			w := want{weight: rapid.IntRange(1, 50).Draw(t, "weight"), slots: rapid.IntRange(0, 60).Draw(t, "want")}
			wants = append(wants, w)
			total += w.slots
		}
		got := maxMinFair(slots, wants)
		sum := 0
		for i, n := range got {
			sum += n
			if n < 0 || n > wants[i].slots {
				t.Fatalf("party %d demands %d slots and got %d", i, wants[i].slots, n)
			}
			for j, m := range got {
				if n < wants[i].slots && (float64(m)-0.5)/float64(wants[j].weight) > (float64(n)+0.5)/float64(wants[i].weight)+1e-9 {
					t.Fatalf("%v of %v: party %d has more for its weight than %d, which demands more", got, wants, j, i)
				}
			}
		}
		if sum != min(slots, total) {
			t.Fatalf("%d of %d slots assigned, %d demanded", sum, slots, total)
		}
	})
}

// referenceLimiter is a simple model of a limiter, which counts from scratch.
type referenceLimiter struct {
	waiting map[uint64]ArriveMsg
	running map[uint64]ArriveMsg
}

// TestLimiter sends a limiter random messages and compares it with a reference: each request
// is started or refused once, and never after its StartBy; the counts match; and no request
// is queued while a slot of its workspace or a spare one is free.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter(Config{MaxQueued: rapid.IntRange(0, 8).Draw(t, "queue")})
		reference := referenceLimiter{waiting: map[uint64]ArriveMsg{}, running: map[uint64]ArriveMsg{}}
		now, id := startTime, uint64(0)
		l.Update(PoolMsg{Slots: rapid.IntRange(0, 12).Draw(t, "slots"), Instances: 3, Now: now})
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			var cmds []Cmd
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				id++
				m := ArriveMsg{
					ID:        id,
					Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Share:     rapid.IntRange(1, 9).Draw(t, "share"),
					Priority:  protocol.Priority(rapid.IntRange(-1, 1).Draw(t, "priority")),
					StartBy:   now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "latest")) * time.Second),
					Admitted:  rapid.IntRange(0, 9).Draw(t, "taken") == 0,
					Now:       now,
				}
				reference.waiting[id] = m
				cmds = l.Update(m)
			case 2:
				if id > 0 {
					done := uint64(rapid.IntRange(1, int(id)).Draw(t, "done"))
					delete(reference.waiting, done)
					delete(reference.running, done)
					cmds = l.Update(DoneMsg{ID: done, Now: now})
				}
			case 3:
				m := GrantMsg{ExpiresAt: now.Add(time.Second), Now: now}
				m.Spare = rapid.IntRange(1, 3).Draw(t, "spare")
				m.Rows = []protocol.Grant{{Workspace: "a", Slots: [2]int{rapid.IntRange(0, 4).Draw(t, "a"), 1}}}
				cmds = l.Update(m)
			case 4:
				cmds = l.Update(TickMsg{Now: now})
				for _, m := range reference.waiting {
					if !m.StartBy.After(now) && !isRefused(cmds, m.ID) {
						t.Fatalf("request %d is still queued after its StartBy", m.ID)
					}
				}
			}
			reference.apply(t, cmds)
			reference.check(t, l)
		}
	})
}

func isRefused(cmds []Cmd, id uint64) bool {
	for _, cmd := range cmds {
		if r, ok := cmd.(RefuseCmd); ok && r.ID == id {
			return true
		}
	}
	return false
}

func (n *referenceLimiter) apply(t *rapid.T, cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case StartCmd:
			m, ok := n.waiting[cmd.ID]
			if !ok {
				t.Fatalf("request %d started, but was not queued", cmd.ID)
			}
			delete(n.waiting, cmd.ID)
			n.running[cmd.ID] = m
		case RefuseCmd:
			if _, ok := n.waiting[cmd.ID]; !ok {
				t.Fatalf("request %d refused, but was not queued", cmd.ID)
			}
			if cmd.RetryAfter < minRetryAfter || cmd.RetryAfter > maxRetryAfter {
				t.Fatalf("Retry-After %v is out of bounds", cmd.RetryAfter)
			}
			delete(n.waiting, cmd.ID)
		}
	}
}

func (n *referenceLimiter) check(t *rapid.T, l *Limiter) {
	var running, queued int
	for _, d := range l.Demand() {
		running += d.Running[0] + d.Running[1]
		queued += d.Queued[0] + d.Queued[1]
	}
	if running != len(n.running) || queued != len(n.waiting) || queued != l.Queued() {
		t.Fatalf("limiter counts %d running, %d queued; reference has %d and %d", running, queued, len(n.running), len(n.waiting))
	}
	if l.next() != nil {
		t.Fatal("a request is queued that may start")
	}
	if l.slots == 0 && queued > 0 {
		t.Fatal("a request is queued in a pool without limit")
	}
}

// TestHighPriorityGoesFirst queues requests and checks the order in which they start: high
// before normal priority within a workspace, low last.
func TestHighPriorityGoesFirst(t *testing.T) {
	l := NewLimiter(Config{MaxQueued: 10})
	l.Update(PoolMsg{Slots: 1, Instances: 1, Now: startTime})
	startBy := startTime.Add(time.Hour)
	for i, p := range []protocol.Priority{protocol.PriorityNormal, protocol.PriorityLow, protocol.PriorityNormal, protocol.PriorityHigh} {
		l.Update(ArriveMsg{ID: uint64(i), Workspace: "a", Share: 1, Priority: p, StartBy: startBy, Now: startTime})
	}
	var order []uint64
	for running := uint64(0); ; {
		cmds := l.Update(DoneMsg{ID: running, Now: startTime.Add(time.Second)})
		if len(cmds) == 0 {
			break
		}
		running = cmds[0].(StartCmd).ID
		order = append(order, running)
	}
	if got := fmt.Sprint(order); got != "[3 2 1]" {
		t.Errorf("started in the order %s, want [3 2 1]", got)
	}
}

// TestCoordinatorKeepsShares has a large workspace use all limiters and a small one a single
// limiter: both must get their share of the whole pool.
func TestCoordinatorKeepsShares(t *testing.T) {
	c := NewCoordinator()
	demand := func(round int) (large, small int) {
		for limiter := range 9 {
			rows := []protocol.Demand{{Workspace: "large", Share: 1, Queued: [2]int{40, 40}}}
			if limiter == 4 {
				rows = append(rows, protocol.Demand{Workspace: "small", Share: 1, Queued: [2]int{50}})
			}
			now := startTime.Add(time.Duration(round*9+limiter) * time.Millisecond)
			grant := c.HandleDemand(protocol.DemandMsg{From: fmt.Sprint("entry-", limiter), Rows: rows}, 72, 9, now)
			for _, row := range grant.Rows {
				switch row.Workspace {
				case "large":
					large += row.Slots[0] + row.Slots[1]
				case "small":
					small += row.Slots[0]
				}
			}
		}
		return large, small
	}
	demand(0) // In the first round the coordinator learns of one limiter after the other.
	if large, small := demand(1); large != 36 || small != 36 {
		t.Errorf("with 72 slots and equal shares, the large workspace got %d, the small one %d", large, small)
	}
}

// TestCoordinatorDropsSilentLimiter has a limiter with half of the slots fall silent.
func TestCoordinatorDropsSilentLimiter(t *testing.T) {
	c := NewCoordinator()
	rows := []protocol.Demand{{Workspace: "w", Share: 1, Queued: [2]int{10}}}
	c.HandleDemand(protocol.DemandMsg{From: "gone", Rows: rows}, 10, 2, startTime)
	both := c.HandleDemand(protocol.DemandMsg{From: "stays", Rows: rows}, 10, 2, startTime)
	after := c.HandleDemand(protocol.DemandMsg{From: "stays", Rows: rows}, 10, 2, startTime.Add(2*time.Second))
	if both.Rows[0].Slots[0] != 5 || after.Rows[0].Slots[0] != 10 {
		t.Errorf("granted %v beside the other limiter, %v after it fell silent", both.Rows, after.Rows)
	}
}

// TestLimiterAfterGrantExpires lets the grant expire: the limiter must continue with its
// even part of the pool.
func TestLimiterAfterGrantExpires(t *testing.T) {
	l := NewLimiter(Config{MaxQueued: 100})
	l.Update(PoolMsg{Slots: 12, Instances: 3, Now: startTime})
	l.Update(GrantMsg{GrantMsg: protocol.GrantMsg{Spare: 1}, ExpiresAt: startTime.Add(time.Second), Now: startTime})
	for id := range uint64(10) {
		l.Update(ArriveMsg{ID: id, Workspace: "w", Share: 1, StartBy: startTime.Add(time.Hour), Now: startTime})
	}
	if got := l.Demand()[0].Running[0]; got != 1 {
		t.Errorf("%d requests run with a grant of one spare slot, want 1", got)
	}
	l.Update(TickMsg{Now: startTime.Add(2 * time.Second)})
	if got := l.Demand()[0].Running[0]; got < 4 || got > 5 {
		t.Errorf("%d requests run after the grant expired; the even part of 12 slots for 3 instances is 4, plus one spare", got)
	}
}

// TestQueueKeepsShares has one workspace fill the queue before requests of another arrive:
// those are queued as well, and the last requests of the first workspace are refused.
func TestQueueKeepsShares(t *testing.T) {
	l := NewLimiter(Config{MaxQueued: 6})
	l.Update(PoolMsg{Slots: 1, Instances: 1, Now: startTime})
	arrive := func(id uint64, workspace string) []Cmd {
		return l.Update(ArriveMsg{ID: id, Workspace: workspace, Share: 1, StartBy: startTime.Add(time.Hour), Now: startTime})
	}
	for id := range uint64(8) {
		arrive(id, "first")
	}
	var refused []uint64
	for id := uint64(10); id < 14; id++ {
		for _, cmd := range arrive(id, "second") {
			refused = append(refused, cmd.(RefuseCmd).ID)
		}
	}
	if got := fmt.Sprint(refused); got != "[6 5 4 13]" {
		t.Errorf("refused: %s, want the last of the first workspace until both have three, then that of the second", got)
	}
}

// TestDemandLastsAsInstancesGrow goes from one to 360 instances, which send demands less
// often: the demand of one must still count when the next one sends its own.
func TestDemandLastsAsInstancesGrow(t *testing.T) {
	c := NewCoordinator()
	rows := []protocol.Demand{{Workspace: "w", Share: 1, Queued: [2]int{10}}}
	c.HandleDemand(protocol.DemandMsg{From: "first", Rows: rows}, 10, 1, startTime)
	c.HandleDemand(protocol.DemandMsg{From: "first", Rows: rows}, 10, 360, startTime.Add(time.Second))
	grant := c.HandleDemand(protocol.DemandMsg{From: "second", Rows: rows}, 10, 360, startTime.Add(time.Second+Interval(360)))
	if grant.Rows[0].Slots[0] != 5 {
		t.Errorf("the second of two limiters got %v of 10 slots", grant.Rows)
	}
}
