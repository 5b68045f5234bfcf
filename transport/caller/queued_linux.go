package caller

import "golang.org/x/sys/unix"

// queued returns the number of bytes in the kernel's send queue that the caller has not
// acknowledged, and whether that number is known.
func (w *nonblockingWriter) queued() (bytes int, known bool) {
	if w.raw == nil {
		return 0, false
	}
	err := w.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		bytes, known = n, err == nil
	})
	return bytes, known && err == nil
}
