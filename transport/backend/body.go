package backend

import "io"

// Body reads the body of an answer.
type Body struct {
	stream io.Reader
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *Body) Read(p []byte) (int, error) {
	if b.stream == nil {
		return 0, io.EOF
	}
	return b.stream.Read(p)
}
