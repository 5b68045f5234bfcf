// Package wal stores a replica's log and snapshots in one data folder.
//
// The folder contains
//
//	identity     the replica's name and the incarnation of this folder
//	log-N        log segments, in the order of N
//	snapshot-N   the state machine at index N
//	aside-*      files renamed by [SetAside]
//	lock         locked by the process that uses the folder
//
// A segment is a sequence of frames. A frame is one group commit: length and checksums,
// followed by the hard state and the entries that were written together. A frame is
// written only after the previous one is synced. So only the last frame can be torn by a
// crash. A torn frame, which is cut short or contains zeros, was never acknowledged and
// is truncated. Any other checksum mismatch is damage: opening the folder fails and
// modifies nothing.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// Errors of a data folder.
var (
	// ErrDamaged is returned when a file in the folder differs from what was written.
	ErrDamaged = eris.New("data folder is damaged")
	// ErrFailed is returned for every write after a failed one.
	ErrFailed = eris.New("an earlier write to the data folder failed")
	// ErrForeign is returned when the folder belongs to another instance.
	ErrForeign = eris.New("data folder belongs to another instance")
	// ErrLocked is returned when another process uses the folder.
	ErrLocked = eris.New("data folder is in use by another process")
)

// Damage reports where a file differs from what was written.
type Damage struct {
	File   string
	Offset int64 // Offset is in bytes from the start of the file.
	What   string
}

// Error implements error.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.What)
}

// Unwrap makes the error match [ErrDamaged].
func (d *Damage) Unwrap() error { return ErrDamaged }

const (
	identityFile   = "identity"
	lockFile       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	folderMode     = 0o700
	fileMode       = 0o600
)

// identity is the content of the identity file.
type identity struct {
	Name        string                   `json:"name"`
	Incarnation uint64                   `json:"incarnation"`
	Group       uint64                   `json:"group,omitempty"`    // Group is the random identifier of the group; 0 before the group is founded.
	Founders    *protocol.ReplicaMembers `json:"founders,omitempty"` // Founders are the initial members.
}

// Loaded is the content of a folder when it is opened.
type Loaded struct {
	Hard     protocol.HardState
	Snapshot protocol.SnapshotMeta
	Data     []byte              // Data is the state machine at the snapshot; nil without one.
	Entries  []protocol.LogEntry // Entries are the entries after the snapshot.
	Torn     int64               // Torn is the number of bytes truncated from a torn write.
}

// Folder is an open data folder. It must be used from one goroutine, except for
// [Folder.WriteSnapshot].
type Folder struct {
	dir    string
	disk   Disk
	id     identity
	lock   io.Closer
	log    File
	seq    uint64 // seq is the number of the current segment.
	failed bool
}

// Option configures how a folder is opened.
type Option func(*Folder)

// WithDisk sets the file system that holds the folder. The default is that of the
// operating system.
func WithDisk(d Disk) Option { return func(f *Folder) { f.disk = d } }

func newFolder(dir string, opts []Option) *Folder {
	f := &Folder{dir: dir, disk: osDisk{}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Open opens the folder of the replica with the given name, and creates it if it does not
// exist. A folder without files gets a new incarnation.
func Open(dir, name string, opts ...Option) (*Folder, *Loaded, error) {
	f := newFolder(dir, opts)
	if err := f.disk.MkdirAll(dir); err != nil {
		return nil, nil, eris.Wrap(err, "create data folder")
	}
	lock, err := f.disk.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, nil, err
	}
	f.lock = lock
	loaded, err := f.load(name)
	if err == nil {
		err = f.removeTempFiles()
	}
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return f, loaded, nil
}

// Close closes the folder and releases its lock. There is nothing to sync: every write is
// synced when it is made.
func (f *Folder) Close() error {
	var errs []error
	if f.log != nil {
		errs = append(errs, f.log.Close())
	}
	return errors.Join(append(errs, f.lock.Close())...)
}

// ID returns the replica's identity.
func (f *Folder) ID() protocol.ReplicaID {
	return protocol.ReplicaID{Name: f.id.Name, Incarnation: f.id.Incarnation}
}

// Group returns the identifier of the group that this folder belongs to, or 0 before the
// group is founded or joined.
func (f *Folder) Group() uint64 { return f.id.Group }

// SetGroup makes the folder part of a group. founders are the initial members, or nil for a
// replica that joins later and learns the members from the log.
func (f *Folder) SetGroup(group uint64, founders *protocol.ReplicaMembers) error {
	if f.id.Group != 0 {
		return eris.Errorf("data folder already belongs to group %x", f.id.Group)
	}
	next := f.id
	next.Group, next.Founders = group, founders
	if err := f.writeIdentity(next); err != nil {
		return err
	}
	f.id = next
	return nil
}

// Founders returns the initial members of the group, if this folder knows them.
func (f *Folder) Founders() protocol.ReplicaMembers {
	if f.id.Founders == nil {
		return protocol.ReplicaMembers{}
	}
	return *f.id.Founders
}

func (f *Folder) load(name string) (*Loaded, error) {
	segments, snapshots, err := f.listFiles()
	if err != nil {
		return nil, err
	}
	if err := f.loadIdentity(name, len(segments)+len(snapshots) > 0); err != nil {
		return nil, err
	}
	loaded := &Loaded{Snapshot: protocol.SnapshotMeta{Members: f.Founders()}}
	if len(snapshots) > 0 {
		if err := f.loadSnapshot(snapshots[len(snapshots)-1], loaded); err != nil {
			return nil, err
		}
	}
	// A process that was killed may have left directory entries that a power loss would
	// still revert. Everything acknowledged from now on depends on them.
	if err := f.syncDir(); err != nil {
		return nil, err
	}
	if len(segments) == 0 {
		return loaded, f.newSegment(loaded.Hard, loaded.Entries)
	}
	f.seq = segments[len(segments)-1]
	if err := f.replay(f.seq, loaded); err != nil {
		return nil, err
	}
	return loaded, f.openSegment()
}

// listFiles returns the numbers of the segments and snapshots in the folder, in ascending
// order.
func (f *Folder) listFiles() (segments, snapshots []uint64, err error) {
	names, err := f.disk.List(f.dir)
	if err != nil {
		return nil, nil, eris.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if seq, ok := parseNumber(name, segmentPrefix); ok {
			segments = append(segments, seq)
		}
		if index, ok := parseNumber(name, snapshotPrefix); ok {
			snapshots = append(snapshots, index)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

// removeTempFiles removes the temporary files of interrupted writes.
func (f *Folder) removeTempFiles() error {
	names, err := f.disk.List(f.dir)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := f.disk.Remove(filepath.Join(f.dir, name)); err != nil {
			return eris.Wrap(err, "remove temporary file")
		}
	}
	return nil
}

func parseNumber(name, prefix string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

func (f *Folder) path(prefix string, n uint64) string {
	return filepath.Join(f.dir, fmt.Sprintf("%s%016x", prefix, n))
}

func (f *Folder) loadIdentity(name string, used bool) error {
	file := filepath.Join(f.dir, identityFile)
	data, err := f.disk.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		if used {
			return &Damage{File: file, What: "missing from a folder that has a log or snapshots"}
		}
		return f.newIdentity(name)
	}
	if err != nil {
		return eris.Wrap(err, "read identity")
	}
	if err := json.Unmarshal(data, &f.id); err != nil {
		return &Damage{File: file, What: err.Error()}
	}
	if f.id.Name != name {
		return eris.Wrapf(ErrForeign, "%s has the name %q, the settings have %q", file, f.id.Name, name)
	}
	return nil
}

func (f *Folder) newIdentity(name string) error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return eris.Wrap(err, "generate incarnation")
	}
	id := identity{Name: name, Incarnation: binary.BigEndian.Uint64(b[:])}
	if err := f.writeIdentity(id); err != nil {
		return err
	}
	f.id = id
	return nil
}

func (f *Folder) writeIdentity(id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return f.replaceFile(filepath.Join(f.dir, identityFile), data)
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames
// it and syncs the folder, so that a crash leaves either the old or the new content.
func (f *Folder) replaceFile(file string, parts ...[]byte) error {
	out, err := f.disk.Create(file + tempSuffix)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	for _, part := range parts {
		if _, err := out.Write(part); err != nil {
			return errors.Join(eris.Wrap(err, "write file"), out.Close())
		}
	}
	if err := errors.Join(out.Sync(), out.Close()); err != nil {
		return eris.Wrap(err, "sync file")
	}
	if err := f.disk.Rename(file+tempSuffix, file); err != nil {
		return eris.Wrap(err, "rename file")
	}
	return f.syncDir()
}

// syncDir makes created, renamed and removed directory entries durable.
func (f *Folder) syncDir() error {
	return eris.Wrap(f.disk.SyncDir(f.dir), "sync data folder")
}
