package wal

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

const snapshotMagic = "weldsnp1"

// snapshotHeaderSize covers the magic, the checksum of the rest and the length of the
// metadata.
const snapshotHeaderSize = len(snapshotMagic) + 4 + 4

// SaveSnapshot writes a snapshot and starts a new segment with the entries after it.
// Older segments and snapshots are removed once both are on disk.
func (f *Folder) SaveSnapshot(meta protocol.SnapshotMeta, data []byte, hard protocol.HardState, rest []protocol.LogEntry) error {
	if err := f.WriteSnapshot(meta, data); err != nil {
		f.failed = true
		return err
	}
	return f.Rotate(meta.Index, hard, rest)
}

// WriteSnapshot writes a snapshot without changing the log. Unlike the folder's other
// methods it may run concurrently with them: it writes only its own file.
func (f *Folder) WriteSnapshot(meta protocol.SnapshotMeta, data []byte) error {
	head, err := json.Marshal(meta)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	sum := crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, data)
	prefix := []byte(snapshotMagic)
	prefix = binary.LittleEndian.AppendUint32(prefix, sum)
	prefix = binary.LittleEndian.AppendUint32(prefix, uint32(len(head)))
	return f.replaceFile(f.path(snapshotPrefix, meta.Index), prefix, head, data)
}

// Rotate starts a new segment with the entries after the snapshot at an index, which must
// be on disk, and removes the files that both replace.
func (f *Folder) Rotate(index uint64, hard protocol.HardState, rest []protocol.LogEntry) error {
	if f.failed {
		return ErrFailed
	}
	err := f.newSegment(hard, rest)
	if err == nil {
		err = f.removeOld(index)
	}
	f.failed = err != nil
	return err
}

// removeOld removes the segments and snapshots older than the current ones.
func (f *Folder) removeOld(index uint64) error {
	segments, snapshots, err := f.listFiles()
	if err != nil {
		return err
	}
	for _, seq := range segments {
		if seq < f.seq {
			if err := f.disk.Remove(f.path(segmentPrefix, seq)); err != nil {
				return eris.Wrap(err, "remove segment")
			}
		}
	}
	for _, n := range snapshots {
		if n < index {
			if err := f.disk.Remove(f.path(snapshotPrefix, n)); err != nil {
				return eris.Wrap(err, "remove snapshot")
			}
		}
	}
	return nil
}

// ReadSnapshot reads the latest snapshot from disk, for a replica that is too far behind;
// ok is false if there is none.
func (f *Folder) ReadSnapshot() (meta protocol.SnapshotMeta, data []byte, ok bool, err error) {
	_, snapshots, err := f.listFiles()
	if err != nil || len(snapshots) == 0 {
		return protocol.SnapshotMeta{}, nil, false, err
	}
	var loaded Loaded
	if err := f.loadSnapshot(snapshots[len(snapshots)-1], &loaded); err != nil {
		return protocol.SnapshotMeta{}, nil, false, err
	}
	return loaded.Snapshot, loaded.Data, true, nil
}

func (f *Folder) loadSnapshot(index uint64, loaded *Loaded) error {
	file := f.path(snapshotPrefix, index)
	data, err := f.disk.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	if len(data) < snapshotHeaderSize || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return &Damage{File: file, What: "not a snapshot"}
	}
	sum := binary.LittleEndian.Uint32(data[len(snapshotMagic):])
	size := int(binary.LittleEndian.Uint32(data[len(snapshotMagic)+4:]))
	rest := data[snapshotHeaderSize:]
	if crc32.Checksum(rest, castagnoli) != sum || size > len(rest) {
		return &Damage{File: file, Offset: int64(snapshotHeaderSize), What: "snapshot checksum mismatch"}
	}
	if err := json.Unmarshal(rest[:size], &loaded.Snapshot); err != nil {
		return &Damage{File: file, Offset: int64(snapshotHeaderSize), What: err.Error()}
	}
	loaded.Data = rest[size:]
	return nil
}
