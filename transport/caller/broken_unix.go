//go:build unix

package caller

import (
	"errors"
	"io"
	"syscall"
)

// isDisconnect reports whether an error means that the caller has disconnected.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
