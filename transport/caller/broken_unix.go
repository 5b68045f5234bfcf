//go:build unix

package caller

import (
	"errors"
	"io"
	"syscall"
)

// isBroken reports whether an error says that the caller is gone.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
