package soak

import (
	"errors"
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
	first, end, err := claimLoopback()
	if err != nil {
		t.Fatal(err)
	}
	second, endSecond, err := claimLoopback()
	if err != nil {
		t.Fatal(err)
	}
	if first == second {
		t.Errorf("both have %s", first)
	}
	if err := errors.Join(end(), endSecond()); err != nil {
		t.Error(err)
	}
}
