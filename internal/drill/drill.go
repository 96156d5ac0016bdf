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

// Drill is a plan: the processes, the duration and the faults.
type Drill struct {
	Schema        string   `json:"$schema,omitempty"`
	Name          string   `json:"name"`
	Purpose       string   `json:"tells"`
	DurationMS    float64  `json:"duration_ms"`
	Members       int      `json:"members"` // coordinators
	Replicas      int      `json:"seats"`   // the first so many members are the consensus group
	Jobs          []string `json:"jobs"`
	LeaseMS       float64  `json:"lease_ms"`
	DriftBound    float64  `json:"drift_bound"` // configured bound of the clocks' drift, as a ratio
	MinOwnedRatio float64  `json:"owned_least"` // least part of the time in which the jobs must have an owner
	Faults        []Fault  `json:"faults"`
	RandomFaults  int      `json:"drawn"`              // number of further faults, generated from the seed
	Scenario      string   `json:"scenario,omitempty"` // of clients and engines, with real processes; empty: none
	Soak          bool     `json:"soak,omitempty"`     // shutdowns and what crosses them are drawn from the seed
}

// defaults are the values of fields that a drill file leaves out.
func defaults() *Drill {
	return &Drill{
		DurationMS: 20000, Members: 5, Replicas: 3, Jobs: []string{"prune-record", "read-journal"},
		LeaseMS: 2000, DriftBound: 0.01, MinOwnedRatio: 0.35,
	}
}

// Parse reads a drill file and checks it. Errors are scenario.Faults.
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

// problems finds what the schema can't express.
func (d *Drill) problems(file string) (problems scenario.ValidationErrors) {
	add := func(bad bool, pointer, problem, remedy string) {
		if bad {
			problems = append(problems, scenario.ValidationError{File: file, Pointer: pointer, Problem: problem, Remedy: remedy})
		}
	}
	add(d.Replicas > d.Members, "/seats", "more seats than members", "the council is some of the members")
	for i, f := range d.Faults {
		at := fmt.Sprintf("/faults/%d", i)
		add(f.AtMS > d.DurationMS, at+"/at_ms", "after the drill's end", "let it begin before duration_ms")
		add(!d.validTarget(f.Target), at+"/who", fmt.Sprintf("%q is nobody here", f.Target), "name n0 and so on, leader, owner, seat or any")
		add(f.Peer != "" && !f.hasServicePeer() && !d.validTarget(f.Peer), at+"/to", fmt.Sprintf("%q is nobody here", f.Peer), "name n0 and so on, leader, owner, seat, any, journal or engines")
		add(f.Kind == FaultResize && f.Replicas > d.Members, at+"/count", "more seats than members", "the council is some of the members")
	}
	return problems
}

// validTarget reports whether a fault may name a target.
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

// ProcessName returns the name of the process with an index.
func ProcessName(index int) string { return fmt.Sprintf("n%d", index) }

// processNames returns the names of the first count processes.
func processNames(count int) []string {
	var names []string
	for index := range count {
		names = append(names, ProcessName(index))
	}
	return names
}

// schedule returns all faults of a run by time: those of the drill and those generated from the seed.
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
