//go:build !linux

package tcp

import (
	"net"
	"time"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists only on Linux. Keep-alive probes still
// detect a dead peer here.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }
