package drill

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"aniseloft/internal/emulator/des"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/schema"
)

// Drill describes a run with fault injection: its processes, its duration and its faults.
type Drill struct {
	Schema        string   `json:"$schema,omitempty"`
	Name          string   `json:"name"`
	Purpose       string   `json:"tells"`
	DurationMS    float64  `json:"duration_ms"`
	Members       int      `json:"members"` // number of coordinators
	Replicas      int      `json:"seats"`   // number of replicas in the consensus group; they run in the first members
	Jobs          []string `json:"jobs"`
	LeaseMS       float64  `json:"lease_ms"`
	DriftBound    float64  `json:"drift_bound"` // upper bound of the clock drift that the coordinators allow for, as a ratio
	MinOwnedRatio float64  `json:"owned_least"` // minimum part of the time, from 0 to 1, in which the jobs must have an owner
	Faults        []Fault  `json:"faults"`
	RandomFaults  int      `json:"drawn"`              // number of additional faults, generated from the seed
	Scenario      string   `json:"scenario,omitempty"` // clients and engines of a run with real processes; empty: none
	Soak          bool     `json:"soak,omitempty"`     // adds shutdowns and faults that overlap with them, generated from the seed
}

// defaults returns the values of the fields that a drill file leaves out.
func defaults() *Drill {
	return &Drill{
		DurationMS: 20000, Members: 5, Replicas: 3, Jobs: []string{"prune-record", "read-journal"},
		LeaseMS: 2000, DriftBound: 0.01, MinOwnedRatio: 0.35,
	}
}

// Parse decodes and validates the content of a drill file. Errors are scenario.ValidationErrors.
func Parse(file string, raw []byte) (*Drill, error) {
	if err := scenario.Validate(file, raw, schema.Drill); err != nil {
		return nil, err
	}
	d := defaults()
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, scenario.ValidationErrors{{File: file, Pointer: "/", Problem: err.Error(), Remedy: "see schema/drill.schema.json"}}
	}
	if problems := d.problems(file); len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// problems checks the constraints that the schema can't express.
func (d *Drill) problems(file string) (problems scenario.ValidationErrors) {
	add := func(invalid bool, pointer, problem, remedy string) {
		if invalid {
			problems = append(problems, scenario.ValidationError{File: file, Pointer: pointer, Problem: problem, Remedy: remedy})
		}
	}
	add(d.Replicas > d.Members, "/seats", "more replicas (seats) than members", "the replicas are the first members: raise members or lower seats")
	for i, f := range d.Faults {
		faultPointer := fmt.Sprintf("/faults/%d", i)
		add(f.AtMS > d.DurationMS, faultPointer+"/at_ms", "the fault begins after the drill's end", "set it to at most duration_ms")
		add(!d.validTarget(f.Target), faultPointer+"/who", fmt.Sprintf("%q is neither a process nor a role", f.Target), "use n0 and so on, leader, owner, seat (a replica) or any")
		add(f.Peer != "" && !f.hasServicePeer() && !d.validTarget(f.Peer), faultPointer+"/to", fmt.Sprintf("%q is neither a process nor a role nor a service", f.Peer), "use n0 and so on, leader, owner, seat (a replica), any, journal or engines")
		add(f.Kind == FaultResize && f.Replicas > d.Members, faultPointer+"/count", "more replicas (count) than members", "the replicas are the first members: raise members or lower count")
	}
	return problems
}

// validTarget reports whether a fault's target is empty, a role or the name of a process of the drill.
func (d *Drill) validTarget(target string) bool {
	if slices.Contains([]string{"", TargetAny, TargetReplica, TargetLeader, TargetOwner}, target) {
		return true
	}
	var index int
	if _, err := fmt.Sscanf(target, "n%d", &index); err != nil {
		return false
	}
	return index >= 0 && index < d.Members && target == ProcessName(index)
}

// ProcessName returns the name of the process with the given index, such as n0.
func ProcessName(index int) string { return fmt.Sprintf("n%d", index) }

// processNames returns the names of the first count processes.
func processNames(count int) []string {
	var names []string
	for index := range count {
		names = append(names, ProcessName(index))
	}
	return names
}

// schedule returns all faults of a run in order of time: those that the drill lists and those that are
// generated from the seed.
func (d *Drill) schedule(seed uint64) []Fault {
	faults := slices.Clone(d.Faults)
	rng := des.Stream(seed, "faults")
	for range d.RandomFaults {
		faults = append(faults, d.randomFault(rng))
	}
	if d.Soak {
		faults = append(faults, d.soakFaults(rng)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return faults
}
