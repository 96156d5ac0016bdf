package decide

// AllPeers is the value of SendGossip.To that addresses every other balancer.
const AllPeers = -1

// Action is an operation that the caller of Handle must carry out. The types below are the only actions.
type Action interface{ action() }

type (
	// StartAttempt starts the request's next attempt at an endpoint.
	StartAttempt struct {
		ID       RequestID
		Endpoint EndpointID
		Timeout  Millis
		// StartBefore is the latest time at which the caller may write the first byte. After it the
		// attempt must not be sent, because endpoints may no longer deduplicate it. 0: no limit.
		StartBefore Millis
	}
	// CancelAttempt cancels an attempt: the caller ends the call to the endpoint, so that the query stops.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// Reject gives the request its final answer, a rejection. The client may safely retry.
	Reject struct {
		ID         RequestID
		RetryAfter Millis // time after which the client may retry; 0: not specified
	}
	// Fail gives the request its final answer, a failure. The request may have run: a retry may not be safe.
	Fail struct{ ID RequestID }
	// SetAttemptResources sets the memory grant and the priority of the request's attempts.
	SetAttemptResources struct {
		ID       RequestID
		GrantMB  float64 // 0: no grant is requested
		Priority int     // from 0, the lowest, to 3
	}
	// StartTimer requests a TimerFired event with the same token after the given time.
	StartTimer struct {
		After Millis
		Token string
	}
	// Probe requests a load report from an endpoint.
	Probe struct{ Endpoint EndpointID }
	// SendGossip sends a message to another balancer, or to AllPeers.
	SendGossip struct {
		To   int // index of the receiver, or AllPeers
		Data []byte
	}
	// Log writes a log line for operators.
	Log struct {
		Message  LogMessage
		Endpoint EndpointID
		Reason   EjectionReason // set for LogEndpointEjected only
	}
	// Subscribe requests a subscription to updates of the endpoint list.
	Subscribe struct{}
)

// LogMessage is the event that a Log reports.
type LogMessage int

// The log messages.
const (
	LogEndpointEjected LogMessage = iota
	LogEndpointRestored
)

// EjectionReason is the reason for which an endpoint was ejected.
type EjectionReason int

// The reasons for an ejection. The first two count as proof that the endpoint's process is down.
const (
	EjectedConnectFailed EjectionReason = iota
	EjectedDomainUnreachable
	EjectedErrors
	EjectedTrialFailed
	EjectedUnresponsive
	EjectedProbeTimeout
)

// String returns the text of the reason in log lines.
func (r EjectionReason) String() string {
	return [...]string{
		"connections failed", "failure domain unreachable", "consecutive errors",
		"trial unanswered", "unresponsive", "probe timed out",
	}[r]
}

func (StartAttempt) action()        {}
func (CancelAttempt) action()       {}
func (Reject) action()              {}
func (Fail) action()                {}
func (SetAttemptResources) action() {}
func (StartTimer) action()          {}
func (Probe) action()               {}
func (SendGossip) action()          {}
func (Log) action()                 {}
func (Subscribe) action()           {}

// outbox collects, in order, the actions for the event that is being handled.
type outbox struct{ actions []Action }

func (o *outbox) add(a Action) { o.actions = append(o.actions, a) }
