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
	errPower = errors.New("no power")
	errFull  = errors.New("no space left")
)

// powerDisk is a disk in memory that loses power. What a file holds then is what
// its last sync covered; each later write is there, missing or torn, or all are
// gone. A name that was made, renamed or removed without a sync of its folder is
// kept or lost, each for itself.
type powerDisk struct {
	t       *rapid.T
	names   map[string]*inode
	synced  map[string]*inode
	pending []nameChange
	left    int // left operations are carried out before the power goes; negative means that it stays.
	dead    bool
	full    bool
}

type inode struct {
	synced  []byte
	content []byte
	pending []fileChange
}

// fileChange is a write at an offset, or a cut at it when there is no data.
type fileChange struct {
	at   int
	data []byte
}

type nameChange struct {
	name, from string // from is the former name; empty for a new or removed file.
	file       *inode // file is nil when the name was removed.
}

func newPowerDisk() *powerDisk {
	return &powerDisk{names: map[string]*inode{}, synced: map[string]*inode{}, left: -1}
}

// step counts one operation. With the last the power goes: drawn lots decide
// whether it is still begun.
func (d *powerDisk) step() (begun bool, err error) {
	if d.dead {
		return false, errPower
	}
	if d.left < 0 {
		return true, nil
	}
	if d.left > 0 {
		d.left--
		return true, nil
	}
	d.dead = true
	return rapid.Bool().Draw(d.t, "begun"), errPower
}

// lose has the disk come back from a loss of power.
func (d *powerDisk) lose() {
	for _, c := range d.pending {
		if rapid.Bool().Draw(d.t, "name kept") {
			c.apply(d.synced)
		}
	}
	d.names, d.pending = maps.Clone(d.synced), nil
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		d.names[name].lose(d.t)
	}
	d.back()
}

// back has the disk work again.
func (d *powerDisk) back() { d.dead, d.left, d.full = false, -1, false }

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

func (f *inode) lose(t *rapid.T) {
	content := bytes.Clone(f.synced)
	if len(f.pending) > 0 && rapid.Bool().Draw(t, "some kept") {
		for _, c := range f.pending {
			content = c.lose(t, content)
		}
	}
	f.synced, f.content, f.pending = content, bytes.Clone(content), nil
}

func (c fileChange) lose(t *rapid.T, content []byte) []byte {
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
			next := min(len(data), at+sector-(c.at+at)%sector)
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

func (d *powerDisk) MakeFolder(string) error { return nil }

func (d *powerDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *powerDisk) List(string) ([]string, error) {
	var names []string
	for name := range d.names {
		names = append(names, filepath.Base(name))
	}
	return slices.Sorted(slices.Values(names)), nil
}

func (d *powerDisk) Read(file string) ([]byte, error) {
	if f := d.names[file]; f != nil {
		return bytes.Clone(f.content), nil
	}
	return nil, os.ErrNotExist
}

func (d *powerDisk) Create(file string) (File, error) {
	begun, err := d.step()
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
	begun, err := d.step()
	if begun {
		d.names[file].change(fileChange{at: int(size)})
	}
	return err
}

func (d *powerDisk) Rename(from, to string) error {
	begun, err := d.step()
	if begun {
		d.rename(nameChange{name: to, from: from, file: d.names[from]})
	}
	return err
}

func (d *powerDisk) Remove(file string) error {
	begun, err := d.step()
	if begun {
		d.rename(nameChange{name: file})
	}
	return err
}

func (d *powerDisk) Sync(string) error {
	if _, err := d.step(); err != nil {
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
		return len(part), errFull
	}
	begun, err := f.d.step()
	if begun {
		f.f.change(fileChange{len(f.f.content), bytes.Clone(data)})
	}
	return len(data), err
}

func (f *powerFile) Sync() error {
	if _, err := f.d.step(); err != nil {
		return err
	}
	f.f.synced, f.f.pending = bytes.Clone(f.f.content), nil
	// A new file lasts once it has been synced itself.
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

// kept is what a folder must hold after a loss of power.
type kept struct {
	Hard    protocol.HardState
	Snap    uint64
	Data    string
	Entries []protocol.LogEntry
}

func keptOf(l *Loaded) kept {
	return kept{Hard: l.Hard, Snap: l.Snapshot.Index, Data: string(l.Data), Entries: slices.Clip(append([]protocol.LogEntry(nil), l.Entries...))}
}

func (k kept) last() uint64 { return k.Snap + uint64(len(k.Entries)) }

// powered drives a folder on a disk that loses power.
type powered struct {
	t      *rapid.T
	disk   *powerDisk
	folder *Folder
	sure   kept  // sure was acknowledged.
	maybe  *kept // maybe is what an operation that failed would have left.
	id     protocol.ReplicaID
	writes int
}

// try runs an operation that leads to a state, in the middle of which the power
// may go, the process may be killed, or the disk may be full.
func (p *powered) try(next kept, operation func() error) {
	how := rapid.SampledFrom([]string{"good", "good", "power", "kill", "full"}).Draw(p.t, "how")
	switch how {
	case "power", "kill":
		p.disk.left = rapid.IntRange(0, 14).Draw(p.t, "after")
	case "full":
		p.disk.full = true
	}
	err := operation()
	p.disk.left = -1
	if err == nil {
		p.sure = next
		if how != "power" && how != "kill" {
			p.disk.full = false
			return
		}
	} else {
		p.maybe = &next
	}
	p.restart(how == "power")
}

// restart opens the folder again, with or without a loss of power, and the
// power may go while it is opened.
func (p *powered) restart(power bool) {
	_ = p.folder.Close()
	for {
		if power {
			p.disk.lose()
		} else {
			p.disk.back()
		}
		again := rapid.IntRange(0, 3).Draw(p.t, "again") == 0
		if again {
			p.disk.left = rapid.IntRange(0, 6).Draw(p.t, "opening")
		}
		folder, loaded, err := Open("/data", "entry-1", WithDisk(p.disk))
		if err != nil && again && p.disk.dead {
			power = rapid.Bool().Draw(p.t, "power again")
			continue
		}
		if err != nil {
			p.t.Fatalf("the folder cannot be opened: %v", err)
		}
		p.disk.left = -1
		p.check(folder, loaded)
		return
	}
}

func (p *powered) check(folder *Folder, loaded *Loaded) {
	got := keptOf(loaded)
	diff := cmp.Diff(p.sure, got)
	if diff != "" && (p.maybe == nil || !cmp.Equal(*p.maybe, got)) {
		p.t.Fatalf("the folder lost what was acknowledged:\n%s", diff)
	}
	if folder.ID() != p.id {
		p.t.Fatalf("the folder is another one: %v, was %v", folder.ID(), p.id)
	}
	p.folder, p.sure, p.maybe = folder, got, nil
}

func (p *powered) write(t *rapid.T) {
	next := p.sure
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
	p.try(next, func() error { return p.folder.Write(next.Hard, entries) })
}

// snapshot takes a snapshot of a part of the log.
func (p *powered) snapshot(t *rapid.T) {
	if len(p.sure.Entries) == 0 {
		t.Skip("nothing to take a snapshot of")
	}
	n := rapid.IntRange(1, len(p.sure.Entries)).Draw(t, "of")
	next := p.sure
	next.Snap, next.Data, next.Entries = p.sure.Entries[n-1].Index, fmt.Sprint("state at ", p.sure.Snap+uint64(n)), nil
	next.Entries = append(next.Entries, p.sure.Entries[n:]...)
	p.save(next, p.sure.Entries[n-1].Term)
}

// install takes a leader's snapshot in place of the whole log.
func (p *powered) install(t *rapid.T) {
	next := p.sure
	next.Snap = p.sure.last() + uint64(rapid.IntRange(1, 5).Draw(t, "ahead"))
	next.Data, next.Entries = fmt.Sprint("the leader's at ", next.Snap), nil
	p.save(next, next.Hard.Term)
}

func (p *powered) save(next kept, term uint64) {
	p.try(next, func() error {
		return p.folder.SaveSnapshot(protocol.SnapshotMeta{Index: next.Snap, Term: term}, []byte(next.Data), next.Hard, next.Entries)
	})
}

// TestPowerGoesAtAnyOperation writes entries and snapshots, and loses power,
// kills the process or fills the disk at any operation of the disk, also while
// the folder is opened again. What was acknowledged is there afterwards, and
// beside it at most what was under way.
func TestPowerGoesAtAnyOperation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newPowerDisk()
		disk.t = t
		folder, loaded, err := Open("/data", "entry-1", WithDisk(disk))
		if err != nil {
			t.Fatal(err)
		}
		p := &powered{t: t, disk: disk, folder: folder, sure: keptOf(loaded), id: folder.ID()}
		t.Repeat(map[string]func(*rapid.T){
			"write":    p.write,
			"snapshot": p.snapshot,
			"install":  p.install,
			"restart":  func(t *rapid.T) { p.restart(rapid.Bool().Draw(t, "power")) },
		})
	})
}

// TestSetAsideOutlastsPower sets a damaged folder aside while the power goes at
// any operation. The folder is never opened under its former identity, and in the
// end it is empty; the damaged files are kept.
func TestSetAsideOutlastsPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newPowerDisk()
		disk.t = t
		former := damagedFolder(t, disk)
		for open := false; !open; {
			disk.left = rapid.IntRange(0, 9).Draw(t, "after")
			_ = SetAside("/data", WithDisk(disk)) // One that the power cut short is done again.
			disk.left = -1
			if rapid.Bool().Draw(t, "power") {
				disk.lose()
			}
			disk.back()
			folder, loaded, err := Open("/data", "entry-1", WithDisk(disk))
			if err != nil {
				if !errors.Is(err, ErrDamaged) {
					t.Fatal(err)
				}
				continue
			}
			if folder.ID() == former || folder.Group() != 0 || len(loaded.Entries) > 0 || loaded.Hard.Term != 0 {
				t.Fatalf("opened as %v of group %d with %+v", folder.ID(), folder.Group(), loaded)
			}
			open = true
		}
		if disk.names["/data/"+asidePrefix+identityFile] == nil {
			t.Fatal("the former identity is not kept")
		}
	})
}

// damagedFolder leaves a folder of a group with a flipped bit in its log.
func damagedFolder(t *rapid.T, disk *powerDisk) protocol.ReplicaID {
	folder, _, err := Open("/data", "entry-1", WithDisk(disk))
	if err == nil {
		err = folder.Found(7, &protocol.ReplicaMembers{})
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
