// Package quarantine recognizes requests under which servers end.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/protocol"
)

// Request is what two sends of one request have in common.
type Request struct {
	Caller string // Caller is the workspace, or the key where there is none.
	Host   string
	Path   string // Path is with the query.
	Body   []byte
}

// QuickHash returns a hash that is cheap to make: a tenth of a microsecond for a body of 1 KB.
func (r *Request) QuickHash() uint64 {
	h := xxhash.New()
	r.hash(h)
	return h.Sum64()
}

// Fingerprint returns the request's fingerprint. Its hash is a cryptographic one: a
// caller cannot make a request that counts as somebody else's.
func (r *Request) Fingerprint() protocol.Fingerprint {
	h := sha256.New()
	r.hash(h)
	sum := h.Sum(nil)
	return protocol.Fingerprint{
		Quick:   r.QuickHash(),
		Content: [2]uint64{binary.BigEndian.Uint64(sum), binary.BigEndian.Uint64(sum[8:])},
	}
}

// separator is between two parts; no header holds it.
const separator = "\x00"

// hash has all parts hashed.
func (r *Request) hash(h hash.Hash) {
	head := strings.Join([]string{r.Caller, r.Host, r.Path, ""}, separator)
	for _, part := range [][]byte{[]byte(head), r.Body} {
		_, _ = h.Write(part) // A hash takes everything; see hash.Hash.
	}
}
