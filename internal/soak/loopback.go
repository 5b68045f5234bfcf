package soak

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// LoopbackVariable names the environment variable with the first two octets of the
// loopback addresses to use. If it is unset, they are chosen so that no other run on this
// machine uses them.
const LoopbackVariable = "WELDSTREAM_LOOPBACK"

const (
	// claimPort is bound at the first address of a range by the run that uses the range.
	claimPort = 29411
	// firstRange and lastRange bound the second octets to choose from; those below are left
	// for LoopbackVariable.
	firstRange, lastRange = 128, 254
)

// loopback returns the first two octets of this run's loopback addresses. When two runs
// shared them, a port that one had found free was bound by the other a moment later, and a
// daemon did not start ("bind: address already in use").
var loopback = sync.OnceValues(func() (string, error) {
	if prefix := os.Getenv(LoopbackVariable); prefix != "" {
		return prefix, nil
	}
	return holdLoopback()
})

// heldClaims are the listeners that claim ranges until the process ends. The garbage
// collector closes a listener that nothing refers to, and another run could then claim the
// same range.
var heldClaims struct {
	sync.Mutex
	listeners []net.Listener
}

// holdLoopback claims a range until the process ends.
func holdLoopback() (prefix string, err error) {
	prefix, ln, err := claimLoopback()
	if err != nil {
		return "", err
	}
	heldClaims.Lock()
	defer heldClaims.Unlock()
	heldClaims.listeners = append(heldClaims.listeners, ln)
	return prefix, nil
}

// loopbackPrefix returns the prefix of loopback, whose error New has already checked.
func loopbackPrefix() string {
	p, _ := loopback() // New has returned the error.
	return p
}

// claimLoopback chooses a range that no other run uses. The claim lasts until the listener
// is closed.
func claimLoopback() (prefix string, claim net.Listener, err error) {
	for n := firstRange; n <= lastRange; n++ {
		prefix := fmt.Sprintf("127.%d", n)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", prefix, claimPort))
		if err == nil {
			return prefix, ln, nil
		}
	}
	return "", nil, fmt.Errorf("all loopback address ranges from 127.%d to 127.%d are in use", firstRange, lastRange)
}
