package backend

import "io"

// Body reads an answer's body.
type Body struct {
	stream io.Reader
}

// Read implements io.Reader. Only a whole body ends in io.EOF.
func (b *Body) Read(p []byte) (int, error) {
	if b.stream == nil {
		return 0, io.EOF
	}
	return b.stream.Read(p)
}
