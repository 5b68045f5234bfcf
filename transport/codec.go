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

// Calls between instances are net/rpc in frames: a length of four bytes, then a
// [frameHead] and the call's argument or result, both in CBOR. The codec of the
// standard library describes its types anew on each connection and compiles them at
// both ends. A leader to which hundreds of gateways connect at once spends on that
// what its heartbeats need: 300 connections with one question each take 0.11 s of a
// core with it and 0.04 s with this one, both ends together (BenchmarkFirstCalls).

// ErrFrame is returned when the other side sends what is no frame.
var ErrFrame = eris.New("the peer sent a frame that cannot be read")

const (
	frameLength = 4 // frameLength is how many bytes tell a frame's length.
	// mostFrame bounds a frame in bytes: a snapshot of the group with the largest
	// document that operators may send, and room for what else it holds.
	mostFrame = 256 << 20
	// keptFrame is the largest buffer, in bytes, that is kept for the next frame.
	keptFrame = 64 << 10
)

// frameHead is what net/rpc tells of a call beside its body.
type frameHead struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Seq    uint64
	Error  string
}

var encoding, decoding = peerModes()

// peerModes returns how values are written and read between instances: a time of
// day to the nanosecond, as clocks are compared by it.
func peerModes() (cbor.UserBufferEncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode()
	if err != nil {
		panic(err) // The options are fixed.
	}
	dec, err := cbor.DecOptions{MaxArrayElements: mostFrame, MaxMapPairs: mostFrame}.DecMode()
	if err != nil {
		panic(err) // Likewise.
	}
	return enc, dec
}

// frames reads and writes the frames of one connection. One goroutine reads and one
// writes at a time.
type frames struct {
	conn net.Conn
	r    *bufio.Reader
	in   []byte // in is the latest frame that was read.
	rest []byte // rest is what was not decoded of it yet.
}

// frameBuffers are buffers to encode frames in.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends values as one frame.
func (f *frames) write(values ...any) error {
	buf, _ := frameBuffers.Get().(*bytes.Buffer) // The pool holds nothing else.
	defer func() {
		if buf.Cap() <= keptFrame {
			frameBuffers.Put(buf)
		}
	}()
	buf.Reset()
	buf.Write(make([]byte, frameLength))
	for _, v := range values {
		if err := encoding.MarshalToBuffer(v, buf); err != nil {
			return eris.Wrap(err, "encode frame")
		}
	}
	data := buf.Bytes()
	if len(data) > mostFrame {
		return eris.Errorf("a frame of %d bytes is too long", len(data))
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-frameLength))
	_, err := f.conn.Write(data)
	return err
}

// next reads a whole frame of some bytes at the most.
func (f *frames) next(most uint32) error {
	var length [frameLength]byte
	if _, err := io.ReadFull(f.r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > most {
		return eris.Wrapf(ErrFrame, "%d bytes", n)
	}
	if cap(f.in) > keptFrame || cap(f.in) < int(n) {
		f.in = make([]byte, n)
	}
	f.in = f.in[:n]
	_, err := io.ReadFull(f.r, f.in)
	f.rest = f.in
	return err
}

// decode reads the next value of the frame; a nil v skips it.
func (f *frames) decode(v any) error {
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

// head reads a frame and its head.
func (f *frames) head(h *frameHead) error {
	if err := f.next(mostFrame); err != nil {
		return err
	}
	return f.decode(h)
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *frames }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h frameHead
	err := c.head(&h)
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(frameHead{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		_ = c.conn.Close() // A part of the frame may be out: the connection is of no use.
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *frames }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(frameHead{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h frameHead
	err := c.head(&h)
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decode(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }
