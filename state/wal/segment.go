package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

const (
	segmentMagic = "weldlog1"
	frameHeader  = 12      // bytes: length, checksum of the payload, checksum of both
	frameEnd     = 0xa5    // frameEnd is a payload's last byte; zero there means that it was not written
	maxFrame     = 1 << 30 // bytes of a frame's payload
	sector       = 512     // bytes that a disk writes whole; those of one write reach it in any order
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Write appends one frame and syncs it. After an error the folder takes no
// further write: what is on disk is not known any more.
func (f *Folder) Write(hard protocol.HardState, entries []protocol.LogEntry) error {
	if f.failed {
		return ErrFailed
	}
	if err := f.writeFrame(encodeFrame(hard, entries)); err != nil {
		f.failed = true
		return err
	}
	return nil
}

func (f *Folder) writeFrame(frame []byte) error {
	if _, err := f.log.Write(frame); err != nil {
		return eris.Wrap(err, "write log")
	}
	return eris.Wrap(f.log.Sync(), "sync log")
}

// The flags behind the entries of a frame. A frame without any has no byte for them,
// as those of earlier versions.
const (
	ledFlag     = 1 // ledFlag marks that the replica led the term of its hard state.
	promiseFlag = 2 // promiseFlag marks that its longest promise follows.
)

// encodeFrame renders a frame: header, hard state, entries, flags.
func encodeFrame(hard protocol.HardState, entries []protocol.LogEntry) []byte {
	frame := make([]byte, frameHeader, frameHeader+64)
	frame = binary.AppendUvarint(frame, hard.Term)
	frame = appendBytes(frame, []byte(hard.Vote.Name))
	frame = binary.AppendUvarint(frame, hard.Vote.Incarnation)
	frame = binary.AppendUvarint(frame, uint64(len(entries)))
	for i := range entries {
		e := &entries[i]
		frame = binary.AppendUvarint(frame, e.Index)
		frame = binary.AppendUvarint(frame, e.Term)
		frame = append(frame, byte(e.Kind))
		frame = appendBytes(frame, e.Data)
	}
	frame = appendFlags(frame, hard)
	frame = append(frame, frameEnd)
	payload := frame[frameHeader:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return frame
}

// appendFlags renders what only some hard states have.
func appendFlags(frame []byte, hard protocol.HardState) []byte {
	var flags byte
	if hard.Led {
		flags |= ledFlag
	}
	if hard.Promise > 0 {
		flags |= promiseFlag
	}
	if flags != 0 {
		frame = append(frame, flags)
	}
	if hard.Promise > 0 {
		frame = binary.AppendUvarint(frame, uint64(hard.Promise))
	}
	return frame
}

func appendBytes(dst, b []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(b)))
	return append(dst, b...)
}

// payloadReader reads what encodeFrame wrote. After a fault, ok stays false.
type payloadReader struct {
	rest []byte
	bad  bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if r.bad || n > uint64(len(r.rest)) {
		r.bad = true
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func (r *payloadReader) byte() byte {
	if len(r.rest) == 0 {
		r.bad = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func decodePayload(payload []byte) (hard protocol.HardState, entries []protocol.LogEntry, ok bool) {
	r := payloadReader{rest: payload}
	hard.Term = r.uvarint()
	hard.Vote.Name = string(r.bytes())
	hard.Vote.Incarnation = r.uvarint()
	count := r.uvarint()
	for i := uint64(0); i < count && !r.bad; i++ {
		e := protocol.LogEntry{Index: r.uvarint(), Term: r.uvarint()}
		e.Kind = protocol.EntryKind(r.byte())
		e.Data = r.bytes()
		entries = append(entries, e)
	}
	if len(r.rest) > 1 {
		flags := r.byte()
		hard.Led = flags&ledFlag != 0
		if flags&promiseFlag != 0 {
			hard.Promise = time.Duration(r.uvarint())
		}
		r.bad = r.bad || flags&^(ledFlag|promiseFlag) != 0
	}
	end := r.byte()
	return hard, entries, !r.bad && end == frameEnd && len(r.rest) == 0
}

// frameAt returns the payload of the frame at an offset, if a whole good one
// is there.
func frameAt(data []byte, offset int) ([]byte, bool) {
	if len(data)-offset < frameHeader || !goodHeader(data[offset:]) {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(data[offset:]))
	if size == 0 || size > maxFrame || size > len(data)-offset-frameHeader {
		return nil, false
	}
	payload := data[offset+frameHeader : offset+frameHeader+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[offset+4:]) {
		return nil, false
	}
	return payload, true
}

// torn reports whether what is at an offset can be a write that was cut off:
// the file ends too early, or a part of what was written is still zeros, as the
// disk may write the sectors of a frame in any order. Anything else was written
// whole and changed later.
func torn(rest []byte, offset int) bool {
	if len(rest) < frameHeader || bytes.Contains(rest, unwritten[:]) || missesSector(rest, offset) {
		return true
	}
	if !goodHeader(rest) {
		return rest[frameHeader-1] == 0 && len(bytes.Trim(rest[frameHeader:], "\x00")) == 0
	}
	size := int(binary.LittleEndian.Uint32(rest))
	return len(rest) < frameHeader+size || rest[len(rest)-1] == 0
}

// missesSector reports whether a sector's share of what is at an offset is zeros.
func missesSector(rest []byte, offset int) bool {
	for len(rest) > 0 {
		share := min(len(rest), sector-offset%sector)
		if len(bytes.Trim(rest[:share], "\x00")) == 0 {
			return true
		}
		rest, offset = rest[share:], offset+share
	}
	return false
}

// unwritten is a run of zeros that no frame holds.
var unwritten [48]byte

func goodHeader(frame []byte) bool {
	return crc32.Checksum(frame[:8], castagnoli) == binary.LittleEndian.Uint32(frame[8:])
}

// replay reads the last segment into loaded. It holds all that follows the
// snapshot that it was begun after; older segments were removed, and are back
// only where the power went before that lasted.
func (f *Folder) replay(seq uint64, loaded *Loaded) error {
	file := f.path(segmentPrefix, seq)
	data, err := f.disk.Read(file)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		return &Damage{File: file, What: "is not a segment of a log"}
	}
	var log []protocol.LogEntry
	offset := len(segmentMagic)
	for offset < len(data) {
		payload, ok := frameAt(data, offset)
		if !ok {
			if err := f.cutTorn(file, data, offset, loaded); err != nil {
				return err
			}
			break
		}
		hard, entries, ok := decodePayload(payload)
		if !ok {
			return &Damage{File: file, Offset: int64(offset), What: "the frame cannot be decoded"}
		}
		loaded.Hard = hard
		log = extend(log, entries)
		offset += frameHeader + len(payload)
	}
	if len(log) > 0 && log[0].Index > loaded.Snapshot.Index+1 {
		return &Damage{File: file, Offset: int64(offset), What: "an entry is missing behind the snapshot"}
	}
	loaded.Entries = behind(log, loaded.Snapshot)
	return nil
}

// cutTorn cuts off a torn write at the end of a segment. Anything else that is
// bad is damage.
func (f *Folder) cutTorn(file string, data []byte, offset int, loaded *Loaded) error {
	if !torn(data[offset:], offset) {
		return &Damage{File: file, Offset: int64(offset), What: "the checksum does not match what was written"}
	}
	loaded.Torn = int64(len(data) - offset)
	if err := f.disk.Truncate(file, int64(offset)); err != nil {
		return eris.Wrap(err, "cut off torn write")
	}
	return nil
}

// extend puts entries behind the log. An entry at an index that is there
// already replaces it and what is behind it. One that does not follow the log
// follows a leader's snapshot, which replaced all before it.
func extend(log, entries []protocol.LogEntry) []protocol.LogEntry {
	for _, e := range entries {
		if len(log) == 0 || e.Index < log[0].Index || e.Index > log[len(log)-1].Index+1 {
			log = append(log[:0:0], e)
			continue
		}
		log = append(log[:e.Index-log[0].Index], e)
	}
	return log
}

// behind returns the entries that follow a snapshot. If the log's own entry at
// the snapshot's index is another one, the snapshot replaced the whole log.
func behind(log []protocol.LogEntry, snap protocol.SnapshotMeta) []protocol.LogEntry {
	if len(log) == 0 || log[len(log)-1].Index <= snap.Index {
		return nil
	}
	if log[0].Index > snap.Index {
		return log
	}
	at := snap.Index - log[0].Index
	if log[at].Term != snap.Term {
		return nil
	}
	return log[at+1:]
}

// newSegment begins the next segment with the hard state and the entries that
// are still needed.
func (f *Folder) newSegment(hard protocol.HardState, entries []protocol.LogEntry) error {
	f.seq++
	if err := f.replace(f.path(segmentPrefix, f.seq), []byte(segmentMagic), encodeFrame(hard, entries)); err != nil {
		return err
	}
	return f.openSegment()
}

func (f *Folder) openSegment() error {
	log, err := f.disk.Append(f.path(segmentPrefix, f.seq))
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	if f.log != nil {
		_ = f.log.Close() // The old segment is synced.
	}
	f.log = log
	return eris.Wrap(log.Sync(), "sync log")
}
