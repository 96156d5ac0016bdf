// Package drill plays many coordinators that share work while faults come between them: in
// virtual time from a seed, thousands of times, or with real processes on loopback. Checkers
// judge what every process did and name the rule, the process, the time and the evidence.
package drill

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"aniseloft/internal/emulator/des"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/schema"
)

// Kinds of faults.
const (
	Kill      = "kill"       // SIGKILL; the process starts again after for_ms, its disk as Disk says
	Term      = "term"       // SIGTERM: a planned end, and a start after for_ms
	Stop      = "stop"       // SIGSTOP, and SIGCONT after for_ms
	Cut       = "cut"        // no bytes between Who and To, as Way says, for for_ms
	Lossy     = "lossy"      // a part of all messages is lost, repeated or late for for_ms
	SlowDisk  = "slow_disk"  // one sync takes for_ms
	FullDisk  = "full_disk"  // nothing can be saved for for_ms
	Drift     = "drift"      // the clock runs faster by Size, as a part, from here on
	Step      = "step"       // the clock jumps by size_ms
	KillAll   = "kill_all"   // every process within 100 ms, each back within for_ms
	StepDown  = "step_down"  // an operator has the leader step down
	MoveJob   = "move"       // an operator moves a job to Who
	Reconnect = "reconnect"  // all connections break at once
	Resize    = "resize"     // the council's file names Count seats from here on
	Twin      = "twin"       // a second process under the name of Who, for for_ms
	Acted     = "in_the_act" // as stop, in the instant between the owner's check and its write
	Voted     = "voted"      // as kill, in the instant after Who has voted for another seat
)

// What is left on the disk of a process that starts again.
const (
	DiskKept       = "kept"
	DiskLost       = "lost"
	DiskRolledBack = "rolled_back" // to what it held a while before
)

// What else a member can be cut off from, with real processes.
const (
	ToJournal = "journal"
	ToEngines = "engines"
)

// Ways of a cut.
const (
	WayBoth = "both"
	WayIn   = "in"  // Who is not reached
	WayOut  = "out" // Who does not reach
)

// Fault is something that befalls the processes.
type Fault struct {
	Kind   string  `json:"kind"`
	AtMS   float64 `json:"at_ms"`
	ForMS  float64 `json:"for_ms,omitempty"`
	Who    string  `json:"who,omitempty"`  // n0, leader, owner, seat, any
	To     string  `json:"to,omitempty"`   // of a cut: the other side; empty: everybody
	Way    string  `json:"way,omitempty"`  // of a cut
	Disk   string  `json:"disk,omitempty"` // after a kill
	Size   float64 `json:"size,omitempty"`
	SizeMS float64 `json:"size_ms,omitempty"`
	Count  int     `json:"count,omitempty"`
}

// Drill is a plan: who is there, for how long, and what goes wrong.
type Drill struct {
	Schema     string   `json:"$schema,omitempty"`
	Name       string   `json:"name"`
	Tells      string   `json:"tells"`
	DurationMS float64  `json:"duration_ms"`
	Members    int      `json:"members"`
	Seats      int      `json:"seats"` // the first so many members are the council
	Jobs       []string `json:"jobs"`
	LeaseMS    float64  `json:"lease_ms"`
	DriftBound float64  `json:"drift_bound"` // what the processes are told of clocks
	OwnedLeast float64  `json:"owned_least"` // of the time in which the jobs must have an owner
	Faults     []Fault  `json:"faults"`
	Drawn      int      `json:"drawn"`              // so many more, drawn from the seed
	Scenario   string   `json:"scenario,omitempty"` // of clients and engines, with real processes; empty: none
}

// Parse reads a drill's file and checks it. Errors are scenario.Faults.
func Parse(file string, raw []byte) (*Drill, error) {
	if err := scenario.Validate(file, raw, schema.Drill); err != nil {
		return nil, err
	}
	d := &Drill{DurationMS: 20000, Members: 5, Seats: 3, Jobs: []string{"prune-record", "read-journal"}, LeaseMS: 2000, DriftBound: 0.01, OwnedLeast: 0.35}
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, scenario.Faults{{File: file, Pointer: "/", Problem: err.Error(), Mend: "see schema/drill.schema.json"}}
	}
	var faults scenario.Faults
	add := func(bad bool, pointer, problem, mend string) {
		if bad {
			faults = append(faults, scenario.Fault{File: file, Pointer: pointer, Problem: problem, Mend: mend})
		}
	}
	add(d.Seats > d.Members, "/seats", "more seats than members", "the council is some of the members")
	for i, f := range d.Faults {
		at := fmt.Sprintf("/faults/%d", i)
		add(f.AtMS > d.DurationMS, at+"/at_ms", "after the drill's end", "let it begin before duration_ms")
		add(!d.knows(f.Who), at+"/who", fmt.Sprintf("%q is nobody here", f.Who), "name n0 and so on, leader, owner, seat or any")
		add(f.To != "" && f.To != ToJournal && f.To != ToEngines && !d.knows(f.To), at+"/to", fmt.Sprintf("%q is nobody here", f.To), "name n0 and so on, leader, owner, seat, any, journal or engines")
		add(f.Kind == Resize && f.Count > d.Members, at+"/count", "more seats than members", "the council is some of the members")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// knows tells whether a fault's party can be somebody.
func (d *Drill) knows(who string) bool {
	if slices.Contains([]string{"", "any", "seat", "leader", "owner"}, who) {
		return true
	}
	var n int
	if _, err := fmt.Sscanf(who, "n%d", &n); err != nil {
		return false
	}
	return n >= 0 && n < d.Members && who == Name(n)
}

// Name is what the n-th process is called.
func Name(n int) string { return fmt.Sprintf("n%d", n) }

// Faults are all of a play's: the plan's own, and those drawn from the seed.
func (d *Drill) drawn(seed uint64) []Fault {
	l := slices.Clone(d.Faults)
	rng := des.Stream(seed, "faults")
	for range d.Drawn {
		l = append(l, d.draw(rng))
	}
	slices.SortStableFunc(l, func(a, b Fault) int {
		if a.AtMS < b.AtMS {
			return -1
		} else if a.AtMS > b.AtMS {
			return 1
		}
		return 0
	})
	return l
}

// draw is one fault that a calm assumption holds through: clocks keep to the bound, and a disk
// keeps what was synced. What goes beyond is in drills that say so.
func (d *Drill) draw(rng *rand.Rand) Fault {
	who := []string{"any", "leader", "owner", "seat"}[rng.IntN(4)]
	f := Fault{AtMS: 2500 + rng.Float64()*max(d.DurationMS-8000, 1), ForMS: d.LeaseMS * (0.1 + 2*rng.Float64()), Who: who, Disk: DiskKept}
	switch rng.IntN(14) {
	case 0, 1:
		f.Kind = Kill
	case 2:
		f.Kind, f.Disk = Kill, DiskLost
	case 3:
		f.Kind = Term
	case 4, 5:
		f.Kind, f.ForMS = Stop, d.LeaseMS*(0.2+3*rng.Float64())
	case 6:
		f.Kind, f.Who, f.ForMS = Acted, "owner", d.LeaseMS*(0.2+3*rng.Float64())
	case 7, 8:
		f.Kind, f.Way = Cut, []string{WayBoth, WayIn, WayOut}[rng.IntN(3)]
		if rng.IntN(2) == 0 {
			f.To = []string{"any", "leader", "seat"}[rng.IntN(3)]
		}
	case 9:
		f.Kind, f.Size = Lossy, 0.3*rng.Float64()
	case 10:
		f.Kind, f.ForMS, f.Who = SlowDisk, 200+4800*rng.Float64(), "seat"
	case 11:
		f.Kind = KillAll
	case 12:
		f.Kind = StepDown
	case 13:
		f.Kind = MoveJob
	}
	return f
}

// String words a fault.
func (f Fault) String() string {
	parts := []string{fmt.Sprintf("%.0f ms: %s", f.AtMS, f.Kind)}
	if f.Who != "" {
		parts = append(parts, f.Who)
	}
	if f.To != "" {
		parts = append(parts, "and "+f.To)
	}
	if f.Way != "" {
		parts = append(parts, f.Way)
	}
	if f.ForMS > 0 {
		parts = append(parts, fmt.Sprintf("for %.0f ms", f.ForMS))
	}
	if f.Disk != "" && f.Disk != DiskKept {
		parts = append(parts, "disk "+f.Disk)
	}
	return strings.Join(parts, " ")
}
