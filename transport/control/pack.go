package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// packList encodes and compresses a list; UnpackList reverses it.
func packList(list protocol.ServerList) []byte {
	data, err := cbor.Marshal(list)
	if err != nil {
		panic(err) // Instances contain only strings and numbers.
	}
	packed, err := Pack(data)
	if err != nil {
		panic(err) // Writes to memory do not fail.
	}
	return packed
}

// UnpackList decodes a list that packList encoded.
func UnpackList(packed []byte) (list protocol.ServerList, err error) {
	data, err := Unpack(packed)
	if err != nil {
		return list, err
	}
	return list, eris.Wrap(cbor.Unmarshal(data, &list), "read list")
}

// flateWriters pools compressors, each of which allocates more than half a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// Pack compresses a document for transfer to the gateways.
func Pack(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, _ := flateWriters.Get().(*flate.Writer) // The pool contains only this type.
	defer flateWriters.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return buf.Bytes(), nil
}

// maxDocumentSize bounds the size of an unpacked document, in bytes.
const maxDocumentSize = 64 << 20

// Unpack reverses [Pack].
func Unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocumentSize))
	return data, eris.Wrap(err, "unpack document")
}
