package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"aniseloft/internal/lease"
)

// JobLease is the replicated state of the lease on one job.
type JobLease struct {
	Fence     lease.Fence   `json:"fence"`            // highest fence granted or reported by a target; 0: none
	Holder    *lease.Holder `json:"holder,omitempty"` // nil: the job is free
	Preferred string        `json:"wanted,omitempty"` // client that an operator prefers as holder; empty: no preference
}

// historyLimit is the number of history entries kept in the state machine and its snapshots.
const historyLimit = 256

// StateMachine is the replicated state. Replicas that apply the same commands in the same order have equal state
// machines.
type StateMachine struct {
	GroupID    uint64               `json:"council"`    // replica ID of the replica that bootstrapped the group
	Generation uint64               `json:"generation"` // highest committed generation of the fleet configuration
	Replicas   map[uint64]string    `json:"seats"`      // names of the group's members, by replica ID
	Jobs       map[string]*JobLease `json:"jobs"`
	History    []lease.HistoryEntry `json:"history"`
}

func newStateMachine() *StateMachine {
	return &StateMachine{Replicas: map[uint64]string{}, Jobs: map[string]*JobLease{}}
}

func (m *StateMachine) encode() []byte {
	raw, _ := json.Marshal(m) // cannot fail: the type has plain fields only
	return raw
}

func decodeStateMachine(raw []byte) (*StateMachine, error) {
	m := newStateMachine()
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("consensus: decode snapshot: %w", err)
	}
	return m, nil
}

// commandKind is the type of a replicated command. Its values are stored in the replicated log and in the history.
type commandKind string

const (
	commandGrant         commandKind = "assign" // grant a free job under the next fence
	commandRelease       commandKind = "free"   // free a job whose lease expired, was released or is refused
	commandRaiseFence    commandKind = "raise"  // raise the fence to one that a target has reported, and free the job
	commandPrefer        commandKind = "want"   // set or clear the preferred holder of a job
	commandSetGeneration commandKind = "file"   // record the generation of the fleet configuration
)

// Reasons of commands. Their values are stored in the replicated log and in the history.
const (
	reasonOperator    lease.Reason = "by hand"              // an operator has requested the change
	reasonReturned    lease.Reason = "given back"           // the holder has released the lease
	reasonExpired     lease.Reason = "its lease ran out"    // the holder has not renewed the lease in time
	reasonHigherFence lease.Reason = "a target has seen it" // a target has already accepted the reported fence
)

// command is one replicated change of the state machine: the payload of a log entry.
type command struct {
	Kind       commandKind   `json:"k"`
	Job        string        `json:"j,omitempty"`
	Fence      lease.Fence   `json:"f,omitempty"` // fence that the job must have; for commandRaiseFence, its new fence
	Holder     *lease.Holder `json:"h,omitempty"` // used by commandGrant
	Preferred  string        `json:"n,omitempty"` // used by commandPrefer; empty: clears the preference
	Reason     lease.Reason  `json:"w,omitempty"`
	Generation uint64        `json:"g,omitempty"` // used by commandSetGeneration
}

// Errors of apply. After either error the state machine is unchanged, except that a previously
// unknown job gets an empty lease.
var (
	errOutdatedCommand = errors.New("consensus: the job has changed since the command was proposed")
	errUnknownCommand  = errors.New("consensus: unknown command")
)

// apply executes the command of the log entry at index. The result depends only on the log, so all replicas skip the
// same commands: those that are outdated and those that only a later release knows.
func (m *StateMachine) apply(index uint64, c command) error {
	if c.Kind == commandSetGeneration {
		m.Generation = max(m.Generation, c.Generation)
		return nil
	}
	currentLease := m.Jobs[c.Job]
	if currentLease == nil {
		currentLease = &JobLease{}
		m.Jobs[c.Job] = currentLease
	}
	var historyHolder string
	var err error
	switch c.Kind {
	case commandGrant:
		historyHolder, err = currentLease.grant(c)
	case commandRelease:
		historyHolder, err = currentLease.release(c)
	case commandRaiseFence:
		err = currentLease.raiseFence(c)
	case commandPrefer:
		currentLease.Preferred, historyHolder = c.Preferred, c.Preferred
	default:
		err = fmt.Errorf("%w %q", errUnknownCommand, c.Kind)
	}
	if err != nil {
		return err
	}
	m.appendHistory(lease.HistoryEntry{Index: index, Job: c.Job, Fence: currentLease.Fence, Holder: historyHolder, Event: string(c.Kind), Reason: c.Reason})
	return nil
}

func (l *JobLease) grant(c command) (historyHolder string, err error) {
	if l.Holder != nil || l.Fence != c.Fence || c.Holder == nil {
		return "", errOutdatedCommand
	}
	l.Fence++
	l.Holder = c.Holder
	return l.Holder.String(), nil
}

func (l *JobLease) release(c command) (historyHolder string, err error) {
	if l.Holder == nil || l.Fence != c.Fence {
		return "", errOutdatedCommand
	}
	historyHolder = l.Holder.String()
	l.Holder = nil
	return historyHolder, nil
}

// raiseFence also frees the job, because the target refuses every fence up to the new one.
func (l *JobLease) raiseFence(c command) error {
	if l.Fence >= c.Fence {
		return errOutdatedCommand
	}
	l.Fence, l.Holder = c.Fence, nil
	return nil
}

func (m *StateMachine) appendHistory(e lease.HistoryEntry) {
	m.History = append(m.History, e)
	if excessEntries := len(m.History) - historyLimit; excessEntries > 0 {
		m.History = slices.Delete(m.History, 0, excessEntries)
	}
}

// jobLease returns a copy of the lease on a job, or the zero value for an unknown job.
func (m *StateMachine) jobLease(job string) JobLease {
	if l := m.Jobs[job]; l != nil {
		return *l
	}
	return JobLease{}
}

// isHolder reports whether h, including its incarnation, holds the job.
func (l JobLease) isHolder(h lease.Holder) bool { return l.Holder != nil && *l.Holder == h }

// holderName returns the holder's name and incarnation, or an empty string if the job is free.
func (l JobLease) holderName() string {
	if l.Holder == nil {
		return ""
	}
	return l.Holder.String()
}
