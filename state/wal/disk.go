package wal

import (
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// Disk is what a folder needs of a file system. Tests put one in its place that
// loses power.
//
// What was written to a file lasts once the file is synced, and a name that was
// made, renamed or removed once its folder is. Errors are those of package os.
type Disk interface {
	// MakeFolder makes a folder that is not there.
	MakeFolder(dir string) error
	// Lock takes a lock that ends with the process or with its Close; it returns
	// [ErrLocked] if another process holds it.
	Lock(file string) (io.Closer, error)
	// List returns the names in a folder.
	List(dir string) ([]string, error)
	// Read returns all of a file.
	Read(file string) ([]byte, error)
	// Create opens an empty file for writing, in place of one that is there.
	Create(file string) (File, error)
	// Append opens a file for writing behind its end.
	Append(file string) (File, error)
	// Truncate cuts a file to a size in bytes.
	Truncate(file string, size int64) error
	// Rename gives a file another name, in place of one that has it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(file string) error
	// Sync makes the names in a folder last.
	Sync(dir string) error
}

// File is an open file that is written.
type File interface {
	io.WriteCloser
	// Sync makes last what was written.
	Sync() error
}

// osDisk is the file system of the machine.
type osDisk struct{}

func (osDisk) MakeFolder(dir string) error { return os.MkdirAll(dir, folderMode) }

func (osDisk) Lock(file string) (io.Closer, error) { return lockFolder(file) }

func (osDisk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (osDisk) Read(file string) ([]byte, error) { return os.ReadFile(file) }

func (osDisk) Create(file string) (File, error) {
	return os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (osDisk) Append(file string) (File, error) {
	return os.OpenFile(file, os.O_WRONLY|os.O_APPEND, fileMode)
}

func (osDisk) Truncate(file string, size int64) error { return os.Truncate(file, size) }

func (osDisk) Rename(from, to string) error { return os.Rename(from, to) }

func (osDisk) Remove(file string) error { return os.Remove(file) }

func (osDisk) Sync(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	return errors.Join(f.Sync(), f.Close())
}
