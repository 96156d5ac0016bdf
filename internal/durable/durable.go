// Package durable writes files that must be whole after a kill of the process or the machine.
package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Write puts a file in the place of another, whole or not at all, and returns once a power cut does not take it back.
func Write(path string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+"-*")
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("write: %w", err)
	}
	dir, err := os.Open(filepath.Dir(path)) // the name is durable with its folder
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
