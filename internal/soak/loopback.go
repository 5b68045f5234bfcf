package soak

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// LoopbackVariable names the environment variable with the first two parts of the
// loopback addresses to use. Without it they are chosen so that no other run on this
// machine has them.
const LoopbackVariable = "WELDSTREAM_LOOPBACK"

const (
	// claimPort is listened on at the first address of a range by the run that uses it.
	claimPort = 29411
	// firstClaim and lastClaim bound the second parts that are chosen; those below are for
	// LoopbackVariable.
	firstClaim, lastClaim = 128, 254
)

// loopback returns the first two parts of this run's loopback addresses. Two runs that
// shared them met: a port that one had found free was listened on by the other a moment
// later, and a daemon did not start ("bind: address already in use").
var loopback = sync.OnceValues(func() (string, error) {
	if prefix := os.Getenv(LoopbackVariable); prefix != "" {
		return prefix, nil
	}
	return keepLoopback()
})

// kept are the claims that last until the process ends. A listener that nothing refers to
// is closed by the garbage collector, and another run could then claim the same range.
var kept struct {
	sync.Mutex
	listeners []net.Listener
}

// keepLoopback claims a range until the process ends.
func keepLoopback() (prefix string, err error) {
	prefix, ln, err := claimLoopback()
	if err != nil {
		return "", err
	}
	kept.Lock()
	defer kept.Unlock()
	kept.listeners = append(kept.listeners, ln)
	return prefix, nil
}

// prefix is loopback behind the check in New.
func prefix() string {
	p, _ := loopback() // New has returned the error.
	return p
}

// claimLoopback chooses a range that no other run has. It is claimed until the listener is
// closed.
func claimLoopback() (prefix string, claim net.Listener, err error) {
	for n := firstClaim; n <= lastClaim; n++ {
		prefix := fmt.Sprintf("127.%d", n)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", prefix, claimPort))
		if err == nil {
			return prefix, ln, nil
		}
	}
	return "", nil, fmt.Errorf("each range of loopback addresses from 127.%d to 127.%d is in use", firstClaim, lastClaim)
}
