package soak

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"
)

// TestPortsDiffer checks that no port is drawn for two purposes, which a daemon that
// listens on both would not start with, and that an error ends the drawing.
func TestPortsDiffer(t *testing.T) {
	row := []int{7, 7, 8, 7, 9}
	draw := func() (int, error) {
		if len(row) == 0 {
			return 0, errors.New("no port is left")
		}
		port := row[0]
		row = row[1:]
		return port, nil
	}
	if got, err := distinctPorts(3, draw); err != nil || !slices.Equal(got, []int{7, 8, 9}) {
		t.Errorf("drew %v, %v", got, err)
	}
	if _, err := distinctPorts(1, draw); err == nil {
		t.Error("drew a port though none was left")
	}
}

// TestRunsDoNotMeet has two runs on one machine at once: they get loopback addresses of
// their own, so that no port which one found free is taken by the other before a daemon
// listens on it. Where both had the same addresses TestPlannedStopCutsNothing failed once with "listen
// tcp 127.0.1.101:34457: bind: address already in use".
func TestRunsDoNotMeet(t *testing.T) {
	first, claim, err := claimLoopback()
	if err != nil {
		t.Fatal(err)
	}
	second, secondClaim, err := claimLoopback()
	if err != nil {
		t.Fatal(err)
	}
	if first == second {
		t.Errorf("both have %s", first)
	}
	if err := errors.Join(claim.Close(), secondClaim.Close()); err != nil {
		t.Error(err)
	}
}

// TestClaimLasts checks that the run's claim outlasts the garbage collector, which closes a
// listener that nothing refers to. Two of four runs at once had the same addresses for that
// ("listen tcp 127.128.1.2:41001: bind: address already in use", control-1 stopped).
func TestClaimLasts(t *testing.T) {
	own, err := keepLoopback()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // A finalizer runs behind the collection that finds it.
		runtime.GC()
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", own, claimPort))
	if err == nil {
		_ = ln.Close() // The test has failed.
		t.Errorf("another run can claim %s", own)
	}
}
