package backend

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// ErrEndUnconfirmed is returned at the end of a body that ends with its connection: a server that
// has written all of it and one that has crashed close the connection alike.
var ErrEndUnconfirmed = eris.New("the answer has neither a length nor chunks, and its connection was closed")

// Body reads the body of an answer.
type Body struct {
	stream  io.Reader
	framing Framing
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body, and
// ErrEndUnconfirmed where the framing cannot tell whether the body is complete.
func (b *Body) Read(p []byte) (int, error) {
	if b.stream == nil {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	if b.framing == FramedByClose && errors.Is(err, io.EOF) {
		err = ErrEndUnconfirmed
	}
	return n, err
}
