package soak

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"
)

// TestPortsDiffer checks that no port is drawn for two purposes, as a daemon that listens
// on both would not start, and that an error ends the drawing.
func TestPortsDiffer(t *testing.T) {
	ports := []int{7, 7, 8, 7, 9}
	draw := func() (int, error) {
		if len(ports) == 0 {
			return 0, errors.New("no port is left")
		}
		port := ports[0]
		ports = ports[1:]
		return port, nil
	}
	if got, err := distinctPorts(3, draw); err != nil || !slices.Equal(got, []int{7, 8, 9}) {
		t.Errorf("drew %v, %v", got, err)
	}
	if _, err := distinctPorts(1, draw); err == nil {
		t.Error("got a port though none was left")
	}
}

// TestConcurrentRunsUseDistinctLoopbacks checks that two concurrent runs on one machine
// get different loopback addresses, so that no port which one found free is taken by the
// other before a daemon listens on it. With shared addresses TestPlannedStopCutsNothing
// failed once with "listen tcp 127.0.1.101:34457: bind: address already in use".
func TestConcurrentRunsUseDistinctLoopbacks(t *testing.T) {
	first, claim, err := claimLoopback()
	if err != nil {
		t.Fatal(err)
	}
	second, secondClaim, err := claimLoopback()
	if err != nil {
		t.Fatal(err)
	}
	if first == second {
		t.Errorf("both runs got %s", first)
	}
	if err := errors.Join(claim.Close(), secondClaim.Close()); err != nil {
		t.Error(err)
	}
}

// TestLoopbackClaimSurvivesGC checks that the run's claim outlasts the garbage collector,
// which closes a listener that nothing refers to. For this reason two of four concurrent
// runs got the same addresses ("listen tcp 127.128.1.2:41001: bind: address already in
// use", control-1 stopped).
func TestLoopbackClaimSurvivesGC(t *testing.T) {
	own, err := holdLoopback()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // A finalizer runs after the collection that finds it.
		runtime.GC()
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", own, claimPort))
	if err == nil {
		_ = ln.Close() // The test has already failed.
		t.Errorf("another run can claim %s", own)
	}
}
