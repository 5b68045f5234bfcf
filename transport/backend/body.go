package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrEndUnconfirmed is returned at the end of a body that ends with its connection: a server that
// has written all of it and one that has crashed close the connection alike.
var ErrEndUnconfirmed = eris.New("the answer has neither a length nor chunks, and its connection was closed")

// Body reads the body of an answer.
type Body struct {
	br       *bufio.Reader
	framing  Framing
	left     int       // left is the number of bytes left of a body with a length.
	chunks   io.Reader // chunks decodes a body in chunks.
	ended    bool      // ended reports that the trailer behind the chunks was read.
	closeErr error     // closeErr is returned at the end of a body that ends with its connection.
}

// NewBody returns a reader for the body of an answer whose head was read from br.
func NewBody(br *bufio.Reader, resp *fasthttp.Response) *Body {
	b := &Body{br: br, framing: FramingOf(resp), closeErr: ErrEndUnconfirmed}
	switch {
	case !hasBody(resp.StatusCode()):
	case b.framing == FramedByLength:
		b.left = resp.Header.ContentLength()
	case b.framing == FramedByChunks:
		b.chunks = httputil.NewChunkedReader(br)
	}
	return b
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body. At the end of one
// that ends with its connection it returns ErrEndUnconfirmed, or the failure of the connection. For
// malformed chunks it returns an error that wraps ErrMalformed.
func (b *Body) Read(p []byte) (int, error) {
	switch b.framing {
	case FramedByChunks:
		return b.readChunks(p)
	case FramedByClose:
		n, err := b.br.Read(p)
		if errors.Is(err, io.EOF) {
			err = b.closeErr
		}
		return n, err
	}
	return b.readLength(p)
}

func (b *Body) readLength(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.br.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readChunks reads from a body in chunks, behind which there is a trailer.
func (b *Body) readChunks(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	switch {
	case errors.Is(err, io.EOF) && n > 0:
		err = nil // The data does not wait for the trailer.
	case errors.Is(err, io.EOF):
		err = b.skipTrailer()
	case err != nil:
		err = chunkError(err)
	}
	return n, err
}

// skipTrailer reads the fields behind the last chunk, none of which is used, and returns io.EOF.
func (b *Body) skipTrailer() error {
	if b.ended {
		return io.EOF
	}
	size, err := awaitLines(b.br, checkTrailerLine)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if _, err := b.br.Discard(size); err != nil {
		return err
	}
	b.ended = true
	return io.EOF
}

// chunkError returns the error of the chunk decoder. An error that is not of the connection is one of
// the bytes.
func chunkError(err error) error {
	var network net.Error
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return err
	}
	return eris.Wrap(ErrMalformed, err.Error())
}
