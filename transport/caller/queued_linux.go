package caller

import "golang.org/x/sys/unix"

// queued returns how many bytes the kernel keeps that the caller has not acknowledged;
// false where that is not known.
func (w *nonblocking) queued() (bytes int, known bool) {
	if w.raw == nil {
		return 0, false
	}
	err := w.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		bytes, known = n, err == nil
	})
	return bytes, known && err == nil
}
