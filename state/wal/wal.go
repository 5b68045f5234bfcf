// Package wal keeps a replica's log and snapshots in one data folder.
//
// The folder holds
//
//	identity     the replica's name and the incarnation of this folder
//	log-N        segments of the log, in the order of N
//	snapshot-N   the state machine at index N
//	aside-*      what [SetAside] put out of the way
//	lock         held by the process that uses the folder
//
// A segment is a row of frames. A frame is one group commit: length, checksums,
// then the hard state and the entries that were written together. The next
// frame is written only after the sync of the one before. So only the last
// frame can be a torn write, which nobody was promised, and which is cut off: it
// ends too early, or in zeros. Anything else that does not match its checksum is
// damage, which fails the opening and touches nothing.
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
	// ErrDamaged is returned when a file of the folder is not what was written.
	ErrDamaged = eris.New("data folder is damaged")
	// ErrFailed is returned for every write after one that failed.
	ErrFailed = eris.New("an earlier write to the data folder failed")
	// ErrForeign is returned when the folder belongs to another instance.
	ErrForeign = eris.New("data folder belongs to another instance")
	// ErrLocked is returned when another process uses the folder.
	ErrLocked = eris.New("data folder is in use by another process")
)

// Damage tells where a file is not what was written.
type Damage struct {
	File   string
	Offset int64 // Offset is in bytes from the start of the file.
	What   string
}

// Error implements error.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.What)
}

// Unwrap makes errors.Is find [ErrDamaged].
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
	Group       uint64                   `json:"group,omitempty"`    // Group is drawn when the group is founded; 0 before.
	Founders    *protocol.ReplicaMembers `json:"founders,omitempty"` // Founders are the first members.
}

// Loaded is what a folder holds at the start.
type Loaded struct {
	Hard     protocol.HardState
	Snapshot protocol.SnapshotMeta
	Data     []byte              // Data is the state machine at the snapshot; nil without one.
	Entries  []protocol.LogEntry // Entries follow the snapshot.
	Torn     int64               // Torn counts the bytes of a torn write that were cut off.
}

// Folder is an open data folder. It is for one goroutine.
type Folder struct {
	dir    string
	disk   Disk
	id     identity
	lock   io.Closer
	log    File
	seq    uint64 // seq is the number of the segment that is written.
	failed bool
}

// Option changes how a folder is opened.
type Option func(*Folder)

// WithDisk sets the disk that the folder is on; without it, it is the machine's.
func WithDisk(d Disk) Option { return func(f *Folder) { f.disk = d } }

func newFolder(dir string, opts []Option) *Folder {
	f := &Folder{dir: dir, disk: osDisk{}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Open opens a folder for the replica with a name, and makes it if it is not
// there: then it is a new incarnation.
func Open(dir, name string, opts ...Option) (*Folder, *Loaded, error) {
	f := newFolder(dir, opts)
	if err := f.disk.MakeFolder(dir); err != nil {
		return nil, nil, eris.Wrap(err, "make data folder")
	}
	lock, err := f.disk.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, nil, err
	}
	f.lock = lock
	loaded, err := f.load(name)
	if err == nil {
		err = f.removeTemporary()
	}
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return f, loaded, nil
}

// Close gives the folder back. It does not sync: every write did.
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

// Group returns the group that this folder belongs to, or 0 before it was
// founded or joined.
func (f *Folder) Group() uint64 { return f.id.Group }

// Found makes the folder part of a group. The founders are its first members;
// a replica that joins later passes none and learns them from the log.
func (f *Folder) Found(group uint64, founders *protocol.ReplicaMembers) error {
	if f.id.Group != 0 {
		return eris.Errorf("the folder belongs to group %x already", f.id.Group)
	}
	next := f.id
	next.Group, next.Founders = group, founders
	if err := f.writeIdentity(next); err != nil {
		return err
	}
	f.id = next
	return nil
}

// Founders returns the first members of the group, if this folder knows them.
func (f *Folder) Founders() protocol.ReplicaMembers {
	if f.id.Founders == nil {
		return protocol.ReplicaMembers{}
	}
	return *f.id.Founders
}

func (f *Folder) load(name string) (*Loaded, error) {
	segments, snapshots, err := f.scan()
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
	// A process that was killed may have left names that a loss of power would
	// still take back: what is acknowledged from now on rests on them.
	if err := f.syncNames(); err != nil {
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

// scan lists the numbers of segments and snapshots.
func (f *Folder) scan() (segments, snapshots []uint64, err error) {
	names, err := f.disk.List(f.dir)
	if err != nil {
		return nil, nil, eris.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if seq, ok := number(name, segmentPrefix); ok {
			segments = append(segments, seq)
		}
		if index, ok := number(name, snapshotPrefix); ok {
			snapshots = append(snapshots, index)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

// removeTemporary removes what an interrupted write left behind.
func (f *Folder) removeTemporary() error {
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

func number(name, prefix string) (uint64, bool) {
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
	data, err := f.disk.Read(file)
	if errors.Is(err, os.ErrNotExist) {
		if used {
			return &Damage{File: file, What: "is missing, though the folder holds a log"}
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
		return eris.Wrapf(ErrForeign, "%s names %q, the settings %q", file, f.id.Name, name)
	}
	return nil
}

func (f *Folder) newIdentity(name string) error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return eris.Wrap(err, "draw incarnation")
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
	return f.replace(filepath.Join(f.dir, identityFile), data)
}

// replace writes a file whole: under a temporary name, synced, renamed, and the
// folder synced, so that a crash leaves the old or the new one.
func (f *Folder) replace(file string, parts ...[]byte) error {
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
	return f.syncNames()
}

// syncNames makes the names in the folder last.
func (f *Folder) syncNames() error {
	return eris.Wrap(f.disk.Sync(f.dir), "sync data folder")
}
