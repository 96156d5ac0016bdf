// Package fleetconf parses and validates deploy/fleet.json, in which operators configure the jobs that the coordinators
// of one installation share. Without the file, or if it names no installation, a coordinator joins no fleet.
package fleetconf

import (
	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/lease"
)

// File is the path of the file, relative to the working directory.
const File = "deploy/fleet.json"

// strictCodec rejects unknown and misspelt fields.
var strictCodec = jsoniter.Config{CaseSensitive: true, DisallowUnknownFields: true}.Froze()

// Replica is one member of the consensus group.
type Replica struct {
	Name string `json:"name"` // name of the coordinator
	Addr string `json:"addr"` // IP address and port on which it listens for other coordinators
}

// Config is the content of the file. docs/leases.md maps the JSON names to the terms of the code.
type Config struct {
	Schema       string    `json:"$schema"`
	Installation string    `json:"installation"` // empty: disabled
	Generation   uint64    `json:"generation"`   // number of this list of replicas; grows with each change of the list
	Backend      string    `json:"by,omitempty"` // lease backend: BackendConsensus, the default, or BackendRecord
	Replicas     []Replica `json:"seats"`        // 1, 3 or 5; the first bootstraps the group
	Directory    string    `json:"directory"`    // directory of the replica's database and of the file of followed fences; must survive restarts
	Jobs         []string  `json:"jobs"`         // done by one coordinator for all; each coordinator does all other jobs itself
	LeaseMS      float64   `json:"lease_ms"`     // length of a lease in milliseconds; 0: the default
	DriftBound   float64   `json:"drift_bound"`  // upper bound on how far the rate of a clock differs from 1; 0: the default
	Capacity     float64   `json:"room"`         // share of jobs for this coordinator, relative to 1 for the others; 0: 1
}

// Lease backends, as Config.Backend.
const (
	BackendConsensus = "council" // a consensus group of coordinators
	BackendRecord    = "record"  // rows of the shared REST record (an SQL database), by the clock of that database
)

// Parse parses and validates the content of the file. The error is the FieldError of the first fault.
func Parse(raw []byte) (Config, error) {
	var c Config
	if err := strictCodec.Unmarshal(raw, &c); err != nil {
		return c, FieldError{"/", err.Error(), "see schema/fleet.schema.json for the fields and their types"}
	}
	if faults := c.Validate(); len(faults) > 0 {
		return c, faults[0]
	}
	return c, nil
}

// Enabled reports whether the file names an installation, so that the coordinator joins a fleet.
func (c Config) Enabled() bool { return c.Installation != "" }

// ReplicaNames returns the names of the replicas in the file's order.
func (c Config) ReplicaNames() (names []string) {
	for _, r := range c.Replicas {
		names = append(names, r.Name)
	}
	return names
}

// ReplicaAddr returns the address of a replica, or an empty string if the file names no such replica.
func (c Config) ReplicaAddr(name string) string {
	for _, r := range c.Replicas {
		if r.Name == name {
			return r.Addr
		}
	}
	return ""
}

// Timing returns the configured intervals, or their defaults. The tick is scaled with the lease, so that an election
// keeps its length relative to a lease.
func (c Config) Timing() lease.Timing {
	t := lease.DefaultTiming()
	if c.LeaseMS > 0 {
		t.Tick, t.LeaseTTL = t.Tick*c.LeaseMS/t.LeaseTTL, c.LeaseMS
	}
	if c.DriftBound > 0 {
		t.DriftBound = c.DriftBound
	}
	return t
}
