package decide

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	IdempotentAlways Idempotency = iota // attempts may be repeated at any endpoint
	IdempotentByKey                     // endpoints deduplicate by key within a scope, for a while
	NotIdempotent                       // no further attempt after one that may have run
)

// DedupScope is the set of endpoints that deduplicate a request, relative to the endpoint of its first
// attempt.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all endpoints
	DedupZone                    // the endpoints in the same zone
	DedupCell                    // the endpoints in the same cell
)

// MemoryExhaustion says what an endpoint does when grants exceed its memory.
type MemoryExhaustion int

// The ways to deal with exhausted memory.
const (
	MemoryExhaustionQueues      MemoryExhaustion = iota // the query waits in the endpoint's queue
	MemoryExhaustionSpills                              // the query gets the free memory and spills to disk
	MemoryExhaustionOvercommits                         // all queries are admitted and slow down
)

// Class holds the rules and objectives of a class of requests.
type Class struct {
	Name             string  // for the caller; not used in decisions
	LatencyObjective Millis  // latency up to which an answer earns the complete weight
	ObjectivePerWork float64 // added to the objective per ms of work divided by threads
	Deadline         Millis
	PriorityWeight   float64 // weight that an answer within the objective earns
	LateWeightRatio  float64 // ratio of PriorityWeight that an answer after the objective earns
	Threads          int     // threads of one query
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Millis // time from the first attempt under a key for which endpoints deduplicate the key
	OrderedByKey     bool   // requests with the same order key run one at a time
	Zones, Kinds     []int  // indexes of the zones and endpoint kinds in which the class may run; nil: all
	LocksGroup       bool   // a query of the class holds a lock on its group while it runs
	WaitsForLocks    bool   // a query of the class waits while its group is locked; not used in decisions
}

// Tenant holds the quota and the weight of a tenant.
type Tenant struct {
	QuotaPerSecond float64 // requests per second over all balancers; 0: no quota
	WeightShare    float64 // not used in decisions: the quota decides
}

// EndpointKind holds the resources of each endpoint of a kind.
type EndpointKind struct {
	Cores    float64
	MemoryMB float64 // 0: memory is unlimited
}

// Rules are the parameters of the operators' rules.
type Rules struct {
	// AnswerSlack is the time for a final answer after the deadline. It is not used: answers are given before
	// the deadline.
	AnswerSlack Millis
	// An endpoint is warming up for SlowStartDuration after its start. During that time it has at least
	// SlowStartCapacityRatio of its full capacity, and it collapses if the work that it gets within
	// OverloadWindow reaches OverloadRatio times its capacity at that time.
	SlowStartCapacityRatio float64
	SlowStartDuration      Millis
	OverloadRatio          float64
	OverloadWindow         Millis
	DrainGrace             Millis // not used: no new request is sent once a drain is announced
	SubscribeInterval      Millis // longest time without a subscription to the endpoint list
	// KeyOrderDelay is the time for which an order key stays blocked after the end of an attempt that may
	// still be running at its endpoint.
	KeyOrderDelay Millis
	// The retry budget allows RetryBudgetMin retries, plus RetryBudgetRatio of the requests, within
	// RetryBudgetWindow.
	RetryBudgetEnabled bool
	RetryBudgetMin     float64
	RetryBudgetRatio   float64
	RetryBudgetWindow  Millis
}

// Settings are the settings of a Balancer, fixed at its start.
type Settings struct {
	Balancers     int // number of balancers that share the endpoints
	BalancerIndex int // index of this balancer, from 0
	Classes       []Class
	Tenants       []Tenant
	Kinds         []EndpointKind
	Rules         Rules
	TickInterval  Millis // unit of the housekeeping period
	MaxAttempts   int    // attempts of one request, including the first

	CancellationEnabled bool // attempts may be cancelled
	// ConcurrentAttemptsEnabled allows two attempts of a request at a time. The balancer doesn't use it: it
	// starts no attempt while another is in flight.
	ConcurrentAttemptsEnabled bool
	ProbesEnabled             bool
	LoadReportsEnabled        bool // answers or probes bring load reports
	GossipEnabled             bool
	SubscriptionRequired      bool // the endpoint list is sent only to subscribers
	MemoryGrantsEnabled       bool // endpoints obey a requested grant
	PrioritiesEnabled         bool // endpoints obey a requested priority
	ActualCostReported        bool // answers report actual work and memory

	// ProbeCost is the cost of one probe per request, as a ratio of the complete result.
	ProbeCost float64
	// GossipCost is the cost of one full message to one balancer per request, as a ratio of the complete
	// result.
	GossipCost           float64
	MaxRetryAfter        Millis           // longest Retry-After that clients obey, for rejections; 0: none
	ProgressInterval     Millis           // time between progress notices of a running query; 0: no notices
	MemoryExhaustion     MemoryExhaustion // not used: memory in flight is bounded in any case
	MaxGrantRatio        float64          // largest grant, as a ratio of an endpoint's memory
	OverQuotaWeightRatio float64          // ratio of its weight that a request over its tenant's quota earns

	KindNames             []string // names of the kinds, by index
	ZoneNames             []string // names of the zones, by index
	Zone                  int      // index of this balancer's zone
	ConnectTimeout        Millis   // longest time to open a connection to an endpoint
	IdleConnectionTimeout Millis   // idle time after which endpoints close connections
	MaxInFlight           int      // largest number of attempts in flight at this balancer; 0: unlimited
	MaxOpenRequests       int      // largest number of open requests at this balancer; 0: unlimited
	LoadReportFields      []string // names of the fields in load reports; for the caller
}
