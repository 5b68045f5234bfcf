package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestSuspendedProcessIsStopped stops a process that is suspended and resumes it meanwhile, as
// overlapping steps of a plan do. The resumption waited for the stop, which ended with a kill
// after its time-out.
func TestSuspendedProcessIsStopped(t *testing.T) {
	c, _, _ := startCluster(t, small)
	waitUntilServed(t, c.Callers()[0], "before")
	p := c.Proc("gateway-0")
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	pid := p.cmd.Process.Pid
	waitForStatus(t, pid, "State:", func(state string) bool { return strings.HasPrefix(state, "T") })
	stopped := make(chan error, 1)
	go func() { stopped <- p.Stop() }()
	waitForStatus(t, pid, "ShdPnd:", func(mask string) bool { return hasSignal(t, mask, syscall.SIGTERM) })
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stopped with %v", err)
	}
}

// waitForStatus waits until a field of a process's status in /proc satisfies a condition.
func waitForStatus(t *testing.T, pid int, field string, ok func(value string) bool) {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), field)
		value, _, _ := strings.Cut(rest, "\n")
		if ok(strings.TrimSpace(value)) {
			return
		}
	}
	t.Fatalf("the status of process %d did not change as expected: %s", pid, field)
}

// hasSignal reports whether a hexadecimal mask contains a signal.
func hasSignal(t *testing.T, mask string, s syscall.Signal) bool {
	t.Helper()
	bits, err := strconv.ParseUint(mask, 16, 64)
	if err != nil {
		t.Fatal(err)
	}
	return bits&(1<<(uint(s)-1)) != 0
}
