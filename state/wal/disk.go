package wal

import (
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// Disk is the file system access that a folder needs. Tests replace it with a disk that
// loses power.
//
// Data written to a file is durable once the file is synced, and a created, renamed or
// removed directory entry once its directory is synced. Errors are those of package os.
type Disk interface {
	// MkdirAll creates a directory, along with any missing parents, if it does not exist.
	MkdirAll(dir string) error
	// Lock takes a lock that is released when it is closed or the process ends. It
	// returns [ErrLocked] if another process holds the lock.
	Lock(file string) (io.Closer, error)
	// List returns the names of the files in a directory.
	List(dir string) ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(file string) ([]byte, error)
	// Create creates or truncates a file for writing.
	Create(file string) (File, error)
	// Append opens an existing file for appending.
	Append(file string) (File, error)
	// Truncate truncates a file to a size in bytes.
	Truncate(file string, size int64) error
	// Rename renames a file, replacing an existing one.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(file string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
}

// osDisk is the file system of the operating system.
type osDisk struct{}

func (osDisk) MkdirAll(dir string) error { return os.MkdirAll(dir, folderMode) }

func (osDisk) Lock(file string) (io.Closer, error) { return lockFolder(file) }

func (osDisk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (osDisk) ReadFile(file string) ([]byte, error) { return os.ReadFile(file) }

func (osDisk) Create(file string) (File, error) {
	return os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (osDisk) Append(file string) (File, error) {
	return os.OpenFile(file, os.O_WRONLY|os.O_APPEND, fileMode)
}

func (osDisk) Truncate(file string, size int64) error { return os.Truncate(file, size) }

func (osDisk) Rename(from, to string) error { return os.Rename(from, to) }

func (osDisk) Remove(file string) error { return os.Remove(file) }

func (osDisk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	return errors.Join(f.Sync(), f.Close())
}
