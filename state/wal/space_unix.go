//go:build unix

package wal

import (
	"syscall"

	"github.com/rotisserie/eris"
)

// FreeSpace returns the number of bytes available on the folder's file system.
func (f *Folder) FreeSpace() (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(f.dir, &s); err != nil {
		return 0, eris.Wrap(err, "get free space")
	}
	return s.Bavail * uint64(s.Bsize), nil
}
