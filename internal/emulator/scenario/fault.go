package scenario

// Kinds of faults.
const (
	FaultTrafficBurst     = "burst"             // the arrival rate is multiplied by Magnitude
	FaultSlowFleet        = "slow"              // all engines are Magnitude times slower
	FaultSlowEngine       = "sick"              // engines are Magnitude times slower than the others
	FaultStalls           = "stalls"            // AffectedRatio of the engines stall for MagnitudeMS, about every IntervalMS
	FaultDiscoveryDown    = "roster_down"       // the journal service sends no watch events
	FaultDiscoveryDelayed = "roster_behind"     // the journal service detects changes MagnitudeMS later
	FaultJoin             = "join"              // Count new engines join
	FaultDrain            = "drain"             // an engine drains, and is removed after DurationMS
	FaultRestart          = "restart"           // an engine drains, is down for DurationMS and starts again
	FaultCrash            = "crash"             // an engine ends at once; it starts again after DurationMS, or never if that is 0
	FaultReplace          = "replace"           // an engine ends at once; a new one joins after DurationMS
	FaultUnresponsive     = "vanish"            // an engine is cut off from the network for DurationMS
	FaultRollingReplace   = "rolling_replace"   // all engines of the initial fleet drain and are replaced, one every IntervalMS
	FaultNoisyNeighbour   = "neighbour"         // another program uses Magnitude of AffectedRatio of the engines, on and off about every IntervalMS
	FaultReportsDelayed   = "reports_late"      // load reports come MagnitudeMS later
	FaultHeavyTail        = "heavy_tail"        // AffectedRatio of the queries of Class cost Magnitude times the usual work, also in their estimates
	FaultCoordinatorCrash = "coordinator_crash" // a coordinator ends at once and starts again after DurationMS, or never if that is 0
)

// Fault is one fault of a scenario. Its kind determines which fields apply.
type Fault struct {
	Kind          string `json:"kind"`
	AtMS          Range  `json:"at_ms"`
	DurationMS    Range  `json:"for_ms"`
	Magnitude     Range  `json:"size"`
	MagnitudeMS   Range  `json:"size_ms"`
	IntervalMS    Range  `json:"every_ms"`
	AffectedRatio Range  `json:"part"`
	Count         int    `json:"count"`
	Engines       []int  `json:"engines"` // engine indexes: the initial fleet has the lowest, then follow those that join
	Coordinators  []int  `json:"coordinators"`
	Class         int    `json:"class"` // index of the class; only for a heavy tail
}
