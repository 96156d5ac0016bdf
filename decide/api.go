// Package decide makes the decisions of one gateway in front of query engines
// with limited memory: which engine a query goes to, when it waits, when it is
// tried again and when it is given up. This file is the interface and holds
// types only; every decision is in decide.go.
package decide

// Millis is a time or a span on the caller's clock, in milliseconds.
type Millis = float64

// EngineID names an engine; it tells nothing else about it.
type EngineID uint64

// RequestID names a request; an id is never used twice.
type RequestID string

// Repeat says how safe a class is to run more than once.
type Repeat int

const (
	RepeatSafe  Repeat = iota // any attempt may be repeated anywhere
	RepeatKeyed               // repeats are dropped within a scope, for a while
	RepeatOnce                // never again once an attempt may have run
)

// Scope is the set of engines that drop repeats of a keyed request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// MemoryShort says what an engine does when grants pass its memory.
type MemoryShort int

const (
	MemoryQueues     MemoryShort = iota // the query waits in the engine's line
	MemoryCuts                          // the query gets what is left, and spills
	MemoryOvercommit                    // all are let in, and all slow down
)

// Class describes one class of requests.
type Class struct {
	Name          string // for those who carry requests; decides nothing
	Aim, Deadline Millis
	AimStretch    float64 // the aim grows by this times work over threads
	Worth         float64
	LateWorth     float64 // part of the worth that a late answer earns
	Threads       int
	Repeat        Repeat
	Scope         Scope
	RepeatWindow  Millis
	InOrder       bool  // requests of one key run one at a time
	Zones, Kinds  []int // nil: anywhere
	Loads, Waits  bool  // holds its group while it runs; stands still behind loads
}

// Tenant describes one tenant's share.
type Tenant struct {
	PerSecond float64 // within its share, over all gateways; 0: not told
	Share     float64
}

// Kind describes one kind of machine.
type Kind struct {
	Cores    float64
	MemoryMB float64
}

// Rules are the figures of the rules that bind a gateway.
type Rules struct {
	AnswerSlack  Millis
	ColdFrom     float64
	ColdFor      Millis
	FallMultiple float64
	FallSpan     Millis
	DrainGrace   Millis
	AskWithin    Millis
	OrderSettle  Millis
	Rationed     bool
	RetryFree    float64
	RetryShare   float64
	RetrySpan    Millis
}

// Settings are what a gateway is told at its start.
type Settings struct {
	Gateways       int
	Self           int
	Classes        []Class
	Tenants        []Tenant
	Kinds          []Kind
	Rules          Rules
	Tick           Millis
	MaxAttempts    int
	MayCancel      bool
	MayDuplicate   bool // two attempts of a request may be out at a time; the module itself sends none beside another
	MayProbe       bool
	Reports        bool // answers or probes bring reports of load
	MayTell        bool
	ProbePrice     float64 // of the whole result, for one probe a request
	TellPrice      float64 // of the whole result, for one full message a request to one gateway
	MaxComeBack    Millis  // the longest that clients heed after a refusal; 0: none may be told
	MustAsk        bool    // the list comes only to those who ask
	GrantsHeeded   bool
	PriorityHeeded bool
	CostTold       bool
	ProgressEvery  Millis // 0: no notes
	MemoryShort    MemoryShort
	MostGrant      float64
	OverShareWorth float64
	KindNames      []string // by their place
	Zones          []string // names, by their place; Zone is this gateway's own
	Zone           int
	ConnectTimeout Millis   // a connection that takes longer has failed
	ConnIdle       Millis   // engines close connections idle for so long
	MostOut        int      // attempts that the gateway can carry at a time; 0: no bound
	MaxOpen        int      // the requests that a gateway may have open; 0: not told
	ReportFields   []string // the names in a report of load
}

// EngineState is what the list says of an engine.
type EngineState int

const (
	EngineGone EngineState = iota
	EngineReady
	EngineDraining
)

// EngineEntry is one line of a list.
type EngineEntry struct {
	ID      EngineID
	Zone    int
	Kind    int
	Cell    int
	State   EngineState
	Started Millis // 0: long ago
}

// ListKind is how a list is to be read.
type ListKind int

const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Outcome is how an attempt ended.
type Outcome int

const (
	OutcomeServed Outcome = iota
	OutcomeError
	OutcomeFull
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeNotSent
	OutcomeLost // it may have run; the answer was lost on the way, and the engine takes further connections
)

// Load is an engine's report of its load; a negative value is absent.
type Load struct {
	InFlight, Queue, Util, Latency, Memory, Disk float64
}

// Belief is what a gateway holds true of one engine, for those who compare it with
// what really passes.
type Belief struct {
	ID        EngineID
	Ready     bool    // the list allows new work
	LeftOut   bool    // out of rotation but for trials
	Down      bool    // for proof that its process is gone
	Cold      bool    // may not yet do its full work
	Out       int     // attempts without an outcome
	Strain    float64 // log of latency over its best
	Report    Load    // the last, with what was sent since
	ReportAge Millis  // below 0: there is none
}

// EarlierRun is the first attempt under a key that may have run: when it began, on the caller's clock,
// and where. What may follow under that key hangs on it, whichever request it was of.
type EarlierRun struct {
	At         Millis
	Zone, Cell int
}

// Event is something that happened; see the types below.
type Event interface{ event() }

type (
	// ListChanged brings discovery's view of the engines.
	ListChanged struct {
		Kind    ListKind
		Entries []EngineEntry
	}
	// Arrived is a new request; exactly one final answer is owed for it.
	Arrived struct {
		ID       RequestID
		Class    int
		Tenant   int
		Group    uint64
		Key      uint64
		HasKey   bool
		Left     Millis  // until the client gives up
		Cost     float64 // estimated work of all threads, ms; 0: none
		MemoryMB float64 // estimated; 0: none
		Retry    bool
		Ran      *EarlierRun // under its key, of another request; nil: none that is known of
	}
	// AnswerStarted tells that a stream has begun.
	AnswerStarted struct {
		ID      RequestID
		Attempt int
	}
	// Progress is word of a running attempt.
	Progress struct {
		ID      RequestID
		Attempt int
		Kind    ProgressKind
		Value   float64
	}
	// AttemptEnded ends one attempt.
	AttemptEnded struct {
		ID       RequestID
		Attempt  int
		Engine   EngineID
		Outcome  Outcome
		Latency  Millis
		Closed   bool    // the request is over
		Work     float64 // told true work, ms; 0: not told
		MemoryMB float64
		Load     *Load
	}
	// ClientGone ends a request without an answer owed.
	ClientGone struct{ ID RequestID }
	// TimerFired answers a WakeAfter.
	TimerFired struct{ Token string }
	// ProbeEnded answers a Probe.
	ProbeEnded struct {
		Engine  EngineID
		Outcome Outcome
		Latency Millis
		Load    *Load
	}
	// PeerHeard brings a message from another gateway.
	PeerHeard struct {
		From int
		Data []byte
	}
)

// ProgressKind is what a Progress tells.
type ProgressKind int

const (
	ProgressShare  ProgressKind = 1 // Value: share done
	ProgressSpills ProgressKind = 2 // Value: MB missing
	ProgressWaits  ProgressKind = 3 // Value: 1 for memory, 2 for a load
	ProgressPages  ProgressKind = 4 // a part of its result has come; Value: nothing
)

func (ListChanged) event()   {}
func (Arrived) event()       {}
func (AnswerStarted) event() {}
func (Progress) event()      {}
func (AttemptEnded) event()  {}
func (ClientGone) event()    {}
func (TimerFired) event()    {}
func (ProbeEnded) event()    {}
func (PeerHeard) event()     {}

// Everyone is the receiver of a Tell that goes to every other gateway.
const Everyone = -1

// Action is something the caller is asked to do; see the types below.
type Action interface{ action() }

type (
	// Send starts the request's next attempt.
	Send struct {
		ID      RequestID
		Engine  EngineID
		Timeout Millis
		// Before is when, on the caller's clock, its first byte must have gone, or it is not sent:
		// after that the engines may no longer drop it as a repeat. 0: any time.
		Before Millis
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Refuse is a final answer: trying again is harmless.
	Refuse struct {
		ID       RequestID
		ComeBack Millis
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }
	// SetTerms names memory and priority of the request's attempts.
	SetTerms struct {
		ID       RequestID
		GrantMB  float64
		Priority int
	}
	// WakeAfter asks for a TimerFired.
	WakeAfter struct {
		After Millis
		Token string
	}
	// Probe examines an engine.
	Probe struct{ Engine EngineID }
	// Tell sends a message to another gateway, or to Everyone else.
	Tell struct {
		To   int
		Data []byte
	}
	// Log is a line for on-call staff.
	Log struct{ Text string }
	// Subscribe asks for changes of the list.
	Subscribe struct{}
	// FetchList asks for the whole list once.
	FetchList struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTerms) action()  {}
func (WakeAfter) action() {}
func (Probe) action()     {}
func (Tell) action()      {}
func (Log) action()       {}
func (Subscribe) action() {}
func (FetchList) action() {}
