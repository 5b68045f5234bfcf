package control

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// packList packs a list; UnpackList undoes it.
func packList(list []protocol.Instance) []byte {
	data, err := json.Marshal(list)
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
func UnpackList(packed []byte) ([]protocol.Instance, error) {
	data, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	var list []protocol.Instance
	return list, eris.Wrap(json.Unmarshal(data, &list), "read list")
}

// Pack compresses a document for the way to the gateways.
func Pack(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
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
