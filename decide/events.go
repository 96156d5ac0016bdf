package decide

// EndpointID identifies an endpoint. It has no further meaning.
type EndpointID uint64

// RequestID identifies a request. IDs are never reused.
type RequestID string

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// EndpointInfo is one entry of the endpoint list.
type EndpointInfo struct {
	ID        EndpointID
	Zone      int // index into Settings.ZoneNames
	Kind      int // index into Settings.Kinds
	Cell      int // a failure domain, and a scope of deduplication
	State     EndpointState
	StartedAt Millis // start time of the endpoint's process; 0: long ago
}

// UpdateKind says what the entries of an EndpointUpdate contain.
type UpdateKind int

// The kinds of endpoint updates.
const (
	UpdateIncremental UpdateKind = iota // the entries that changed
	UpdateSnapshot                      // the complete list
	UpdateCached                        // the complete list from a cache at the balancer's start, maybe stale
	UpdateFailed                        // no entries: discovery could not be read
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeError
	OutcomeOverloaded // the endpoint rejected the attempt for overload and did not run it
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeNotSent
	OutcomeAnswerLost // the attempt may have run; its answer was lost, but the endpoint accepts connections
)

// NeverRan reports whether an attempt with this outcome is known not to have run at its endpoint.
func (o Outcome) NeverRan() bool {
	return o == OutcomeOverloaded || o == OutcomeConnectFailed || o == OutcomeNotSent
}

// LoadReport is an endpoint's report of its load. A negative value means that the field is absent.
type LoadReport struct {
	InFlight    float64 // number of requests in flight
	Queue       float64 // number of queued requests
	Utilization float64 // ratio of busy cores to all cores
	Latency     float64 // latency of requests, ms
	Memory      float64 // ratio of granted memory to all memory
	Disk        float64 // ratio of busy disks to all disks
}

// EarlierRun is the first attempt under an idempotency key that may have run, whichever request it belonged
// to. It determines whether and where further attempts under that key may run.
type EarlierRun struct {
	StartedAt  Millis
	Zone, Cell int // zone and cell of the endpoint of that attempt
}

// Event is an input of Handle. The types below are the only events.
type Event interface{ event() }

type (
	// EndpointUpdate reports the endpoint list, or its changes, from discovery.
	EndpointUpdate struct {
		Kind    UpdateKind
		Entries []EndpointInfo
	}
	// RequestArrived is a new request. It must get exactly one final answer.
	RequestArrived struct {
		ID                RequestID
		Class             int    // index into Settings.Classes
		Tenant            int    // index into Settings.Tenants
		Group             uint64 // group of the tables that the query reads or writes; the unit of affinity
		Key               uint64 // order key, if HasKey
		HasKey            bool
		TimeLeft          Millis  // time until the client stops waiting
		EstimatedWork     float64 // ms on one core; 0: no estimate
		EstimatedMemoryMB float64 // 0: no estimate
		IsRetry           bool    // the client marked the request as a retry; not used in decisions
		EarlierRun        *EarlierRun
	}
	// AnswerBegan reports that the answer has begun to arrive. The simulator sends it; it has no effect.
	AnswerBegan struct {
		ID      RequestID
		Attempt int // number of the attempt among those of the request, from 0
	}
	// AttemptProgress reports progress of a running attempt.
	AttemptProgress struct {
		ID      RequestID
		Attempt int
		Kind    ProgressKind
		Value   float64
	}
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		ID             RequestID
		Attempt        int
		Endpoint       EndpointID
		Outcome        Outcome
		Latency        Millis
		RequestClosed  bool    // the request has its final answer
		ActualWork     float64 // ms on one core; 0: not reported
		ActualMemoryMB float64 // 0: not reported
		Load           *LoadReport
	}
	// ClientDisconnected reports that the client has disconnected. The request needs no answer any longer.
	ClientDisconnected struct{ ID RequestID }
	// TimerFired reports that the timer of a StartTimer has expired.
	TimerFired struct{ Token string }
	// ProbeEnded reports the outcome of a Probe.
	ProbeEnded struct {
		Endpoint EndpointID
		Outcome  Outcome
		Latency  Millis
		Load     *LoadReport
	}
	// GossipReceived delivers a message from another balancer.
	GossipReceived struct {
		From int // index of the sender
		Data []byte
	}
)

// ProgressKind is the kind of progress that an AttemptProgress reports.
type ProgressKind int

// The kinds of progress.
const (
	ProgressRatio   ProgressKind = 1 // Value: ratio of completed work to all work
	ProgressSpilled ProgressKind = 2 // Value: MB of memory that the query would have needed in addition
	ProgressWaiting ProgressKind = 3 // Value: 1 if the query waits for memory, 2 if for a lock on its group
	ProgressPage    ProgressKind = 4 // a page of the result has arrived; Value: unused
)

func (EndpointUpdate) event()     {}
func (RequestArrived) event()     {}
func (AnswerBegan) event()        {}
func (AttemptProgress) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeEnded) event()         {}
func (GossipReceived) event()     {}
