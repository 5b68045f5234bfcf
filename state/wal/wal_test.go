package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

func open(t testing.TB, dir string) (*Folder, *Loaded) {
	t.Helper()
	f, loaded, err := Open(dir, "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	return f, loaded
}

func entry(index, term uint64, text string) protocol.LogEntry {
	return protocol.LogEntry{Index: index, Term: term, Kind: protocol.EntryCommand, Data: []byte(text)}
}

// writtenFolder returns a folder with three frames, and the path of its segment.
func writtenFolder(t testing.TB) (dir, segment string) {
	t.Helper()
	dir = t.TempDir()
	f, _ := open(t, dir)
	for i := range uint64(3) {
		hard := protocol.HardState{Term: i + 1, Vote: protocol.ReplicaID{Name: "b", Incarnation: 7}}
		if err := f.Write(hard, []protocol.LogEntry{entry(i+1, i+1, fmt.Sprint("command ", i))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, f.path(segmentPrefix, f.seq)
}

func TestReopen(t *testing.T) {
	dir, _ := writtenFolder(t)
	f, loaded := open(t, dir)
	defer f.Close()
	want := []protocol.LogEntry{entry(1, 1, "command 0"), entry(2, 2, "command 1"), entry(3, 3, "command 2")}
	if diff := cmp.Diff(want, loaded.Entries); diff != "" {
		t.Error(diff)
	}
	if loaded.Hard.Term != 3 || loaded.Hard.Vote.Name != "b" || loaded.Torn != 0 {
		t.Errorf("loaded %+v", loaded)
	}
}

// lastFrame returns the offset of the last frame of a segment.
func lastFrame(data []byte) int {
	offset, last := len(segmentMagic), 0
	for offset < len(data) {
		payload, _ := frameAt(data, offset)
		last = offset
		offset += frameHeaderSize + len(payload)
	}
	return last
}

// TestTornAtEveryByte truncates the last frame at each of its bytes, with and without
// zeros in place of the missing bytes.
func TestTornAtEveryByte(t *testing.T) {
	dir, segment := writtenFolder(t)
	whole, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	begin := lastFrame(whole)
	for cut := begin; cut < len(whole); cut++ {
		for _, zeros := range []bool{false, true} {
			torn := bytes.Clone(whole[:cut])
			if zeros {
				torn = append(torn, make([]byte, len(whole)-cut)...)
			}
			if bytes.Equal(torn, whole) {
				continue
			}
			if err := os.WriteFile(segment, torn, fileMode); err != nil {
				t.Fatal(err)
			}
			f, loaded := open(t, dir)
			if len(loaded.Entries) != 2 || loaded.Hard.Term != 2 {
				t.Fatalf("cut at %d, zeros %v: loaded %+v", cut, zeros, loaded)
			}
			if err := f.Write(protocol.HardState{Term: 9}, []protocol.LogEntry{entry(3, 9, "new")}); err != nil {
				t.Fatal(err)
			}
			f.Close()
			f, loaded = open(t, dir)
			if len(loaded.Entries) != 3 || loaded.Torn != 0 || string(loaded.Entries[2].Data) != "new" {
				t.Fatalf("cut at %d, zeros %v: after a write loaded %+v", cut, zeros, loaded)
			}
			f.Close()
		}
	}
}

// TestFlippedBit flips each bit of a segment. Opening the folder must fail with the file
// and an offset, and modify nothing.
func TestFlippedBit(t *testing.T) {
	dir, segment := writtenFolder(t)
	whole, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	for bit := range 8 * len(whole) {
		bad := bytes.Clone(whole)
		bad[bit/8] ^= 1 << (bit % 8)
		if err := os.WriteFile(segment, bad, fileMode); err != nil {
			t.Fatal(err)
		}
		f, _, err := Open(dir, "entry-1")
		if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), segment) || !strings.Contains(err.Error(), "offset ") {
			if f != nil {
				f.Close()
			}
			t.Fatalf("bit %d: got %v", bit, err)
		}
		if after, _ := os.ReadFile(segment); !bytes.Equal(after, bad) {
			t.Fatalf("bit %d: the segment was modified", bit)
		}
	}
}

func TestDamagedSnapshot(t *testing.T) {
	dir := t.TempDir()
	f, _ := open(t, dir)
	if err := f.SaveSnapshot(protocol.SnapshotMeta{Index: 4, Term: 2}, []byte("machine"), protocol.HardState{Term: 2}, nil); err != nil {
		t.Fatal(err)
	}
	f.Close()
	file := f.path(snapshotPrefix, 4)
	data, _ := os.ReadFile(file)
	data[len(data)-1] ^= 1
	if err := os.WriteFile(file, data, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, "entry-1"); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), file) {
		t.Errorf("got %v", err)
	}
}

func TestIdentity(t *testing.T) {
	dir, _ := writtenFolder(t)
	f, _ := open(t, dir)
	first := f.ID()
	if _, _, err := Open(dir, "entry-1"); !errors.Is(err, ErrLocked) {
		t.Errorf("opening a locked folder got %v", err)
	}
	f.Close()
	if _, _, err := Open(dir, "entry-2"); !errors.Is(err, ErrForeign) {
		t.Errorf("opening with another name got %v", err)
	}
	if err := os.Remove(filepath.Join(dir, identityFile)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, "entry-1"); !errors.Is(err, ErrDamaged) {
		t.Errorf("opening a log without identity got %v", err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	f, _ = open(t, dir)
	defer f.Close()
	if f.ID().Incarnation == first.Incarnation {
		t.Error("an emptied folder kept its incarnation")
	}
}

// model is the reference implementation: the log as a plain slice.
type model struct {
	hard    protocol.HardState
	snap    protocol.SnapshotMeta
	data    string
	entries []protocol.LogEntry
}

func (m *model) write(entries []protocol.LogEntry) {
	if len(entries) > 0 {
		m.entries = append(m.entries[:entries[0].Index-m.snap.Index-1:entries[0].Index-m.snap.Index-1], entries...)
	}
}

// TestAgainstModel performs random writes, overwrites, snapshots and reopens, and
// compares the result with the reference implementation.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		f, _, err := Open(dir, "entry-1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { f.Close() }()
		m := &model{}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				m.hard.Term++
				first := m.snap.Index + 1 + uint64(rapid.IntRange(0, len(m.entries)).Draw(t, "from"))
				var entries []protocol.LogEntry
				for i := range rapid.IntRange(0, 4).Draw(t, "count") {
					entries = append(entries, entry(first+uint64(i), m.hard.Term, "x"))
				}
				m.write(entries)
				if err := f.Write(m.hard, entries); err != nil {
					t.Fatal(err)
				}
			},
			"snapshot": func(t *rapid.T) {
				if len(m.entries) == 0 {
					t.Skip("nothing to cover")
				}
				n := rapid.IntRange(1, len(m.entries)).Draw(t, "covered")
				at := m.entries[n-1]
				m.snap = protocol.SnapshotMeta{Index: at.Index, Term: at.Term}
				m.data = fmt.Sprint("machine ", at.Index)
				m.entries = m.entries[n:]
				if err := f.SaveSnapshot(m.snap, []byte(m.data), m.hard, m.entries); err != nil {
					t.Fatal(err)
				}
			},
			"restore": func(t *rapid.T) {
				m.hard.Term++
				m.snap = protocol.SnapshotMeta{Index: m.snap.Index + uint64(len(m.entries)) + 5, Term: m.hard.Term}
				m.data, m.entries = "restored", nil
				if err := f.SaveSnapshot(m.snap, []byte(m.data), m.hard, nil); err != nil {
					t.Fatal(err)
				}
			},
			"reopen": func(t *rapid.T) {
				f.Close()
				var loaded *Loaded
				if f, loaded, err = Open(dir, "entry-1"); err != nil {
					t.Fatal(err)
				}
				want := &Loaded{Hard: m.hard, Snapshot: m.snap, Entries: m.entries}
				if m.data != "" {
					want.Data = []byte(m.data)
				}
				if diff := cmp.Diff(fmt.Sprintf("%+v", want), fmt.Sprintf("%+v", loaded)); diff != "" {
					t.Fatal(diff)
				}
			},
		})
	})
}

// TestTornWriteInAnySectorOrder checks that a last frame is truncated if the disk wrote
// some of its sectors but not others: it was never synced.
func TestTornWriteInAnySectorOrder(t *testing.T) {
	for _, hole := range [][2]int{{0, 512}, {512, 1024}, {0, 1024}} {
		dir := t.TempDir()
		f, _, err := Open(dir, "a")
		if err != nil {
			t.Fatal(err)
		}
		good := protocol.LogEntry{Index: 1, Term: 1, Data: []byte("kept")}
		if err := f.Write(protocol.HardState{Term: 1}, []protocol.LogEntry{good}); err != nil {
			t.Fatal(err)
		}
		file := f.path(segmentPrefix, f.seq)
		before, _ := os.ReadFile(file)
		big := protocol.LogEntry{Index: 2, Term: 1, Data: bytes.Repeat([]byte("lost"), 600)}
		if err := f.Write(protocol.HardState{Term: 1}, []protocol.LogEntry{big}); err != nil {
			t.Fatal(err)
		}
		_ = f.Close()
		data, _ := os.ReadFile(file)
		for i := hole[0]; i < hole[1]; i++ {
			data[len(before)+i] = 0
		}
		if err := os.WriteFile(file, data, fileMode); err != nil {
			t.Fatal(err)
		}
		g, loaded, err := Open(dir, "a")
		if err != nil {
			t.Fatalf("hole %v: %v", hole, err)
		}
		if len(loaded.Entries) != 1 || loaded.Torn == 0 {
			t.Errorf("hole %v: %d entries, %d bytes torn", hole, len(loaded.Entries), loaded.Torn)
		}
		_ = g.Close()
	}
}

// TestTornWriteAtSectorBoundary checks that a last frame is truncated if only its first
// bytes are lost, which lie alone at the end of a disk sector. They are too few zeros to
// be recognized by their number.
func TestTornWriteAtSectorBoundary(t *testing.T) {
	const first = 10 // bytes of the frame before the end of the sector
	dir := t.TempDir()
	f, _ := open(t, dir)
	path := f.path(segmentPrefix, f.seq)
	size := func() int {
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return int(info.Size())
	}
	pad := 2*sectorSize - first - size() - len(encodeFrame(protocol.HardState{Term: 1}, []protocol.LogEntry{entry(1, 1, strings.Repeat("x", sectorSize))})) + sectorSize
	for i, text := range []string{strings.Repeat("x", pad), strings.Repeat("lost ", 20)} {
		if i == 1 && size() != 2*sectorSize-first {
			t.Fatalf("the last frame starts at %d", size())
		}
		if err := f.Write(protocol.HardState{Term: 1}, []protocol.LogEntry{entry(uint64(i)+1, 1, text)}); err != nil {
			t.Fatal(err)
		}
	}
	_ = f.Close()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	clear(data[2*sectorSize-first : 2*sectorSize])
	if err := os.WriteFile(path, data, fileMode); err != nil {
		t.Fatal(err)
	}
	g, loaded := open(t, dir)
	defer g.Close()
	if len(loaded.Entries) != 1 || loaded.Torn == 0 {
		t.Errorf("%d entries, %d bytes torn", len(loaded.Entries), loaded.Torn)
	}
}
