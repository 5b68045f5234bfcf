package protocol

import "fmt"

// Fingerprint tells whether two requests are the same one sent again: alike in their
// caller, host, path and body, whatever ids they carry.
type Fingerprint struct {
	_       struct{}  `cbor:",toarray"`
	Quick   uint64    `json:"quick"`   // Quick is a hash that is cheap to make for each request.
	Content [2]uint64 `json:"content"` // Content are 128 bits of a hash that nobody can aim at another's.
}

// String renders the fingerprint as logs and dumps show it.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x%016x", f.Content[0], f.Content[1])
}
