package soak

import (
	"slices"
	"syscall"
	"testing"
	"time"
)

// groupOf returns the members by the leader of the group, and the leader's number.
func groupOf(t *testing.T, c *Cluster) (leader int, voters []string) {
	t.Helper()
	leader = waitForLeader(t, c, -1)
	s, err := c.Status(leader)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range s.Members.Voters {
		voters = append(voters, id.Name)
	}
	return leader, voters
}

// waitForVoters waits until the leader's list of voters meets a condition.
func waitForVoters(t *testing.T, c *Cluster, what string, met func(voters []string) bool) {
	t.Helper()
	var voters []string
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(requestPause) {
		if _, voters = groupOf(t, c); met(voters) {
			return
		}
	}
	t.Fatalf("the voters are %v, want %s", voters, what)
}

// TestVoterReplacedWhileSilentRejoins guards against a voter that was replaced while its process was
// suspended and never took part in the group again: the group then had no instance left to replace the
// next one that ended, and the loss of as many disks as it tolerates lost the configuration.
func TestVoterReplacedWhileSilentRejoins(t *testing.T) {
	c, k, o := startCluster(t, Size{Controls: 6, Gateways: 1, Backends: 1})
	waitForVoters(t, c, "five", func(voters []string) bool { return len(voters) == 5 })
	leader, voters := groupOf(t, c)
	var others []int // others are the voters that do not lead.
	for i := range c.Size.Controls {
		if i != leader && slices.Contains(voters, advertisedOperator(c, i)) {
			others = append(others, i)
		}
	}
	suspended, stopped := others[0], others[1]
	if err := c.procs[suspended].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitForVoters(t, c, "another one in place of the suspended one", func(voters []string) bool {
		return len(voters) == 5 && !slices.Contains(voters, advertisedOperator(c, suspended))
	})
	if err := c.procs[suspended].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := c.procs[stopped].Stop(); err != nil {
		t.Fatal(err)
	}
	waitForVoters(t, c, "the one that woke in place of the stopped one", func(voters []string) bool {
		return len(voters) == 5 && slices.Contains(voters, advertisedOperator(c, suspended)) && !slices.Contains(voters, advertisedOperator(c, stopped))
	})
	putUntilTaken(t, o, 50)
	loseDisks(t, c, stopped)
	for end := time.Now().Add(readyTimeout); !o.Get(0); time.Sleep(requestPause) {
		if time.Now().After(end) {
			t.Fatal("no configuration could be read back")
		}
	}
	waitUntilServed(t, c.Callers()[0], "behind")
	reportBreaches(t, c, k)
}

// advertisedOperator returns the operator address by which other instances know a control instance.
func advertisedOperator(c *Cluster, i int) string { return hostPort(advertisedIP(i), c.ports.operator) }

// loseDisks kills all control instances, and starts all but one of them again, two with an empty disk.
func loseDisks(t *testing.T, c *Cluster, except int) {
	t.Helper()
	_, voters := groupOf(t, c)
	for _, p := range c.procs[:c.Size.Controls] {
		p.Kill()
	}
	lost := 0
	for i, p := range c.procs[:c.Size.Controls] {
		if i == except {
			continue
		}
		if lost < 2 && slices.Contains(voters, advertisedOperator(c, i)) {
			lost++
			if err := p.Wipe(); err != nil {
				t.Fatal(err)
			}
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if lost != 2 {
		t.Fatalf("%d disks were lost, want 2", lost)
	}
}
