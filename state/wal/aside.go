package wal

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// asidePrefix begins the names of files that were set aside.
const asidePrefix = "aside-"

// SetAside renames what a folder holds, in place of what was set aside before,
// so that the next [Open] makes a new incarnation. It is for a damaged folder
// whose group lives on elsewhere: the replica joins anew, as after a lost disk,
// and the files stay for those who look into the cause.
//
// The identity goes first and lastingly: a folder never keeps its identity
// without its log, as it would then vote twice.
func SetAside(dir string, opts ...Option) error {
	f := newFolder(dir, opts)
	lock, err := f.disk.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // What was moved is synced.
	names, err := f.disk.List(dir)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	if slices.Contains(names, identityFile) {
		if err := f.dropAside(names); err != nil {
			return err
		}
		if err := f.moveAside(identityFile); err != nil {
			return err
		}
		if err := f.syncNames(); err != nil {
			return err
		}
	}
	for _, name := range names {
		if name == identityFile || name == lockFile || strings.HasPrefix(name, asidePrefix) {
			continue
		}
		if err := f.moveAside(name); err != nil {
			return err
		}
	}
	return f.syncNames()
}

// dropAside removes what was set aside before.
func (f *Folder) dropAside(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, asidePrefix) {
			continue
		}
		if err := f.disk.Remove(filepath.Join(f.dir, name)); err != nil {
			return eris.Wrap(err, "remove what was set aside before")
		}
	}
	return nil
}

func (f *Folder) moveAside(name string) error {
	return eris.Wrap(f.disk.Rename(filepath.Join(f.dir, name), filepath.Join(f.dir, asidePrefix+name)), "set file aside")
}
