package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// checker finds the problems that the schema cannot express.
type checker struct {
	file   string
	errors ValidationErrors
}

// add records a problem of the field at a JSON pointer.
func (c *checker) add(path, problem, remedy string) {
	c.errors = append(c.errors, ValidationError{c.file, path, problem, remedy})
}

// Minimum durations. Shorter ones were most likely meant in seconds.
const (
	minRunMS  = 1000.0 // minimum duration of a scenario
	minSpanMS = 100.0  // minimum duration of a deadline or a fault
)

func (c *checker) checkDuration(path string, ms, minMS float64) {
	if ms > 0 && ms < minMS {
		c.add(path, fmt.Sprintf("%g ms is very short, it looks like seconds", ms), fmt.Sprintf("write milliseconds, like %g", ms*1000))
	}
}

func (c *checker) checkRange(path string, r Range) {
	if r.Min > r.Max {
		c.add(path, fmt.Sprintf("in the range [%g, %g] the minimum is above the maximum", r.Min, r.Max), "write [minimum, maximum]")
	}
}

// check checks a scenario that conforms to the schema, and records the problems that it finds.
func (c *checker) check(s *Scenario) {
	c.checkDuration("/duration_ms", s.DurationMS, minRunMS)
	for i, class := range s.Classes {
		path := "/classes/" + strconv.Itoa(i)
		c.checkDuration(path+"/deadline_ms", class.DeadlineMS, minSpanMS)
		if class.LatencyObjectiveMS > class.DeadlineMS {
			c.add(path+"/aim_ms", "the latency objective is beyond the deadline", "set it to at most deadline_ms")
		}
		if class.MemoryMB > s.Engines.MemoryMB {
			c.add(path+"/memory_mb", "a query needs more memory than an engine has", "set it to at most /engines/memory_mb")
		}
		for _, zone := range class.AllowedZones {
			if zone >= len(s.Zones) {
				c.add(path+"/halls", fmt.Sprintf("there is no zone %d", zone), fmt.Sprintf("use indexes of /halls, from 0 to %d", len(s.Zones)-1))
			}
		}
		c.checkRange(path+"/work_ms", class.WorkMS)
		c.checkRange(path+"/io", class.IORatio)
	}
	c.checkRange("/network/cross_ms", s.Network.CrossZoneMS)
	c.checkRange("/engines/speed", s.Engines.Speed)
	c.checkFaults(s)
}

// checkFaults checks the faults in order of their start, and that the engines of each are in the fleet at that time.
func (c *checker) checkFaults(s *Scenario) {
	fleet := fleetOverTime{runEndMS: s.DurationMS * 2}
	fleet.join(s.Engines.Count)
	order := make([]int, len(s.Faults))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.Faults[a].AtMS.Min, s.Faults[b].AtMS.Min) })
	for _, i := range order {
		fault, path := s.Faults[i], "/troubles/"+strconv.Itoa(i)
		c.checkFault(path, fault, s)
		for _, engine := range fault.Engines {
			c.checkEngine(path, fault, engine, &fleet)
		}
		fleet.apply(fault)
	}
}

// checkFault checks the fields of a fault that do not depend on other faults.
func (c *checker) checkFault(path string, fault Fault, s *Scenario) {
	c.checkRange(path+"/at_ms", fault.AtMS)
	c.checkRange(path+"/for_ms", fault.DurationMS)
	c.checkRange(path+"/size", fault.Magnitude)
	if fault.AtMS.Max > s.DurationMS {
		c.add(path+"/at_ms", "the fault starts after the end of the run", "set it below duration_ms")
	}
	c.checkDuration(path+"/for_ms", fault.DurationMS.Max, minSpanMS)
	c.checkRequiredFields(path, fault)
	if fault.Kind == FaultNoisyNeighbour && fault.Magnitude.Max >= 1 {
		c.add(path+"/size", "the other program uses the whole engine", "set a part below 1; for all of an engine use a fault of kind vanish or crash")
	}
	if fault.Kind == FaultHeavyTail && fault.Class >= len(s.Classes) {
		c.add(path+"/class", fmt.Sprintf("there is no class %d", fault.Class), fmt.Sprintf("use indexes of /classes, from 0 to %d", len(s.Classes)-1))
	}
	for _, coordinator := range fault.Coordinators {
		if coordinator >= s.Coordinators.Count {
			c.add(path+"/coordinators", fmt.Sprintf("there is no coordinator %d", coordinator),
				fmt.Sprintf("use indexes from 0 to %d", s.Coordinators.Count-1))
		}
	}
}

// fleetOverTime tracks the engines of the fleet as faults start and remove them.
type fleetOverTime struct {
	endsMS   []float64 // time at which each engine is removed, by index
	runEndMS float64   // value of endsMS for an engine that is never removed
	replaced bool      // whether a rolling replacement has removed the initial fleet
}

func (f *fleetOverTime) join(engines int) {
	for range engines {
		f.endsMS = append(f.endsMS, f.runEndMS)
	}
}

// apply adds the engines that a fault starts.
func (f *fleetOverTime) apply(fault Fault) {
	switch fault.Kind {
	case FaultJoin:
		f.join(fault.Count)
	case FaultReplace:
		f.join(len(fault.Engines))
	case FaultRollingReplace:
		f.replaced = true
	}
}

// checkEngine checks that a fault's engine is in the fleet, and records its end if the fault removes it.
func (c *checker) checkEngine(path string, fault Fault, engine int, fleet *fleetOverTime) {
	removes := fault.Kind == FaultDrain || fault.Kind == FaultReplace || fault.Kind == FaultCrash && fault.DurationMS.Max == 0
	switch {
	case engine >= len(fleet.endsMS):
		c.add(path+"/engines", fmt.Sprintf("there is no engine %d at that time", engine),
			fmt.Sprintf("use indexes from 0 to %d; engines that join get the next indexes", len(fleet.endsMS)-1))
	case fault.AtMS.Min > fleet.endsMS[engine] || fleet.replaced:
		c.add(path+"/engines", fmt.Sprintf("engine %d has been removed by then", engine), "name another engine, or set at_ms to a time before its removal")
	case removes:
		fleet.endsMS[engine] = fault.AtMS.Min
	}
}

// checkRequiredFields checks that the fields that a kind of fault requires are set.
func (c *checker) checkRequiredFields(path string, t Fault) {
	require := func(missing bool, field, remedy string) {
		if missing {
			c.add(path+"/"+field, "a fault of kind "+t.Kind+" requires this field", remedy)
		}
	}
	switch t.Kind {
	case FaultTrafficBurst, FaultSlowFleet, FaultSlowEngine:
		require(t.Magnitude.Max <= 0, "size", "set the multiple, like 2.3")
		require(t.DurationMS.Max <= 0, "for_ms", "set its duration in ms")
	case FaultStalls:
		require(t.AffectedRatio.Max <= 0, "part", "set the part of the engines, like 0.45")
		require(t.MagnitudeMS.Max <= 0, "size_ms", "set the duration of each stall in ms")
		require(t.IntervalMS.Max <= 0, "every_ms", "set the interval between stalls in ms")
		require(t.DurationMS.Max <= 0, "for_ms", "set its duration in ms")
	case FaultDiscoveryDown, FaultUnresponsive:
		require(t.DurationMS.Max <= 0, "for_ms", "set its duration in ms")
	case FaultReportsDelayed:
		require(t.MagnitudeMS.Max <= 0, "size_ms", "set the delay in ms")
		require(t.DurationMS.Max <= 0, "for_ms", "set its duration in ms")
	case FaultNoisyNeighbour, FaultHeavyTail:
		require(t.AffectedRatio.Max <= 0, "part", "set the part of the engines or queries, like 0.3")
		require(t.Magnitude.Max <= 0, "size", "set the part of an engine that the other program uses, or the multiple of the work")
		require(t.DurationMS.Max <= 0, "for_ms", "set its duration in ms")
	case FaultDiscoveryDelayed:
		require(t.MagnitudeMS.Max <= 0, "size_ms", "set the delay in ms")
	case FaultJoin:
		require(t.Count <= 0, "count", "set the number of engines that join")
	case FaultRollingReplace:
		require(t.IntervalMS.Max <= 0, "every_ms", "set the interval between replacements in ms")
	case FaultCoordinatorCrash:
		require(len(t.Coordinators) == 0, "coordinators", "list the coordinators by index")
	}
	if slices.Contains([]string{FaultDrain, FaultRestart, FaultCrash, FaultReplace, FaultUnresponsive, FaultSlowEngine}, t.Kind) {
		require(len(t.Engines) == 0, "engines", "list the engines by index")
	}
}
