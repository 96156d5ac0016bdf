package lease

// KeepAliveRequest asks the leader to renew all leases of the client that sends it.
type KeepAliveRequest struct {
	Holder       Holder    `json:"holder"`
	SentAt       Millis    `json:"stamp"` // reading of the client's clock; the response returns it unchanged
	Capacity     float64   `json:"room"`  // relative capacity for jobs, above 0; usually 1
	Draining     bool      `json:"leaving,omitempty"`
	Jobs         []string  `json:"jobs"`               // jobs that the client can do; an older release may not know all
	Released     []GrantID `json:"released,omitempty"` // leases that the client has released; none has an active operation
	HigherFences []GrantID `json:"refused,omitempty"`  // highest accepted fences that targets have reported
}

// KeepAliveResponse is the answer to a keep-alive request. In a leader's response, the client has lost every job that
// Grants does not contain.
type KeepAliveResponse struct {
	Holder      Holder       `json:"holder"`
	SentAt      Millis       `json:"stamp"`            // copied from the request
	RedirectTo  string       `json:"leader,omitempty"` // replica to ask instead; empty: the response comes from the leader
	Grants      []Grant      `json:"grants,omitempty"`
	Assignments []Assignment `json:"owners,omitempty"`
	Error       string       `json:"error,omitempty"`
}

// Announcement tells the other replicas the name, the ID and the group of the replica that sends it.
type Announcement struct {
	Name      string `json:"name"`
	ReplicaID uint64 `json:"number"`  // ID drawn when the replica's disk was first used
	GroupID   uint64 `json:"council"` // consensus group of the replica; 0: none
}

// Operation names the operation that an AdminRequest asks for.
type Operation string

// Operations of an AdminRequest.
const (
	AdminStatus   Operation = "status"    // return the group's Status
	AdminHistory  Operation = "history"   // return the newest changes of leases
	AdminMove     Operation = "move"      // prefer Target as the holder of Job; an empty target clears the preference
	AdminStepDown Operation = "step-down" // transfer leadership to another replica
)

// AdminRequest is an operator's request to a replica.
type AdminRequest struct {
	ID        uint64    `json:"seq"` // number that the receiving replica gives the request
	Operation Operation `json:"op"`
	Job       string    `json:"job,omitempty"`  // used by AdminMove
	Target    string    `json:"name,omitempty"` // used by AdminMove: name of the client
}

// AdminResponse is the answer to an AdminRequest.
type AdminResponse struct {
	ID         uint64         `json:"seq"`              // ID of the request
	RedirectTo string         `json:"leader,omitempty"` // replica to ask instead
	Error      string         `json:"error,omitempty"`
	Status     *Status        `json:"status,omitempty"`
	History    []HistoryEntry `json:"history,omitempty"`
}

// HistoryEntry describes one committed change of a lease.
type HistoryEntry struct {
	Index  uint64 `json:"index"` // index of the command in the replicated log
	Job    string `json:"job"`
	Fence  Fence  `json:"fence"`
	Holder string `json:"who,omitempty"` // name and incarnation; for a preference, the name of the preferred client
	Event  string `json:"what"`          // kind of the replicated command
	Reason Reason `json:"why,omitempty"`
}

// Status describes the consensus group as one replica sees it.
type Status struct {
	Replica    string         `json:"seat"`
	Leader     string         `json:"leader"` // name of the leader; empty: unknown
	Term       uint64         `json:"term"`
	GroupID    string         `json:"council"` // 16 hexadecimal digits
	Generation uint64         `json:"generation"`
	Replicas   []string       `json:"seats"` // names of the group's members
	Jobs       []JobStatus    `json:"jobs"`
	Clients    []ClientStatus `json:"members,omitempty"` // only a leader sets it
}

// JobStatus describes the lease on one job.
type JobStatus struct {
	Job       string `json:"job"`
	Fence     Fence  `json:"fence"`
	Holder    string `json:"owner"`            // name and incarnation; empty: the job is free
	Preferred string `json:"wanted,omitempty"` // client that an operator prefers as holder; empty: none
	// AgeMS is the time in milliseconds since the lease was last renewed; only a leader sets it.
	AgeMS float64 `json:"age_ms"`
}

// ClientStatus describes one lease client that the leader knows.
type ClientStatus struct {
	Name     string  `json:"name"`
	AgeMS    float64 `json:"age_ms"` // milliseconds since the client's newest keep-alive request
	Capacity float64 `json:"room"`
	Draining bool    `json:"leaving,omitempty"`
	HeldDown bool    `json:"held_down,omitempty"` // gets no new lease for a while because it has let leases expire
}
