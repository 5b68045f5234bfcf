//go:build unix

package wal

import (
	"errors"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// lockFolder takes the folder's lock. The kernel releases it when the process ends, even
// if it crashes.
func lockFolder(file string) (*os.File, error) {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(eris.Wrapf(ErrLocked, "%s", file), f.Close())
	}
	return f, nil
}
