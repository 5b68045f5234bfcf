package backend

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/valyala/fasthttp"
)

// Framing is how an answer says where its body ends.
type Framing uint8

// The ways to frame a body.
const (
	FramedByLength Framing = iota // A length is announced, or the status allows no body.
	FramedByChunks                // The last chunk ends the body.
	FramedByClose                 // The body ends with its connection.
)

var framingNames = [...]string{"length", "chunks", "close"}

// String returns the name used in logs and metrics.
func (f Framing) String() string { return framingNames[f] }

// FramingOf returns the framing that the head of an answer announces.
func FramingOf(resp *fasthttp.Response) Framing {
	length := resp.Header.ContentLength()
	switch {
	case length >= 0 || !hasBody(resp.StatusCode()):
		return FramedByLength
	case length == -1:
		return FramedByChunks
	}
	return FramedByClose
}

// Ending is how the reading of a body ended.
type Ending uint8

// The endings of a body.
const (
	EndedWhole   Ending = iota // The framing says that the body is complete.
	EndedByClose               // The server closed the connection.
	EndedByReset               // The connection was reset.
	EndedLate                  // No further data arrived in time.
	EndedLocally               // The gateway closed the connection.
	EndedByFault               // The framing is invalid, or the connection failed in another way.
)

var endingNames = [...]string{"whole", "closed", "reset", "timeout", "local", "fault"}

// String returns the name used in logs and metrics.
func (e Ending) String() string { return endingNames[e] }

// EndingOf returns how the reading of a body ended, from the error that the last read returned.
func EndingOf(err error) Ending {
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, ErrEndUnconfirmed):
		return EndedByClose
	case errors.Is(err, io.EOF):
		return EndedWhole
	case errors.Is(err, os.ErrDeadlineExceeded):
		return EndedLate
	case errors.Is(err, net.ErrClosed):
		return EndedLocally
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndedByReset
	}
	return EndedByFault
}
