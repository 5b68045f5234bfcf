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

// packList packs a list; UnpackList undoes it.
func packList(list protocol.ServerList) []byte {
	data, err := cbor.Marshal(list)
	if err != nil {
		panic(err) // Instances hold only strings and numbers.
	}
	packed, err := Pack(data)
	if err != nil {
		panic(err) // Nothing is written but to memory.
	}
	return packed
}

// UnpackList reads a packed list.
func UnpackList(packed []byte) (list protocol.ServerList, err error) {
	data, err := Unpack(packed)
	if err != nil {
		return list, err
	}
	return list, eris.Wrap(cbor.Unmarshal(data, &list), "read list")
}

// packers are kept, since each takes more than half a megabyte.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is fixed.
	}
	return w
}}

// Pack compresses a document for the way to the gateways.
func Pack(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, _ := packers.Get().(*flate.Writer) // The pool holds nothing else.
	defer packers.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return buf.Bytes(), nil
}

// maxDocument bounds what a packed document may hold, in bytes.
const maxDocument = 64 << 20

// Unpack undoes [Pack].
func Unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocument))
	return data, eris.Wrap(err, "unpack document")
}
