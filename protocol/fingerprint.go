package protocol

import "fmt"

// Fingerprint identifies requests that repeat the same content: the same caller, host,
// path and body, whatever request IDs they carry. With a Quick of 0 it identifies those
// of one caller and route whose prompts have one part in common.
type Fingerprint struct {
	_       struct{}  `cbor:",toarray"`
	Quick   uint64    `json:"quick"`   // hash that is cheap enough to compute for every request
	Content [2]uint64 `json:"content"` // 128-bit hash for which collisions cannot be crafted
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool { return f.Quick == 0 }

// String returns the content hash in hexadecimal, as shown in logs and dumps.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x%016x", f.Content[0], f.Content[1])
}
