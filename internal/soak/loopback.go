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
	prefix, _, err := claimLoopback() // The claim ends with the process.
	return prefix, err
})

// prefix is loopback behind the check in New.
func prefix() string {
	p, _ := loopback() // New has returned the error.
	return p
}

// claimLoopback chooses a range that no other run has, and returns what gives it back.
func claimLoopback() (prefix string, release func() error, err error) {
	for n := firstClaim; n <= lastClaim; n++ {
		prefix := fmt.Sprintf("127.%d", n)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", prefix, claimPort))
		if err == nil {
			return prefix, ln.Close, nil
		}
	}
	return "", nil, fmt.Errorf("each range of loopback addresses from 127.%d to 127.%d is in use", firstClaim, lastClaim)
}
