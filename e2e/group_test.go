package e2e

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/protocol"
)

// groupOf returns a daemon's replica status, or nil.
func (d *daemon) groupOf() *group.Status {
	var v struct{ Group *group.Status }
	d.adminGet("/dump", &v)
	return v.Group
}

// leader waits until one live daemon leads, and returns it.
func (c *cluster) leader(not ...*daemon) *daemon {
	c.t.Helper()
	var found *daemon
	eventually(c.t, "a replica leads", func() bool {
		for _, d := range c.daemons {
			if !d.alive() || slices.Contains(not, d) || !slices.Contains(c.replicas, d.name) {
				continue
			}
			if s := d.groupOf(); s != nil && s.Role == "leader" {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

// numbered returns a configuration that differs by its number.
func numbered(n int) string {
	return strings.Replace(configText(), `version: "1"`, fmt.Sprintf(`version: "%d"`, n), 1)
}

// applyOn has a configuration accepted through one instance.
func (d *daemon) applyOn(number int, text string) (int, string) {
	d.c.t.Helper()
	return d.ctl("apply", "-number", fmt.Sprint(number), d.c.write(fmt.Sprintf("config-%s-%d.yaml", d.name, number), text))
}

// awaitNumber waits until every live daemon has a configuration in force.
func (c *cluster) awaitNumber(n uint64) {
	c.t.Helper()
	for _, d := range c.daemons {
		if d.alive() {
			eventually(c.t, fmt.Sprintf("%s has %d in force", d.name, n), func() bool { return d.dump().Number >= n })
		}
	}
}

// TestLeaderKilled kills the leader. The others go on; what was accepted stays.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	old := c.leader()
	old.kill()
	next := c.leader(old)
	if code, out := next.applyOn(2, numbered(2)); code != 0 {
		t.Fatalf("apply after the leader's death: %d %s", code, out)
	}
	c.awaitNumber(2)
	if a := next.send(ask{path: "/services/gantry/charge", body: "x"}.once("after")); a.status != 200 {
		t.Errorf("a claim after the leader's death: %d %s", a.status, a.body)
	}
	old.launch()
	eventually(t, "the restarted instance has 2 in force", func() bool { return old.dump().Number == 2 })
}

// TestFrozenLeader freezes the leader past its lease and wakes it up again. It
// must neither accept nor answer from what it knew.
func TestFrozenLeader(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	old := c.leader()
	old.signal(syscall.SIGSTOP)
	next := c.leader(old)
	if code, out := next.applyOn(2, numbered(2)); code != 0 {
		t.Fatalf("apply beside a frozen leader: %d %s", code, out)
	}
	first := next.send(ask{path: "/services/gantry/charge", body: "x"}.once("frozen"))
	if first.status != 200 {
		t.Fatalf("a claim beside a frozen leader: %d %s", first.status, first.body)
	}
	old.signal(syscall.SIGCONT)
	if code, out := old.applyOn(2, numbered(3)); code != 1 || !strings.Contains(out, "config_conflict") {
		t.Errorf("the woken leader took another number 2: %d %s", code, out)
	}
	c.awaitNumber(2)
	if got := old.view().Revision.Config.Models[0].Version; got != "2" {
		t.Errorf("the woken leader has version %q in force, want 2", got)
	}
}

// TestOperatorsRace applies different configurations under equal numbers, from
// two operators through two instances, each of whom sends again when an answer
// is lost. One wins each number, the same everywhere.
func TestOperatorsRace(t *testing.T) {
	const rounds = 8
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1})
	c.apply(1, configText())
	for n := 2; n < 2+rounds; n++ {
		var wg sync.WaitGroup
		codes, outs := make([]int, 2), make([]string, 2)
		for op := range 2 {
			wg.Go(func() {
				d := c.daemons[op]
				file := c.write(fmt.Sprintf("race-%d-%d.yaml", op, n), numbered(1000*op+n))
				// The first answer is lost: the process is killed after it was sent.
				lost := start(t, "lost", "weldctl", "apply", "-admin", d.admin, "-token-file", c.write(fmt.Sprint("token", op), operatorToken), "-number", fmt.Sprint(n), file)
				if op == n%2 {
					lost.kill()
				}
				lost.wait()
				codes[op], outs[op] = d.ctl("apply", "-number", fmt.Sprint(n), file)
			})
		}
		wg.Wait()
		if codes[0]+codes[1] != 1 {
			t.Fatalf("number %d: exit codes %v, want one winner\n%s\n%s", n, codes, outs[0], outs[1])
		}
		loser := outs[0] + outs[1]
		c.awaitNumber(uint64(n))
		digest := c.daemons[0].view().Revision.Digest.Short()
		for _, d := range c.daemons {
			if got := d.view().Revision.Digest.Short(); got != digest {
				t.Errorf("number %d: %s has %s, another %s", n, d.name, got, digest)
			}
		}
		if !strings.Contains(loser, "config_conflict") || !strings.Contains(loser, digest) {
			t.Errorf("number %d: the conflict does not name the winner %s: %s", n, digest, loser)
		}
	}
}

// TestLostDiskThenAnother loses a disk, lets the replica come back, and loses a
// second one right after. Nothing that was accepted is lost.
func TestLostDiskThenAnother(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1, settings: "replica: {snapshot_entries: 16}\n"})
	c.apply(1, configText())
	for n := 2; n <= 20; n++ {
		if code, out := c.daemons[0].applyOn(n, numbered(n)); code != 0 {
			t.Fatalf("apply %d: %s", n, out)
		}
	}
	charge := ask{path: "/services/gantry/charge", body: "x"}.once("kept")
	first := c.daemons[0].send(charge)
	for _, d := range []*daemon{c.daemons[0], c.daemons[1]} {
		before := d.groupOf().ID
		d.kill()
		if err := os.RemoveAll(d.data); err != nil {
			t.Fatal(err)
		}
		d.launch()
		eventually(t, d.name+" votes again, as a new incarnation", func() bool {
			s := d.groupOf()
			return s != nil && s.ID != before && s.Members.IsVoter(s.ID) && len(s.Members.Voters) == 3
		})
	}
	c.awaitNumber(20)
	c.awaitMembers()
	for _, d := range c.daemons {
		d.awaitReady()
		again := d.send(charge)
		if again.status != 200 || string(again.body) != string(first.body) {
			t.Errorf("%s: a resend got %d %s, want %s", d.name, again.status, again.body, first.body)
		}
	}
	if runs := c.services[0].serviceStats().Runs["kept"]; runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
}

// TestSameKeyEverywhere sends one key a hundred times at once through
// different instances. It runs once, and all get its answer.
func TestSameKeyEverywhere(t *testing.T) {
	const sends = 100
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 2})
	c.apply(1, configText())
	charge := ask{path: "/services/gantry/charge", body: "ABCD-12"}.once("hundred")
	answers := make([]answer, sends)
	var wg sync.WaitGroup
	for i := range sends {
		wg.Go(func() { answers[i], _ = c.daemons[i%3].trySend(charge) })
	}
	wg.Wait()
	for i, a := range answers {
		if a.status != 200 || string(a.body) != string(answers[0].body) || a.verdict != "ran" {
			t.Errorf("send %d got %d %s %s", i, a.status, a.verdict, a.body)
		}
	}
	runs := 0
	for _, s := range c.services {
		runs += s.serviceStats().Runs["hundred"]
	}
	if runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
	other := charge
	other.body = "EFGH-34"
	if a := c.daemons[1].send(other); a.code(t) != protocol.CodeKeyReused || a.verdict != "not-run" {
		t.Errorf("one key with another body got %d %s", a.status, a.body)
	}
}

// TestNoQuorum ends two of three replicas. What must run at most once is
// refused at once and not run; the rest is served.
func TestNoQuorum(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	c.daemons[0].kill()
	c.daemons[1].kill()
	d := c.daemons[2]
	a := d.send(ask{path: "/services/gantry/charge", body: "x"}.once("cut"))
	if a.code(t) != protocol.CodeNoQuorum || !strings.Contains(string(a.body), `"this_send":"not-run"`) {
		t.Errorf("without a quorum: %d %s", a.status, a.body)
	}
	if runs := c.services[0].serviceStats().Runs["cut"]; runs != 0 {
		t.Errorf("the refused call ran %d times", runs)
	}
	if a := d.send(ask{path: "/services/gantry/plate", body: ""}); a.status != 200 {
		t.Errorf("a repeatable call without a quorum: %d %s", a.status, a.body)
	}
	c.daemons[1].launch()
	eventually(t, "the refused call can be sent again", func() bool {
		return d.send(ask{path: "/services/gantry/charge", body: "x"}.once("again")).status == 200
	})
}

// TestFullDisk leaves no room on the leader's disk: a call that must run at
// most once is refused as not run, and so is an apply.
func TestFullDisk(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, services: 1})
	c.apply(1, configText())
	d := c.daemons[0]
	charge := ask{path: "/services/gantry/charge", body: "x"}.once("before")
	if a := d.send(charge); a.status != 200 {
		t.Fatalf("with room: %d %s", a.status, a.body)
	}
	d.kill()
	d.extra = "replica: {reserve_bytes: 9000000000000000000}\n"
	d.launch()
	d.awaitReady()
	eventually(t, "the disk counts as full", func() bool { return d.groupOf().Full })
	if a := d.send(ask{path: "/services/gantry/charge", body: "x"}.once("full")); a.verdict != "not-run" || a.status != 503 {
		t.Errorf("without room: %d %s %s", a.status, a.verdict, a.body)
	}
	if a := d.send(charge); a.status != 200 || a.verdict != "ran" {
		t.Errorf("a resend of what ran: %d %s %s", a.status, a.verdict, a.body)
	}
	if code, out := d.applyOn(2, numbered(2)); code != 1 || !strings.Contains(out, "disk_full") {
		t.Errorf("apply without room: %d %s", code, out)
	}
	if runs := c.services[0].serviceStats().Runs["full"]; runs != 0 {
		t.Errorf("the refused call ran %d times", runs)
	}
}

// TestDamagedFolder flips a bit in the middle of the log. The start stops with
// file and offset.
func TestDamagedFolder(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1})
	c.apply(1, configText())
	d := c.daemons[0]
	d.kill()
	file := d.data + "/log-0000000000000001"
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/3] ^= 4
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "damaged", "weldstreamd", "-settings", c.write("damaged.yaml", d.settings()))
	if code := p.wait(); code != 1 || !strings.Contains(p.err.String(), file) || !strings.Contains(p.err.String(), "offset ") {
		t.Errorf("exit code %d:\n%s", code, p.err.String())
	}
}
