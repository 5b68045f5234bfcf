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
	segmentMagic    = "weldlog1"
	frameHeaderSize = 12      // frameHeaderSize covers, in bytes, payload length, checksum of the payload, checksum of both
	frameEndMarker  = 0xa5    // frameEndMarker is the last byte of a payload; a zero there means that it was not written
	maxPayloadSize  = 1 << 30 // maxPayloadSize limits a frame's payload, in bytes
	sectorSize      = 512     // sectorSize is how many bytes a disk writes atomically; the sectors of one write reach it in any order
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Write appends a frame and syncs it. After an error all further writes fail, since the
// content on disk is unknown.
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

// Flags that follow the entries of a frame. A frame without flags omits the byte, as
// frames of earlier versions do.
const (
	ledFlag     = 1 // ledFlag says that the replica led the term of its hard state.
	promiseFlag = 2 // promiseFlag says that the promise of the hard state follows.
)

// encodeFrame encodes a frame: header, hard state, entries, flags and end marker.
func encodeFrame(hard protocol.HardState, entries []protocol.LogEntry) []byte {
	frame := make([]byte, frameHeaderSize, frameHeaderSize+64)
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
	frame = append(frame, frameEndMarker)
	payload := frame[frameHeaderSize:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return frame
}

// appendFlags encodes the optional fields of a hard state.
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

// payloadReader decodes what encodeFrame encoded. After an error, invalid stays true.
type payloadReader struct {
	rest    []byte
	invalid bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.invalid = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if r.invalid || n > uint64(len(r.rest)) {
		r.invalid = true
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func (r *payloadReader) byte() byte {
	if len(r.rest) == 0 {
		r.invalid = true
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
	for i := uint64(0); i < count && !r.invalid; i++ {
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
		r.invalid = r.invalid || flags&^(ledFlag|promiseFlag) != 0
	}
	end := r.byte()
	return hard, entries, !r.invalid && end == frameEndMarker && len(r.rest) == 0
}

// frameAt returns the payload of the frame at an offset, if the frame is complete and its
// checksums match.
func frameAt(data []byte, offset int) ([]byte, bool) {
	if len(data)-offset < frameHeaderSize || !headerValid(data[offset:]) {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(data[offset:]))
	if size == 0 || size > maxPayloadSize || size > len(data)-offset-frameHeaderSize {
		return nil, false
	}
	payload := data[offset+frameHeaderSize : offset+frameHeaderSize+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[offset+4:]) {
		return nil, false
	}
	return payload, true
}

// isTorn reports whether the data from an offset on may be an interrupted write: the file
// ends too early, or part of what was written is still zeros, since the disk may write
// the sectors of a frame in any order. Anything else was written completely and changed
// later.
func isTorn(rest []byte, offset int) bool {
	if len(rest) < frameHeaderSize || bytes.Contains(rest, longZeroRun[:]) || hasZeroSector(rest, offset) {
		return true
	}
	if !headerValid(rest) {
		return rest[frameHeaderSize-1] == 0 && len(bytes.Trim(rest[frameHeaderSize:], "\x00")) == 0
	}
	size := int(binary.LittleEndian.Uint32(rest))
	return len(rest) < frameHeaderSize+size || rest[len(rest)-1] == 0
}

// hasZeroSector reports whether the part of any sector that is covered by the data at an
// offset is all zeros.
func hasZeroSector(rest []byte, offset int) bool {
	for len(rest) > 0 {
		part := min(len(rest), sectorSize-offset%sectorSize)
		if len(bytes.Trim(rest[:part], "\x00")) == 0 {
			return true
		}
		rest, offset = rest[part:], offset+part
	}
	return false
}

// longZeroRun is longer than any run of zeros in a frame.
var longZeroRun [48]byte

func headerValid(frame []byte) bool {
	return crc32.Checksum(frame[:8], castagnoli) == binary.LittleEndian.Uint32(frame[8:])
}

// replay reads the last segment into loaded. It has everything after the snapshot that it
// was started with. Older segments were removed; they can only reappear if power was lost
// before the removal was durable.
func (f *Folder) replay(seq uint64, loaded *Loaded) error {
	file := f.path(segmentPrefix, seq)
	data, err := f.disk.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		return &Damage{File: file, What: "not a log segment"}
	}
	var log []protocol.LogEntry
	offset := len(segmentMagic)
	for offset < len(data) {
		payload, ok := frameAt(data, offset)
		if !ok {
			if err := f.truncateTorn(file, data, offset, loaded); err != nil {
				return err
			}
			break
		}
		hard, entries, ok := decodePayload(payload)
		if !ok {
			return &Damage{File: file, Offset: int64(offset), What: "frame cannot be decoded"}
		}
		loaded.Hard = hard
		log = applyEntries(log, entries)
		offset += frameHeaderSize + len(payload)
	}
	if len(log) > 0 && log[0].Index > loaded.Snapshot.Index+1 {
		return &Damage{File: file, Offset: int64(offset), What: "entries are missing between the snapshot and the log"}
	}
	loaded.Entries = entriesAfter(log, loaded.Snapshot)
	return nil
}

// truncateTorn truncates a torn write at the end of a segment. Any other invalid data is
// damage.
func (f *Folder) truncateTorn(file string, data []byte, offset int, loaded *Loaded) error {
	if !isTorn(data[offset:], offset) {
		return &Damage{File: file, Offset: int64(offset), What: "frame checksum mismatch"}
	}
	loaded.Torn = int64(len(data) - offset)
	if err := f.disk.Truncate(file, int64(offset)); err != nil {
		return eris.Wrap(err, "truncate torn write")
	}
	return nil
}

// applyEntries appends entries to the log. An entry at an existing index replaces that
// entry and all entries after it. An entry that does not follow the log follows a
// leader's snapshot, which replaced everything before it.
func applyEntries(log, entries []protocol.LogEntry) []protocol.LogEntry {
	for _, e := range entries {
		if len(log) == 0 || e.Index < log[0].Index || e.Index > log[len(log)-1].Index+1 {
			log = append(log[:0:0], e)
			continue
		}
		log = append(log[:e.Index-log[0].Index], e)
	}
	return log
}

// entriesAfter returns the entries after a snapshot. If the log has a different entry at
// the snapshot's index, the snapshot replaced the whole log.
func entriesAfter(log []protocol.LogEntry, snap protocol.SnapshotMeta) []protocol.LogEntry {
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

// newSegment starts the next segment with the hard state and the entries that are still
// needed.
func (f *Folder) newSegment(hard protocol.HardState, entries []protocol.LogEntry) error {
	f.seq++
	if err := f.replaceFile(f.path(segmentPrefix, f.seq), []byte(segmentMagic), encodeFrame(hard, entries)); err != nil {
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
