package wal

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const asidePrefix = "aside-"

// SetAside renames the files in a folder, replacing the files set aside by an earlier
// call, so that the next [Open] starts a new incarnation. It is for a damaged folder
// whose group continues on other replicas: the replica joins again as after a lost disk,
// and the files remain for an investigation of the cause.
//
// The identity is renamed first, and synced, since a folder that kept its identity
// without its log could vote twice.
func SetAside(dir string, opts ...Option) error {
	f := newFolder(dir, opts)
	lock, err := f.disk.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // The renames are synced.
	names, err := f.disk.List(dir)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	if slices.Contains(names, identityFile) {
		if err := f.removeAside(names); err != nil {
			return err
		}
		if err := f.moveAside(identityFile); err != nil {
			return err
		}
		if err := f.syncDir(); err != nil {
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
	return f.syncDir()
}

// removeAside removes the files set aside by an earlier call.
func (f *Folder) removeAside(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, asidePrefix) {
			continue
		}
		if err := f.disk.Remove(filepath.Join(f.dir, name)); err != nil {
			return eris.Wrap(err, "remove file set aside earlier")
		}
	}
	return nil
}

func (f *Folder) moveAside(name string) error {
	return eris.Wrap(f.disk.Rename(filepath.Join(f.dir, name), filepath.Join(f.dir, asidePrefix+name)), "set file aside")
}
