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

// groupStatus returns the daemon's Raft replica status, or nil if it is no replica.
func (d *daemon) groupStatus() *group.Status {
	var v struct{ Group *group.Status }
	d.adminGet("/dump", &v)
	return v.Group
}

// leader waits until a live replica other than those in not is the leader, and
// returns it.
func (c *cluster) leader(not ...*daemon) *daemon {
	c.t.Helper()
	var found *daemon
	eventually(c.t, "a replica is the leader", func() bool {
		for _, d := range c.daemons {
			if !d.alive() || slices.Contains(not, d) || !slices.Contains(c.replicas, d.name) {
				continue
			}
			if s := d.groupStatus(); s != nil && s.Role == "leader" {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

// numberedConfig returns a configuration whose content depends on n.
func numberedConfig(n int) string {
	return strings.Replace(configText(), `version: "1"`, fmt.Sprintf(`version: "%d"`, n), 1)
}

// applyOn applies a configuration through the instance, without waiting until it
// is in force.
func (d *daemon) applyOn(number int, text string) (int, string) {
	d.c.t.Helper()
	return d.ctl("apply", "-number", fmt.Sprint(number), d.c.write(fmt.Sprintf("config-%s-%d.yaml", d.name, number), text))
}

// awaitNumber waits until every live daemon has configuration n or a later one in
// force.
func (c *cluster) awaitNumber(n uint64) {
	c.t.Helper()
	for _, d := range c.daemons {
		if d.alive() {
			eventually(c.t, fmt.Sprintf("%s has %d in force", d.name, n), func() bool { return d.dump().Number >= n })
		}
	}
}

// TestLeaderKilled kills the leader. The other replicas accept configurations and
// claims, and the restarted one catches up.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	old := c.leader()
	old.kill()
	next := c.leader(old)
	if code, out := next.applyOn(2, numberedConfig(2)); code != 0 {
		t.Fatalf("apply after the leader was killed: %d %s", code, out)
	}
	c.awaitNumber(2)
	if a := next.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce("after")); a.status != 200 {
		t.Errorf("a claim after the leader was killed: %d %s", a.status, a.body)
	}
	old.launch()
	eventually(t, "the restarted instance has 2 in force", func() bool { return old.dump().Number == 2 })
}

// TestFrozenLeader suspends the leader until its lease has expired and resumes it.
// It must neither accept a conflicting configuration nor serve stale state.
func TestFrozenLeader(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	old := c.leader()
	old.signal(syscall.SIGSTOP)
	next := c.leader(old)
	if code, out := next.applyOn(2, numberedConfig(2)); code != 0 {
		t.Fatalf("apply while the old leader is suspended: %d %s", code, out)
	}
	first := next.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce("frozen"))
	if first.status != 200 {
		t.Fatalf("a claim while the old leader is suspended: %d %s", first.status, first.body)
	}
	old.signal(syscall.SIGCONT)
	if code, out := old.applyOn(2, numberedConfig(3)); code != 1 || !strings.Contains(out, "config_conflict") {
		t.Errorf("the resumed leader accepted another configuration under number 2: %d %s", code, out)
	}
	c.awaitNumber(2)
	if got := old.view().Revision.Config.Models[0].Version; got != "2" {
		t.Errorf("the resumed leader has version %q in force, want 2", got)
	}
}

// TestOperatorsRace has two operators apply different configurations under the
// same numbers through two instances, and send again when an answer is lost.
// Exactly one wins each number, and it is the same one on every instance.
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
				file := c.write(fmt.Sprintf("race-%d-%d.yaml", op, n), numberedConfig(1000*op+n))
				// Kill the tool of one operator, so that its answer is lost.
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

// TestLostDiskThenAnother deletes a replica's data, lets it rejoin, and then
// deletes a second replica's data. No accepted configuration or answer is lost.
func TestLostDiskThenAnother(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1, settings: "replica: {snapshot_entries: 16}\n"})
	c.apply(1, configText())
	for n := 2; n <= 20; n++ {
		if code, out := c.daemons[0].applyOn(n, numberedConfig(n)); code != 0 {
			t.Fatalf("apply %d: %s", n, out)
		}
	}
	charge := request{path: "/services/gantry/charge", body: "x"}.atMostOnce("kept")
	first := c.daemons[0].send(charge)
	for _, d := range []*daemon{c.daemons[0], c.daemons[1]} {
		before := d.groupStatus().ID
		d.kill()
		if err := os.RemoveAll(d.data); err != nil {
			t.Fatal(err)
		}
		d.launch()
		eventually(t, d.name+" votes again, as a new incarnation", func() bool {
			s := d.groupStatus()
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

// TestSameKeyEverywhere sends a call a hundred times concurrently under one key
// through different instances. It runs once, and every send gets its answer.
func TestSameKeyEverywhere(t *testing.T) {
	const sends = 100
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 2})
	c.apply(1, configText())
	charge := request{path: "/services/gantry/charge", body: "ABCD-12"}.atMostOnce("hundred")
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

// TestNoQuorum kills two of three replicas. Calls that must run at most once are
// refused without being run, and repeatable calls are served.
func TestNoQuorum(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	c.daemons[0].kill()
	c.daemons[1].kill()
	d := c.daemons[2]
	a := d.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce("cut"))
	if a.code(t) != protocol.CodeNoQuorum || !strings.Contains(string(a.body), `"this_send":"not-run"`) {
		t.Errorf("without a quorum: %d %s", a.status, a.body)
	}
	if runs := c.services[0].serviceStats().Runs["cut"]; runs != 0 {
		t.Errorf("the refused call ran %d times", runs)
	}
	if a := d.send(request{path: "/services/gantry/plate", body: ""}); a.status != 200 {
		t.Errorf("a repeatable call without a quorum: %d %s", a.status, a.body)
	}
	c.daemons[1].launch()
	eventually(t, "the refused call can be sent again", func() bool {
		return d.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce("again")).status == 200
	})
}

// TestFullDisk simulates a full disk on the leader. New calls that must run at
// most once are refused as not run, apply is refused, and the kept answer of an
// earlier call is still served.
func TestFullDisk(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, services: 1})
	c.apply(1, configText())
	d := c.daemons[0]
	charge := request{path: "/services/gantry/charge", body: "x"}.atMostOnce("before")
	if a := d.send(charge); a.status != 200 {
		t.Fatalf("with free disk space: %d %s", a.status, a.body)
	}
	d.kill()
	d.extraSettings = "replica: {reserve_bytes: 9000000000000000000}\n"
	d.launch()
	d.awaitReady()
	eventually(t, "the disk counts as full", func() bool { return d.groupStatus().Full })
	if a := d.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce("full")); a.verdict != "not-run" || a.status != 503 {
		t.Errorf("with a full disk: %d %s %s", a.status, a.verdict, a.body)
	}
	if a := d.send(charge); a.status != 200 || a.verdict != "ran" {
		t.Errorf("a resend of the call that ran: %d %s %s", a.status, a.verdict, a.body)
	}
	if code, out := d.applyOn(2, numberedConfig(2)); code != 1 || !strings.Contains(out, "disk_full") {
		t.Errorf("apply with a full disk: %d %s", code, out)
	}
	if runs := c.services[0].serviceStats().Runs["full"]; runs != 0 {
		t.Errorf("the refused call ran %d times", runs)
	}
}

// TestCorruptLog flips a bit in the middle of the Raft log. The daemon refuses to
// start and names the file and the offset.
func TestCorruptLog(t *testing.T) {
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
