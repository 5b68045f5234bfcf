package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Calls between instances are net/rpc in frames: a four-byte length, then a
// [frameHeader] and the call's argument or result, both in CBOR. encoding/gob, the
// codec of the standard library, sends type descriptions on each connection and
// compiles them at both ends. A leader to which hundreds of gateways connect at
// once would spend CPU time on that which its heartbeats need: 300 connections
// with one call each take 0.11 s of a core with gob and 0.04 s with this codec,
// both ends together (BenchmarkFirstCalls).

// ErrFrame is returned for a malformed or oversized frame.
var ErrFrame = eris.New("the peer sent an invalid frame")

const (
	lengthBytes = 4 // lengthBytes is the size of the length prefix.
	// maxFrameBytes limits a frame: a snapshot of the group with the largest
	// document that operators may send, and room for the rest of the snapshot.
	maxFrameBytes = 256 << 20
	// maxReusedBuffer is the largest buffer, in bytes, that is reused for the next
	// frame.
	maxReusedBuffer = 64 << 10
)

// frameHeader carries the header of a net/rpc request or response.
type frameHeader struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Seq    uint64
	Error  string
}

var encoding, decoding = cborModes()

// cborModes returns the modes for values between instances. Times keep
// nanoseconds, since clocks are compared by them.
func cborModes() (cbor.UserBufferEncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode()
	if err != nil {
		panic(err) // The options are fixed.
	}
	dec, err := cbor.DecOptions{MaxArrayElements: maxFrameBytes, MaxMapPairs: maxFrameBytes}.DecMode()
	if err != nil {
		panic(err) // The options are fixed.
	}
	return enc, dec
}

// frameConn reads and writes the frames of one connection. At most one goroutine
// reads and one writes at a time.
type frameConn struct {
	conn net.Conn
	r    *bufio.Reader
	in   []byte // in is the latest frame read.
	rest []byte // rest is the undecoded part of in.
}

// frameBuffers holds buffers for encoding frames.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends values as one frame.
func (f *frameConn) write(values ...any) error {
	buf, _ := frameBuffers.Get().(*bytes.Buffer) // The pool holds only *bytes.Buffer.
	defer func() {
		if buf.Cap() <= maxReusedBuffer {
			frameBuffers.Put(buf)
		}
	}()
	buf.Reset()
	buf.Write(make([]byte, lengthBytes))
	for _, v := range values {
		if err := encoding.MarshalToBuffer(v, buf); err != nil {
			return eris.Wrap(err, "encode frame")
		}
	}
	data := buf.Bytes()
	if len(data) > maxFrameBytes {
		return eris.Errorf("frame of %d bytes exceeds the limit", len(data))
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthBytes))
	_, err := f.conn.Write(data)
	return err
}

// readFrame reads a frame of at most limit bytes.
func (f *frameConn) readFrame(limit uint32) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(f.r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > limit {
		return eris.Wrapf(ErrFrame, "%d bytes", n)
	}
	if cap(f.in) > maxReusedBuffer || cap(f.in) < int(n) {
		f.in = make([]byte, n)
	}
	f.in = f.in[:n]
	_, err := io.ReadFull(f.r, f.in)
	f.rest = f.in
	return err
}

// decode reads the next value of the frame; a nil v skips the rest.
func (f *frameConn) decode(v any) error {
	if v == nil {
		return nil // Nothing follows a body.
	}
	rest, err := decoding.UnmarshalFirst(f.rest, v)
	if err != nil {
		return eris.Wrap(ErrFrame, err.Error())
	}
	f.rest = rest
	return nil
}

// readHeader reads a frame and decodes its header.
func (f *frameConn) readHeader(h *frameHeader) error {
	if err := f.readFrame(maxFrameBytes); err != nil {
		return err
	}
	return f.decode(h)
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *frameConn }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h frameHeader
	err := c.readHeader(&h)
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(frameHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		_ = c.conn.Close() // Part of the frame may have been sent, so the connection is unusable.
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *frameConn }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(frameHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h frameHeader
	err := c.readHeader(&h)
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decode(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }
