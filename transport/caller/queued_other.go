//go:build !linux

package caller

// queued returns no value: bytes accepted by the kernel count as received by the caller.
func (*nonblocking) queued() (bytes int, known bool) { return 0, false }
