//go:build unix

package wal

import (
	"syscall"

	"github.com/rotisserie/eris"
)

// Free returns how many bytes may still be written to the folder's disk.
func (f *Folder) Free() (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(f.dir, &s); err != nil {
		return 0, eris.Wrap(err, "ask for free space")
	}
	return s.Bavail * uint64(s.Bsize), nil
}
