package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var began = time.Unix(1_000_000, 0)

// TestFair checks what max-min fairness promises: no more than wanted, nothing
// left over while somebody wants it, and nobody who got less than he wants may
// point at another who has more for his weight by over a slot.
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
		got := fair(slots, wants)
		sum := 0
		for i, n := range got {
			sum += n
			if n < 0 || n > wants[i].slots {
				t.Fatalf("party %d wants %d and got %d", i, wants[i].slots, n)
			}
			for j, m := range got {
				if n < wants[i].slots && (float64(m)-0.5)/float64(wants[j].weight) > (float64(n)+0.5)/float64(wants[i].weight)+1e-9 {
					t.Fatalf("%v of %v: party %d has more for its weight than %d, which wants more", got, wants, j, i)
				}
			}
		}
		if sum != min(slots, total) {
			t.Fatalf("%d of %d slots given, %d wanted", sum, slots, total)
		}
	})
}

// naiveLimiter recounts from scratch what a limiter must keep.
type naiveLimiter struct {
	waiting map[uint64]ArriveMsg
	running map[uint64]ArriveMsg
}

// TestLimiter drives a limiter at random and holds it against a recount: each request
// is started or refused once and never after its time, counts are those of the
// requests, and nothing waits while a slot of its own or a spare one is free.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewLimiter(Config{MaxQueued: rapid.IntRange(0, 8).Draw(t, "queue")})
		n := naiveLimiter{waiting: map[uint64]ArriveMsg{}, running: map[uint64]ArriveMsg{}}
		now, id := began, uint64(0)
		g.Update(PoolMsg{Slots: rapid.IntRange(0, 12).Draw(t, "slots"), Instances: 3, Now: now})
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
				n.waiting[id] = m
				cmds = g.Update(m)
			case 2:
				if id > 0 {
					done := uint64(rapid.IntRange(1, int(id)).Draw(t, "done"))
					delete(n.waiting, done)
					delete(n.running, done)
					cmds = g.Update(DoneMsg{ID: done, Now: now})
				}
			case 3:
				m := GrantMsg{ExpiresAt: now.Add(time.Second), Now: now}
				m.Spare = rapid.IntRange(1, 3).Draw(t, "spare")
				m.Rows = []protocol.Grant{{Workspace: "a", Slots: [2]int{rapid.IntRange(0, 4).Draw(t, "a"), 1}}}
				cmds = g.Update(m)
			case 4:
				cmds = g.Update(TickMsg{Now: now})
				for _, m := range n.waiting {
					if !m.StartBy.After(now) && !refuses(cmds, m.ID) {
						t.Fatalf("request %d still waits after its time", m.ID)
					}
				}
			}
			n.follow(t, cmds)
			n.check(t, g)
		}
	})
}

func refuses(cmds []Cmd, id uint64) bool {
	for _, cmd := range cmds {
		if r, ok := cmd.(RefuseCmd); ok && r.ID == id {
			return true
		}
	}
	return false
}

func (n *naiveLimiter) follow(t *rapid.T, cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case StartCmd:
			m, ok := n.waiting[cmd.ID]
			if !ok {
				t.Fatalf("request %d started, which does not wait", cmd.ID)
			}
			delete(n.waiting, cmd.ID)
			n.running[cmd.ID] = m
		case RefuseCmd:
			if _, ok := n.waiting[cmd.ID]; !ok {
				t.Fatalf("request %d refused, which does not wait", cmd.ID)
			}
			if cmd.RetryAfter < leastRetry || cmd.RetryAfter > mostRetry {
				t.Fatalf("come back after %v", cmd.RetryAfter)
			}
			delete(n.waiting, cmd.ID)
		}
	}
}

func (n *naiveLimiter) check(t *rapid.T, g *Limiter) {
	var running, queued int
	for _, d := range g.Demand() {
		running += d.Running[0] + d.Running[1]
		queued += d.Queued[0] + d.Queued[1]
	}
	if running != len(n.running) || queued != len(n.waiting) || queued != g.Queued() {
		t.Fatalf("counts %d running, %d queued; there are %d and %d", running, queued, len(n.running), len(n.waiting))
	}
	if g.next() != nil {
		t.Fatal("a request waits that may begin")
	}
	if g.slots == 0 && queued > 0 {
		t.Fatal("a request waits at a pool without limits")
	}
}

// TestHighPriorityGoesFirst fills a limiter and looks at the order in which the
// waiting begin: high before normal within a workspace, low behind all.
func TestHighPriorityGoesFirst(t *testing.T) {
	g := NewLimiter(Config{MaxQueued: 10})
	g.Update(PoolMsg{Slots: 1, Instances: 1, Now: began})
	latest := began.Add(time.Hour)
	for i, p := range []protocol.Priority{protocol.PriorityNormal, protocol.PriorityLow, protocol.PriorityNormal, protocol.PriorityHigh} {
		g.Update(ArriveMsg{ID: uint64(i), Workspace: "a", Share: 1, Priority: p, StartBy: latest, Now: began})
	}
	var order []uint64
	for running := uint64(0); ; {
		cmds := g.Update(DoneMsg{ID: running, Now: began.Add(time.Second)})
		if len(cmds) == 0 {
			break
		}
		running = cmds[0].(StartCmd).ID
		order = append(order, running)
	}
	if got := fmt.Sprint(order); got != "[3 2 1]" {
		t.Errorf("began in the order %s, want [3 2 1]", got)
	}
}

// TestCoordinatorKeepsShares lets a large workspace come through all limiters and
// a small one through a single limiter: each gets its share of the whole pool.
func TestCoordinatorKeepsShares(t *testing.T) {
	c := NewCoordinator()
	ask := func(round int) (large, small int) {
		for limiter := range 9 {
			rows := []protocol.Demand{{Workspace: "large", Share: 1, Queued: [2]int{40, 40}}}
			if limiter == 4 {
				rows = append(rows, protocol.Demand{Workspace: "small", Share: 1, Queued: [2]int{50}})
			}
			now := began.Add(time.Duration(round*9+limiter) * time.Millisecond)
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
	ask(0) // The first round hears of one limiter after the other.
	if large, small := ask(1); large != 36 || small != 36 {
		t.Errorf("of 72 slots at equal shares the large workspace got %d, the small one %d", large, small)
	}
}

// TestCoordinatorForgets lets a limiter that holds half of the slots fall silent.
func TestCoordinatorForgets(t *testing.T) {
	c := NewCoordinator()
	rows := []protocol.Demand{{Workspace: "w", Share: 1, Queued: [2]int{10}}}
	c.HandleDemand(protocol.DemandMsg{From: "gone", Rows: rows}, 10, 2, began)
	both := c.HandleDemand(protocol.DemandMsg{From: "stays", Rows: rows}, 10, 2, began)
	after := c.HandleDemand(protocol.DemandMsg{From: "stays", Rows: rows}, 10, 2, began.Add(2*time.Second))
	if both.Rows[0].Slots[0] != 5 || after.Rows[0].Slots[0] != 10 {
		t.Errorf("granted %v beside the other limiter, %v after it fell silent", both.Rows, after.Rows)
	}
}

// TestLimiterGoesOnAlone lets the grant run out: the limiter goes on with its even
// part of the pool.
func TestLimiterGoesOnAlone(t *testing.T) {
	g := NewLimiter(Config{MaxQueued: 100})
	g.Update(PoolMsg{Slots: 12, Instances: 3, Now: began})
	g.Update(GrantMsg{GrantMsg: protocol.GrantMsg{Spare: 1}, ExpiresAt: began.Add(time.Second), Now: began})
	for id := range uint64(10) {
		g.Update(ArriveMsg{ID: id, Workspace: "w", Share: 1, StartBy: began.Add(time.Hour), Now: began})
	}
	if got := g.Demand()[0].Running[0]; got != 1 {
		t.Errorf("%d run under a grant of one spare slot", got)
	}
	g.Update(TickMsg{Now: began.Add(2 * time.Second)})
	if got := g.Demand()[0].Running[0]; got < 4 || got > 5 {
		t.Errorf("%d run alone; an even part of 12 slots for 3 instances is 4, and one is spare", got)
	}
}

// TestQueueKeepsShares has one workspace fill the queue before another one
// comes: the newcomer waits too, and the latest of those that fill it give way.
func TestQueueKeepsShares(t *testing.T) {
	g := NewLimiter(Config{MaxQueued: 6})
	g.Update(PoolMsg{Slots: 1, Instances: 1, Now: began})
	arrive := func(id uint64, workspace string) []Cmd {
		return g.Update(ArriveMsg{ID: id, Workspace: workspace, Share: 1, StartBy: began.Add(time.Hour), Now: began})
	}
	for id := range uint64(8) {
		arrive(id, "first")
	}
	var gave []uint64
	for id := uint64(10); id < 14; id++ {
		for _, cmd := range arrive(id, "second") {
			gave = append(gave, cmd.(RefuseCmd).ID)
		}
	}
	if got := fmt.Sprint(gave); got != "[6 5 4 13]" {
		t.Errorf("gave way: %s, want the latest of the first workspace until both have three, then the newcomer's own", got)
	}
}

// TestCoordinatorGrows starts with one instance and ends with 360, which ask
// the more seldom: what one asked for still counts when the next one asks.
func TestCoordinatorGrows(t *testing.T) {
	c := NewCoordinator()
	rows := []protocol.Demand{{Workspace: "w", Share: 1, Queued: [2]int{10}}}
	c.HandleDemand(protocol.DemandMsg{From: "first", Rows: rows}, 10, 1, began)
	c.HandleDemand(protocol.DemandMsg{From: "first", Rows: rows}, 10, 360, began.Add(time.Second))
	grant := c.HandleDemand(protocol.DemandMsg{From: "second", Rows: rows}, 10, 360, began.Add(time.Second+Interval(360)))
	if grant.Rows[0].Slots[0] != 5 {
		t.Errorf("the second of two limiters was granted %v of 10 slots", grant.Rows)
	}
}
