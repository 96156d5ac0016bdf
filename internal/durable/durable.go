// Package durable replaces files so that after a kill of the process or a power failure the old or the new content is
// there, complete.
package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// WriteFile replaces a file atomically, with mode 0600, and returns once the content and the name are on disk. After an
// error before the rename the old file is unchanged. The directory must exist.
func WriteFile(path string, content []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+"-*")
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	_, err = temporary.Write(content)
	if err = errors.Join(err, temporary.Sync(), temporary.Close()); err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name())
		return fmt.Errorf("write: %w", err)
	}
	return syncDirectory(filepath.Dir(path))
}

// syncDirectory makes a rename in a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := errors.Join(directory.Sync(), directory.Close()); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
