package spool

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"aniseloft/internal/durable"
	"aniseloft/internal/lease"
)

// fencesFileName lies beside the coordinators' directories. For each job it stores the highest fence under which an
// operation has run on the shared directory.
// It is unrelated to the file of the same name in a fleet's directory, which holds the assignments that a coordinator
// has followed (internal/transport/coordination/fences.go).
const fencesFileName = "fences.json"

// RunFenced runs an operation of a job on a shared directory. If an operation of a later grant, one with a higher
// fence, has run there, it returns a lease.StaleFenceError instead. The directory's lock is held for the whole operation,
// as a directory has no transactions: a holder that is suspended during its operation delays later holders, and does no
// harm when it resumes.
func RunFenced(root, job string, fence lease.Fence, holder string, operation func() error) error {
	lock, err := os.OpenFile(filepath.Join(root, lockFileName), os.O_CREATE|os.O_RDWR, privateFileMode)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	if err := admitFence(filepath.Join(root, fencesFileName), job, fence, holder); err != nil {
		return err
	}
	return operation()
}

// admitFence checks a fence against the highest one of its job and stores it before the operation, so that stale
// holders are rejected after a restart too. The caller holds the directory's lock.
func admitFence(path, job string, fence lease.Fence, holder string) error {
	records := map[string]lease.FenceRecord{}
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &records)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("spool: %s: %w; move it away: the fence of the next holder is then accepted as the first", path, err)
	}
	admittedRecord, err := records[job].Admit(job, fence, holder)
	if err != nil || admittedRecord == records[job] {
		return err
	}
	records[job] = admittedRecord
	if raw, err = json.Marshal(records); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return durable.WriteFile(path, raw)
}
