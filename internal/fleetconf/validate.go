package fleetconf

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"aniseloft/internal/lease"
)

// Bounds of a lease in milliseconds. A shorter lease would expire during a pause of the garbage collector or of a disk.
// A longer one would leave a job undone for as long after a crash of its holder.
const (
	MinLeaseMS = 500
	MaxLeaseMS = 60000
)

// maxDriftBound is the maximum of drift_bound.
const maxDriftBound = 0.2

// FieldError describes a fault of one field of the file.
type FieldError struct {
	Pointer string `json:"pointer"` // JSON pointer to the field
	Problem string `json:"problem"`
	Remedy  string `json:"mend"`
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", File, e.Pointer, e.Problem, e.Remedy)
}

// fieldErrors collects faults in the order in which they are found.
type fieldErrors []FieldError

// addIf adds a fault if isFault is true. pointer is the JSON pointer to the field, as a format string for args.
func (l *fieldErrors) addIf(isFault bool, problem, remedy, pointer string, args ...any) {
	if isFault {
		*l = append(*l, FieldError{fmt.Sprintf(pointer, args...), problem, remedy})
	}
}

// Validate returns all faults of the file.
func (c Config) Validate() []FieldError {
	var l fieldErrors
	switch {
	case c.Installation == "":
		l.addIf(len(c.Replicas) > 0, "missing, but replicas (seats) are listed",
			"give the installation a unique name, or remove seats", "/installation")
		return l
	case c.Backend == BackendRecord:
		c.validateRecordBackend(&l)
	default:
		c.validateConsensusBackend(&l)
	}
	c.validateCommon(&l)
	return l
}

func (c Config) validateRecordBackend(l *fieldErrors) {
	l.addIf(len(c.Replicas) > 0, "replicas (seats) are listed, but the backend (by) is the record, which uses none", "remove seats, or remove by", "/seats")
	for i, job := range c.Jobs {
		l.addIf(job == lease.JobReadJournal, "the holder of this job publishes to all coordinators, which the record backend cannot do", `remove the job, or set by to "council"`, "/jobs/%d", i)
	}
}

func (c Config) validateConsensusBackend(l *fieldErrors) {
	replicaCount := len(c.Replicas)
	l.addIf(c.Backend != "" && c.Backend != BackendConsensus, fmt.Sprintf("%q is not a lease backend", c.Backend), `set by to "council" or "record"`, "/by")
	l.addIf(replicaCount != 1 && replicaCount != 3 && replicaCount != 5, fmt.Sprintf("%d replicas (seats)", replicaCount), "list 1, 3 or 5: an even number tolerates no more failures than one replica less", "/seats")
	l.addIf(c.Generation == 0, "missing or 0", "start with 1 and add 1 with each change of the replicas (seats)", "/generation")
	l.addIf(c.Directory == "", "missing", "name a directory that survives restarts: a replica stores its votes there", "/directory")
	indexByName, indexByAddr := map[string]int{}, map[string]int{}
	for i, r := range c.Replicas {
		_, addrErr := netip.ParseAddrPort(r.Addr)
		sameNameIndex, nameTaken := indexByName[r.Name]
		sameAddrIndex, addrTaken := indexByAddr[r.Addr]
		l.addIf(r.Name == "", "missing", "enter the name of the coordinator from its configuration", "/seats/%d/name", i)
		l.addIf(addrErr != nil, fmt.Sprintf("%q is not an IP address and port", r.Addr), "write it as 127.0.0.1:7400; host names are not resolved", "/seats/%d/addr", i)
		l.addIf(nameTaken, fmt.Sprintf("%q is already the name of /seats/%d", r.Name, sameNameIndex), "list each coordinator once", "/seats/%d/name", i)
		l.addIf(addrTaken, fmt.Sprintf("%s is already the address of /seats/%d", r.Addr, sameAddrIndex), "give each replica its own address", "/seats/%d/addr", i)
		indexByName[r.Name], indexByAddr[r.Addr] = i, i
	}
}

// validateCommon checks the fields that every lease backend uses.
func (c Config) validateCommon(l *fieldErrors) {
	for i, job := range c.Jobs {
		l.addIf(!slices.Contains(lease.JobNames(), job), fmt.Sprintf("%q is not a known job", job),
			"use one of "+strings.Join(lease.JobNames(), ", "), "/jobs/%d", i)
		l.addIf(slices.Index(c.Jobs, job) < i, fmt.Sprintf("%q is listed twice", job), "list each job once", "/jobs/%d", i)
	}
	l.addIf(c.LeaseMS != 0 && (c.LeaseMS < MinLeaseMS || c.LeaseMS > MaxLeaseMS),
		fmt.Sprintf("%v is not between %d and %d", c.LeaseMS, MinLeaseMS, MaxLeaseMS), "remove it to use the default", "/lease_ms")
	l.addIf(c.DriftBound < 0 || c.DriftBound > maxDriftBound,
		fmt.Sprintf("%v is not between 0 and %v", c.DriftBound, maxDriftBound), "remove it to use the default", "/drift_bound")
	l.addIf(c.Capacity < 0, "negative", "remove it to use the default of 1", "/room")
}
