package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

var (
	errPowerLoss = errors.New("power failed")
	errDiskFull  = errors.New("no space left")
)

// powerDisk is an in-memory disk that can lose power. After a power loss a file has its
// last synced content; the later writes to it are each kept, missing or torn, or all are
// lost. A name that was created, renamed or removed without a sync of its folder is kept
// or lost independently of the others.
type powerDisk struct {
	t              *rapid.T
	names          map[string]*inode
	synced         map[string]*inode
	pending        []nameChange
	operationsLeft int // operationsLeft is how many operations succeed before the power fails; negative if it does not.
	powerOff       bool
	full           bool
}

type inode struct {
	synced  []byte
	content []byte
	pending []fileChange
}

// fileChange is a write at an offset, or a truncation there if data is nil.
type fileChange struct {
	at   int
	data []byte
}

type nameChange struct {
	name, from string // from is the old name; empty for a new or removed file.
	file       *inode // file is nil if the name was removed.
}

func newPowerDisk() *powerDisk {
	return &powerDisk{names: map[string]*inode{}, synced: map[string]*inode{}, operationsLeft: -1}
}

// countOperation counts one operation. At the last one the power fails, and a random
// choice decides whether that operation still has an effect.
func (d *powerDisk) countOperation() (begun bool, err error) {
	if d.powerOff {
		return false, errPowerLoss
	}
	if d.operationsLeft < 0 {
		return true, nil
	}
	if d.operationsLeft > 0 {
		d.operationsLeft--
		return true, nil
	}
	d.powerOff = true
	return rapid.Bool().Draw(d.t, "begun"), errPowerLoss
}

// losePower discards what a power loss may discard, and restores the power.
func (d *powerDisk) losePower() {
	for _, c := range d.pending {
		if rapid.Bool().Draw(d.t, "name kept") {
			c.apply(d.synced)
		}
	}
	d.names, d.pending = maps.Clone(d.synced), nil
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		d.names[name].losePower(d.t)
	}
	d.powerOn()
}

// powerOn makes the disk work again.
func (d *powerDisk) powerOn() { d.powerOff, d.operationsLeft, d.full = false, -1, false }

func (c nameChange) apply(names map[string]*inode) {
	if c.file == nil {
		delete(names, c.name)
		return
	}
	if c.from != "" {
		delete(names, c.from)
	}
	names[c.name] = c.file
}

func (f *inode) losePower(t *rapid.T) {
	content := bytes.Clone(f.synced)
	if len(f.pending) > 0 && rapid.Bool().Draw(t, "some kept") {
		for _, c := range f.pending {
			content = c.losePower(t, content)
		}
	}
	f.synced, f.content, f.pending = content, bytes.Clone(content), nil
}

func (c fileChange) losePower(t *rapid.T, content []byte) []byte {
	switch rapid.SampledFrom([]string{"there", "missing", "torn"}).Draw(t, "write") {
	case "missing":
		return content
	case "there":
		return c.apply(content)
	}
	if c.data == nil {
		return content
	}
	data := bytes.Clone(c.data)
	switch rapid.SampledFrom([]string{"short", "zeros", "sectors"}).Draw(t, "torn") {
	case "short":
		data = data[:rapid.IntRange(0, len(data)).Draw(t, "cut")]
	case "zeros":
		clear(data[rapid.IntRange(0, len(data)).Draw(t, "cut"):])
	case "sectors":
		for at := 0; at < len(data); {
			next := min(len(data), at+sectorSize-(c.at+at)%sectorSize)
			if rapid.Bool().Draw(t, "sector lost") {
				clear(data[at:next])
			}
			at = next
		}
	}
	return fileChange{c.at, data}.apply(content)
}

func (c fileChange) apply(content []byte) []byte {
	if c.data == nil {
		return content[:min(c.at, len(content))]
	}
	if missing := c.at + len(c.data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[c.at:], c.data)
	return content
}

func (f *inode) change(c fileChange) {
	f.content = c.apply(f.content)
	f.pending = append(f.pending, c)
}

func (d *powerDisk) rename(c nameChange) {
	c.apply(d.names)
	d.pending = append(d.pending, c)
}

func (d *powerDisk) MkdirAll(string) error { return nil }

func (d *powerDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *powerDisk) List(string) ([]string, error) {
	var names []string
	for name := range d.names {
		names = append(names, filepath.Base(name))
	}
	return slices.Sorted(slices.Values(names)), nil
}

func (d *powerDisk) ReadFile(file string) ([]byte, error) {
	if f := d.names[file]; f != nil {
		return bytes.Clone(f.content), nil
	}
	return nil, os.ErrNotExist
}

func (d *powerDisk) Create(file string) (File, error) {
	begun, err := d.countOperation()
	if !begun {
		return nil, err
	}
	f := &inode{}
	d.rename(nameChange{name: file, file: f})
	return &powerFile{d, f}, err
}

func (d *powerDisk) Append(file string) (File, error) {
	f := d.names[file]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return &powerFile{d, f}, nil
}

func (d *powerDisk) Truncate(file string, size int64) error {
	begun, err := d.countOperation()
	if begun {
		d.names[file].change(fileChange{at: int(size)})
	}
	return err
}

func (d *powerDisk) Rename(from, to string) error {
	begun, err := d.countOperation()
	if begun {
		d.rename(nameChange{name: to, from: from, file: d.names[from]})
	}
	return err
}

func (d *powerDisk) Remove(file string) error {
	begun, err := d.countOperation()
	if begun {
		d.rename(nameChange{name: file})
	}
	return err
}

func (d *powerDisk) SyncDir(string) error {
	if _, err := d.countOperation(); err != nil {
		return err
	}
	d.synced, d.pending = maps.Clone(d.names), nil
	return nil
}

type powerFile struct {
	d *powerDisk
	f *inode
}

func (f *powerFile) Write(data []byte) (int, error) {
	if f.d.full {
		part := data[:rapid.IntRange(0, len(data)-1).Draw(f.d.t, "room")]
		f.f.change(fileChange{len(f.f.content), bytes.Clone(part)})
		return len(part), errDiskFull
	}
	begun, err := f.d.countOperation()
	if begun {
		f.f.change(fileChange{len(f.f.content), bytes.Clone(data)})
	}
	return len(data), err
}

func (f *powerFile) Sync() error {
	if _, err := f.d.countOperation(); err != nil {
		return err
	}
	f.f.synced, f.f.pending = bytes.Clone(f.f.content), nil
	// A new file's name is durable once the file itself is synced.
	f.d.pending = slices.DeleteFunc(f.d.pending, func(c nameChange) bool {
		made := c.file == f.f && c.from == ""
		if made {
			c.apply(f.d.synced)
		}
		return made
	})
	return nil
}

func (f *powerFile) Close() error { return nil }

// folderState is the content that a folder must have after a power loss.
type folderState struct {
	Hard    protocol.HardState
	Snap    uint64
	Data    string
	Entries []protocol.LogEntry
}

func stateOf(l *Loaded) folderState {
	return folderState{Hard: l.Hard, Snap: l.Snapshot.Index, Data: string(l.Data), Entries: slices.Clip(append([]protocol.LogEntry(nil), l.Entries...))}
}

func (k folderState) last() uint64 { return k.Snap + uint64(len(k.Entries)) }

// powerTest operates a folder on a disk that loses power.
type powerTest struct {
	t            *rapid.T
	disk         *powerDisk
	folder       *Folder
	acknowledged folderState  // acknowledged is the state that was acknowledged.
	interrupted  *folderState // interrupted is the state that a failed operation may have left.
	id           protocol.ReplicaID
	writes       int
}

// attempt runs an operation that leads to a state, during which the power may fail, the
// process may be killed, or the disk may be full.
func (p *powerTest) attempt(next folderState, operation func() error) {
	fault := rapid.SampledFrom([]string{"good", "good", "power", "kill", "full"}).Draw(p.t, "how")
	switch fault {
	case "power", "kill":
		p.disk.operationsLeft = rapid.IntRange(0, 14).Draw(p.t, "after")
	case "full":
		p.disk.full = true
	}
	err := operation()
	p.disk.operationsLeft = -1
	if err == nil {
		p.acknowledged = next
		if fault != "power" && fault != "kill" {
			p.disk.full = false
			return
		}
	} else {
		p.interrupted = &next
	}
	p.restart(fault == "power")
}

// restart reopens the folder, with or without a power loss. The power may fail again
// while the folder is opened.
func (p *powerTest) restart(power bool) {
	_ = p.folder.Close()
	for {
		if power {
			p.disk.losePower()
		} else {
			p.disk.powerOn()
		}
		failOpening := rapid.IntRange(0, 3).Draw(p.t, "again") == 0
		if failOpening {
			p.disk.operationsLeft = rapid.IntRange(0, 6).Draw(p.t, "opening")
		}
		folder, loaded, err := Open("/data", "entry-1", WithDisk(p.disk))
		if err != nil && failOpening && p.disk.powerOff {
			power = rapid.Bool().Draw(p.t, "power again")
			continue
		}
		if err != nil {
			p.t.Fatalf("the folder cannot be opened: %v", err)
		}
		p.disk.operationsLeft = -1
		p.check(folder, loaded)
		return
	}
}

func (p *powerTest) check(folder *Folder, loaded *Loaded) {
	got := stateOf(loaded)
	diff := cmp.Diff(p.acknowledged, got)
	if diff != "" && (p.interrupted == nil || !cmp.Equal(*p.interrupted, got)) {
		p.t.Fatalf("the folder lost what was acknowledged:\n%s", diff)
	}
	if folder.ID() != p.id {
		p.t.Fatalf("the folder has the identity %v, want %v", folder.ID(), p.id)
	}
	p.folder, p.acknowledged, p.interrupted = folder, got, nil
}

func (p *powerTest) writeEntries(t *rapid.T) {
	next := p.acknowledged
	next.Hard.Term += uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	next.Hard.Led = rapid.Bool().Draw(t, "led")
	next.Hard.Promise = time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "promise"))
	from := uint64(rapid.IntRange(int(next.Snap)+1, int(next.last())+1).Draw(t, "from"))
	var entries []protocol.LogEntry
	for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
		p.writes++
		text := strings.Repeat(fmt.Sprint("command ", p.writes, " "), rapid.IntRange(1, 60).Draw(t, "length"))
		entries = append(entries, entry(from+uint64(i), next.Hard.Term, text))
	}
	if len(entries) > 0 {
		next.Entries = append(slices.Clone(next.Entries[:from-next.Snap-1]), entries...)
	}
	p.attempt(next, func() error { return p.folder.Write(next.Hard, entries) })
}

// takeSnapshot saves a snapshot of a prefix of the log.
func (p *powerTest) takeSnapshot(t *rapid.T) {
	if len(p.acknowledged.Entries) == 0 {
		t.Skip("nothing to take a snapshot of")
	}
	n := rapid.IntRange(1, len(p.acknowledged.Entries)).Draw(t, "of")
	next := p.acknowledged
	next.Snap, next.Data, next.Entries = p.acknowledged.Entries[n-1].Index, fmt.Sprint("state at ", p.acknowledged.Snap+uint64(n)), nil
	next.Entries = append(next.Entries, p.acknowledged.Entries[n:]...)
	p.save(next, p.acknowledged.Entries[n-1].Term)
}

// installSnapshot saves a leader's snapshot in place of the whole log.
func (p *powerTest) installSnapshot(t *rapid.T) {
	next := p.acknowledged
	next.Snap = p.acknowledged.last() + uint64(rapid.IntRange(1, 5).Draw(t, "ahead"))
	next.Data, next.Entries = fmt.Sprint("the leader's at ", next.Snap), nil
	p.save(next, next.Hard.Term)
}

func (p *powerTest) save(next folderState, term uint64) {
	p.attempt(next, func() error {
		return p.folder.SaveSnapshot(protocol.SnapshotMeta{Index: next.Snap, Term: term}, []byte(next.Data), next.Hard, next.Entries)
	})
}

// TestPowerLossAtAnyOperation writes entries and snapshots while the power fails, the
// process is killed or the disk is full at any disk operation, including those of
// reopening the folder. Afterwards the folder must have everything that was acknowledged,
// and nothing else except the operation in progress.
func TestPowerLossAtAnyOperation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newPowerDisk()
		disk.t = t
		folder, loaded, err := Open("/data", "entry-1", WithDisk(disk))
		if err != nil {
			t.Fatal(err)
		}
		p := &powerTest{t: t, disk: disk, folder: folder, acknowledged: stateOf(loaded), id: folder.ID()}
		t.Repeat(map[string]func(*rapid.T){
			"write":    p.writeEntries,
			"snapshot": p.takeSnapshot,
			"install":  p.installSnapshot,
			"restart":  func(t *rapid.T) { p.restart(rapid.Bool().Draw(t, "power")) },
		})
	})
}

// TestSetAsideSurvivesPowerLoss sets a damaged folder aside while the power fails at any
// disk operation. The folder must never be opened with its old identity, must be empty in
// the end, and must keep the damaged files.
func TestSetAsideSurvivesPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newPowerDisk()
		disk.t = t
		former := damagedFolder(t, disk)
		for open := false; !open; {
			disk.operationsLeft = rapid.IntRange(0, 9).Draw(t, "after")
			_ = SetAside("/data", WithDisk(disk)) // A call interrupted by the power loss is repeated.
			disk.operationsLeft = -1
			if rapid.Bool().Draw(t, "power") {
				disk.losePower()
			}
			disk.powerOn()
			folder, loaded, err := Open("/data", "entry-1", WithDisk(disk))
			if err != nil {
				if !errors.Is(err, ErrDamaged) {
					t.Fatal(err)
				}
				continue
			}
			if folder.ID() == former || folder.Group() != 0 || len(loaded.Entries) > 0 || loaded.Hard.Term != 0 {
				t.Fatalf("opened with identity %v, group %d and content %+v", folder.ID(), folder.Group(), loaded)
			}
			open = true
		}
		if disk.names["/data/"+asidePrefix+identityFile] == nil {
			t.Fatal("the old identity was not kept")
		}
	})
}

// damagedFolder creates a folder of a group and flips a bit in its log.
func damagedFolder(t *rapid.T, disk *powerDisk) protocol.ReplicaID {
	folder, _, err := Open("/data", "entry-1", WithDisk(disk))
	if err == nil {
		err = folder.SetGroup(7, &protocol.ReplicaMembers{})
	}
	if err == nil {
		err = folder.Write(protocol.HardState{Term: 3}, []protocol.LogEntry{entry(1, 3, "command")})
	}
	if err != nil {
		t.Fatal(err)
	}
	log := disk.names[folder.path(segmentPrefix, folder.seq)]
	log.content[len(log.content)-3] ^= 4
	log.synced = bytes.Clone(log.content)
	return folder.ID()
}
