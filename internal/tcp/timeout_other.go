//go:build !linux

package tcp

import (
	"net"
	"time"
)

// setUserTimeout does nothing where the kernel knows no such bound; the probes remain.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }
