// Package scenario describes what the emulator runs: a fleet, its zones, classes of queries, load and faults. It parses and
// validates scenario files, and generates arrivals and the timeline of faults from a seed. It does no I/O.
package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// Range is a fixed number, or a pair [min, max] between which a uniform random number is drawn for each run.
type Range struct{ Min, Max float64 }

// UnmarshalJSON reads a number or a pair.
func (r *Range) UnmarshalJSON(b []byte) error {
	var fixed float64
	if json.Unmarshal(b, &fixed) == nil {
		r.Min, r.Max = fixed, fixed
		return nil
	}
	var pair [2]float64
	if err := json.Unmarshal(b, &pair); err != nil {
		return fmt.Errorf("not a number or [minimum, maximum]: %w", err)
	}
	r.Min, r.Max = pair[0], pair[1]
	return nil
}

// MarshalJSON writes a number if both bounds are equal, or else a pair.
func (r Range) MarshalJSON() ([]byte, error) {
	if r.Min == r.Max {
		return json.Marshal(r.Min)
	}
	return json.Marshal([2]float64{r.Min, r.Max})
}

// Draw returns a random number in the range. It always consumes one number of the random source, even for a fixed range.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Min + rng.Float64()*(r.Max-r.Min) }

// Scenario is a run of the emulator. Times are in milliseconds, work in milliseconds on one core, memory in MB; ratios are
// parts of 1.
type Scenario struct {
	Name         string       `json:"name"`
	Description  string       `json:"tells"`
	DurationMS   float64      `json:"duration_ms"`
	WindowMS     float64      `json:"window_ms"`
	Coordinators Coordinators `json:"coordinators"`
	Zones        []string     `json:"halls"`
	Network      Network      `json:"network"`
	FrontProxy   FrontProxy   `json:"front"`
	Engines      Engines      `json:"engines"`
	Classes      []Class      `json:"classes"`
	DataSets     DataSets     `json:"data_sets"`
	Load         Load         `json:"load"`
	Clients      Clients      `json:"clients"`
	Discovery    Discovery    `json:"roster"`
	Rules        Rules        `json:"rules"`
	Objective    Objective    `json:"goal"`
	Faults       []Fault      `json:"troubles"`
}

// Coordinators are the instances of the decision module and their limits.
type Coordinators struct {
	Count           int     `json:"count"`
	QuantumMS       float64 `json:"quantum_ms"` // inputs that arrive within a quantum are handled together at its end
	TickMS          float64 `json:"tick_ms"`
	MaxAttempts     int     `json:"max_attempts"`
	MaxOpenRequests int     `json:"max_open"`
	MaxRetryAfterMS float64 `json:"max_come_back_ms"` // upper limit of Retry-After; 0: no Retry-After is sent
	HedgingAllowed  bool    `json:"may_duplicate"`
	ProbesAllowed   bool    `json:"probes"`    // probes of the engines' load
	GossipAllowed   bool    `json:"peers"`     // datagrams between coordinators
	GossipDelayMS   Range   `json:"peer_ms"`   // delay of a datagram
	GossipLossRatio float64 `json:"peer_loss"` // part of the datagrams that is lost
}

// Network gives the delays of messages, in one direction.
type Network struct {
	SameZoneMS  Range   `json:"same_ms"`
	CrossZoneMS Range   `json:"cross_ms"`
	ClientMS    Range   `json:"client_ms"`
	Jitter      float64 `json:"jitter"` // ratio by which a delay varies at random, up and down
}

// FrontProxy distributes clients over the coordinators of their zone.
type FrontProxy struct {
	DetectionMS Range `json:"notice_ms"` // time after which the proxy detects that a coordinator has crashed or started
}

// Engines describes the engines of the initial fleet and those that join later.
type Engines struct {
	Count              int      `json:"count"`
	Kind               string   `json:"kind"`
	Cores              float64  `json:"cores"`
	Disks              float64  `json:"disks"` // number of concurrent reads and writes at full throughput
	MemoryMB           float64  `json:"memory_mb"`
	Speed              Range    `json:"speed"`
	SaturationThreads  Range    `json:"knee"`   // threads per core above which throughput falls
	ThrashRatio        Range    `json:"thrash"` // factor of the throughput at twice SaturationThreads; its square at four times, and so on
	SeekPenalty        Range    `json:"seek"`   // factor of the disks' throughput with twice as many threads as disks is 1/(1+SeekPenalty)
	SpillPenalty       Range    `json:"spill"`  // additional work of a query without any memory, as a multiple of its work
	MaxGrantRatio      float64  `json:"most_grant"`
	Grants             bool     `json:"grants"`       // whether engines apply the memory grants of coordinators
	Priorities         bool     `json:"priorities"`   // whether engines apply the priorities of coordinators
	ReportsCost        bool     `json:"tells_cost"`   // whether answers report the work and memory of a query
	MemoryShort        string   `json:"memory_short"` // QueueForMemory or OvercommitMemory
	PagingPenalty      Range    `json:"page"`         // with OvercommitMemory: divisor of the throughput at twice the memory
	ProgressMS         float64  `json:"progress_ms"`  // interval of progress reports on an attempt; 0: none
	Reports            string   `json:"reports"`      // ReportsByProbe, ReportsInAnswers (by probe too) or NoReports
	ReportFields       []string `json:"report_fields"`
	Sessions           int      `json:"sessions"`    // maximum number of queries that run or wait; an engine rejects further queries
	Connections        int      `json:"connections"` // maximum number of connections to one engine from all coordinators together
	HandshakeRTTs      float64  `json:"handshake_rtts"`
	IdleTimeoutMS      float64  `json:"idle_ms"`
	ConnectTimeoutMS   float64  `json:"connect_timeout_ms"`
	WarmSets           Range    `json:"warm_sets"`
	WarmGain           Range    `json:"warm_gain"` // part of the reads that a warm data set saves
	WarmupInitialRatio Range    `json:"cold_from"`
	WarmupMS           Range    `json:"cold_ms"`
	ReportPeriodMS     Range    `json:"report_period_ms"`
	ReportDelayMS      Range    `json:"report_delay_ms"`
	ReportNoise        float64  `json:"report_noise"`
	ErrorRate          float64  `json:"error_rate"`
	OrphanMS           float64  `json:"orphan_ms"` // time after which a query that no coordinator polls is cancelled
	ProbeTimeoutMS     float64  `json:"probe_timeout_ms"`
}

// Values of Engines.MemoryShort, the behavior when grants exceed the memory, and of Engines.Reports, the way in which load
// reports are sent.
const (
	QueueForMemory   = "line_up"
	OvercommitMemory = "overcommit"
	ReportsByProbe   = "pull"
	ReportsInAnswers = "piggyback"
	NoReports        = "silent"
)

// Class is a class of queries.
type Class struct {
	Name                string  `json:"name"`
	Frequency           float64 `json:"share"` // frequency of the queries, relative to the other classes
	WorkMS              Range   `json:"work_ms"`
	WorkCV              float64 `json:"cv"` // coefficient of variation of the log-normal work
	IORatio             Range   `json:"io"` // part of the work that is reads or writes
	Threads             int     `json:"threads"`
	MemoryMB            float64 `json:"memory_mb"`
	MemoryCV            float64 `json:"memory_cv"`
	LatencyObjectiveMS  float64 `json:"aim_ms"`
	ObjectivePerWork    float64 `json:"aim_stretch"`
	DeadlineMS          float64 `json:"deadline_ms"`
	Weight              float64 `json:"worth"`
	LateWeightRatio     float64 `json:"late_worth"`
	Idempotency         string  `json:"repeat"` // repeatable, by_key, once
	IdempotencyWindowMS float64 `json:"repeat_window_ms"`
	LoadsDataSet        bool    `json:"load"`     // queries lock their data set on the engine while they run
	WaitsForLoads       bool    `json:"waits"`    // queries wait for running loads of their data set
	OrderedByKey        bool    `json:"in_order"` // requests of one data set run one at a time
	AllowedZones        []int   `json:"halls"`    // zone indexes; empty: all zones are allowed
	EstimateBias        Range   `json:"estimate_bias"`
	EstimateCV          float64 `json:"estimate_cv"`
	BadPlanRatio        Range   `json:"runaway"`       // part of the attempts that get a bad plan
	BadPlanMultiple     Range   `json:"runaway_times"` // factor of the work with a bad plan
}

// DataSets describes the groups of tables, ordered by the frequency of reads.
type DataSets struct {
	Count int   `json:"count"`
	Zipf  Range `json:"zipf"` // exponent: the k-th data set is read in proportion to k^-zipf
}

// Load describes the open-loop arrivals of first tries.
type Load struct {
	PerSecond float64 `json:"per_s"`
	Shape     string  `json:"shape"`     // steady, wave, bursts
	Swing     Range   `json:"swing"`     // amplitude of the wave or the bursts, as a ratio of the rate
	PeriodMS  float64 `json:"period_ms"` // period of the wave, or mean time between bursts
	ZoneSkew  Range   `json:"hall_skew"` // part of the other zones' load that goes to the first zone
}

// Clients describes the clients' behavior.
type Clients struct {
	Habits        []Habit `json:"habits"`
	PatienceRatio Range   `json:"try_share"`   // part of the deadline that a client waits for one try
	MarksRetries  bool    `json:"marks_retry"` // clients mark their retries
}

// Habit describes how a part of the clients retries.
type Habit struct {
	Frequency             float64 `json:"share"`
	Retries               int     `json:"retries"`
	WaitMS                Range   `json:"wait_ms"`
	HonorsRetryAfterRatio float64 `json:"honour"` // part of the clients that wait for Retry-After
}

// Discovery describes the delays of the journal service, which lists the engines.
type Discovery struct {
	DetectionMS             Range `json:"notice_ms"` // time from a change of an engine to its publication
	UnresponsiveDetectionMS Range `json:"silent_ms"` // time from an engine's becoming unresponsive to the publication of this change
	PropagationMS           Range `json:"spread_ms"` // time from the publication to its delivery at a coordinator
}

// Rules are the limits that a run is checked against.
type Rules struct {
	AnswerSlackMS      float64  `json:"answer_slack_ms"`
	DrainGraceMS       float64  `json:"drain_grace_ms"`
	OverloadMultiple   float64  `json:"fall_multiple"`
	OverloadMS         float64  `json:"fall_ms"`
	WarmupInitialRatio float64  `json:"cold_from"` // value in the coordinators' settings: the minimum of the engines' values
	WarmupMS           float64  `json:"cold_ms"`   // value in the coordinators' settings: the maximum of the engines' values
	OrderSettleMS      float64  `json:"order_settle_ms"`
	RetryRatio         *float64 `json:"repeat_ratio,omitempty"`
	SpareAttempts      float64  `json:"spare_attempts"`
	RetryWindowMS      float64  `json:"repeat_span_ms"`
}

// Objective gives the weights of the parts of the service figure and the prices that are subtracted from it.
type Objective struct {
	Service     float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	CrossZone   float64 `json:"cross_hall"`
	Waste       float64 `json:"waste"`
	Probe       float64 `json:"probe"`
	LateFail    float64 `json:"late_fail"`
	Handshake   float64 `json:"handshake"` // price of one new connection to an engine per first try
	Gossip      float64 `json:"peer"`      // price of 256 bytes of received datagrams per first try
}
