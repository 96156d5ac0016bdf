package lease

import "slices"

// EventKind is the kind of an event and the message of its log line.
type EventKind string

// Events of a client.
const (
	EventGranted EventKind = "lease granted"
	EventLost    EventKind = "lease lost"
)

// Reason says why a lease was lost, released or moved. Reasons are stored in the replicated log and shown to operators,
// so their texts must not change.
type Reason string

// Reasons why a client loses a lease (EventLost).
const (
	reasonRevoked     Reason = "granted to another holder"
	reasonExpired     Reason = "expired"
	reasonReleased    Reason = "released"
	reasonHigherFence Reason = "its target has accepted a later fence"
)

// Event is a change of one of the client's leases.
type Event struct {
	GrantID
	Kind      EventKind
	Holder    string // this client's name and incarnation
	Reason    Reason // set for EventLost
	ExpiresAt Millis // set for EventGranted
}

// heldLease is the holder's own state of a granted lease.
type heldLease struct {
	fence            Fence  // fencing token of the grant
	expiresAt        Millis // by this client's clock
	releaseRequested bool   // the leader has asked this client to release the lease: no new operation begins
	activeOperations int    // number of operations between Begin and End
}

// Client holds the leases of one coordinator and tracks who holds the other jobs. It is not safe for concurrent use.
// All times are readings of the coordinator's monotonic clock.
type Client struct {
	self                 Holder                // name and incarnation of this client
	jobs                 []string              // jobs that this client can do
	driftBound           float64               // upper bound on how far the rate of a clock differs from 1
	capacity             float64               // relative capacity for jobs, usually 1
	draining             bool                  // Drain was called: no new operation begins
	heldLeases           map[string]*heldLease // by job
	assignments          map[string]Assignment // newest assignment seen, by job
	releasedGrants       []GrantID             // released leases, kept until a response no longer grants them
	higherFences         map[string]Fence      // highest fence that a target has reported, by job
	newestResponseSentAt Millis                // send time of the request that the newest response answers, or noTime
	pendingEvents        []Event
}

// NewClient returns a client for the named jobs. The capacity is relative, usually 1; driftBound is the upper bound on
// how far the rate of a clock differs from 1.
func NewClient(self Holder, jobs []string, capacity, driftBound float64) *Client {
	return &Client{
		self: self, jobs: jobs, capacity: capacity, driftBound: driftBound, newestResponseSentAt: noTime,
		heldLeases: map[string]*heldLease{}, assignments: map[string]Assignment{}, higherFences: map[string]Fence{},
	}
}

// Self identifies this client.
func (c *Client) Self() Holder { return c.self }

// KeepAlive returns the request that renews all leases.
func (c *Client) KeepAlive(now Millis) KeepAliveRequest {
	c.expire(now)
	request := KeepAliveRequest{Holder: c.self, SentAt: now, Capacity: c.capacity, Draining: c.draining, Jobs: c.jobs, Released: slices.Clone(c.releasedGrants)}
	for _, job := range c.jobs {
		if fence := c.higherFences[job]; fence > 0 {
			request.HigherFences = append(request.HigherFences, GrantID{job, fence})
		}
	}
	return request
}

// HandleResponse renews, adds and drops leases according to a response. It ignores redirects, errors, responses to
// another incarnation and responses older than the newest one.
func (c *Client) HandleResponse(now Millis, response KeepAliveResponse) {
	if response.Holder != c.self || response.SentAt < c.newestResponseSentAt || response.SentAt > now ||
		response.RedirectTo != "" || response.Error != "" {
		return
	}
	c.newestResponseSentAt = response.SentAt
	for _, a := range response.Assignments {
		if a.Fence >= c.assignments[a.Job].Fence {
			c.assignments[a.Job] = a
		}
	}
	for _, grant := range response.Grants {
		c.renew(now, response.SentAt, grant)
	}
	c.dropRevoked(response.Grants)
	c.releasedGrants = slices.DeleteFunc(c.releasedGrants, func(id GrantID) bool { return !containsGrant(response.Grants, id) })
	c.expire(now)
}

// renew extends a lease or adds a new one. The lease counts from when the request was sent, which is before the leader
// received it. A response that was in flight when a target refused the fence does not restore the lease: the target
// would refuse all further operations too.
func (c *Client) renew(now, sentAt Millis, grant Grant) {
	if slices.Contains(c.releasedGrants, grant.GrantID) {
		return // the response was sent before the leader knew of the release
	}
	if grant.Fence <= c.higherFences[grant.Job] {
		return // the response was sent before the leader knew of the refusal
	}
	expiresAt := sentAt + c.localTTL(grant.TTL)
	ownLease := c.heldLeases[grant.Job]
	switch {
	case ownLease == nil || ownLease.fence < grant.Fence:
		if expiresAt <= now || grant.Fence < c.assignments[grant.Job].Fence {
			return
		}
		c.heldLeases[grant.Job] = &heldLease{fence: grant.Fence, expiresAt: expiresAt, releaseRequested: grant.Reclaim}
		c.emit(Event{Kind: EventGranted, GrantID: grant.GrantID, ExpiresAt: expiresAt})
	case ownLease.fence == grant.Fence:
		ownLease.expiresAt, ownLease.releaseRequested = max(ownLease.expiresAt, expiresAt), ownLease.releaseRequested || grant.Reclaim
	}
}

// localTTL returns how long a lease lasts by this clock in the worst case: this clock is slow and the leader's is fast.
func (c *Client) localTTL(ttl Millis) Millis { return ttl * (1 - c.driftBound) / (1 + c.driftBound) }

func (c *Client) dropRevoked(grants []Grant) {
	for _, job := range c.jobs {
		ownLease := c.heldLeases[job]
		if ownLease != nil && !slices.ContainsFunc(grants, func(g Grant) bool { return g.Job == job }) {
			c.dropLease(job, ownLease, reasonRevoked)
		}
	}
}

func containsGrant(grants []Grant, id GrantID) bool {
	return slices.ContainsFunc(grants, func(g Grant) bool { return g.GrantID == id })
}

// Begin reports whether an operation of the job may begin, and under which fence. It only avoids operations that the
// target would refuse; the fence check at the target is what excludes a late holder. Each Begin that succeeds needs an
// End.
func (c *Client) Begin(now Millis, job string) (Fence, bool) {
	c.expire(now)
	ownLease := c.heldLeases[job]
	if ownLease == nil || ownLease.releaseRequested || c.draining {
		return 0, false
	}
	ownLease.activeOperations++
	return ownLease.fence, true
}

// End marks an operation that Begin has allowed as finished.
func (c *Client) End(now Millis, job string, fence Fence) {
	if ownLease := c.heldLeases[job]; ownLease != nil && ownLease.fence == fence {
		ownLease.activeOperations--
	}
	c.expire(now)
}

// ObserveHigherFence handles the refusal of an operation by its target, which has accepted a later fence, or the same
// fence from another holder. It drops the lease and reports the fence to the leader, so that the next grant is above
// it. A refused operation of an earlier grant is ignored if the accepted later fence is this client's own.
func (c *Client) ObserveHigherFence(job string, refusal StaleFenceError) {
	ownLease := c.heldLeases[job]
	if ownLease != nil && ownLease.fence == refusal.Highest && refusal.Fence < refusal.Highest {
		return
	}
	c.higherFences[job] = max(c.higherFences[job], refusal.Highest)
	if ownLease != nil && ownLease.fence <= refusal.Highest {
		c.dropLease(job, ownLease, reasonHigherFence)
	}
}

// Drain releases every lease once its active operations have ended. No new operation begins afterwards.
func (c *Client) Drain(now Millis) {
	c.draining = true
	c.expire(now)
}

// Idle reports whether no lease is held and the leader knows of all releases.
func (c *Client) Idle() bool { return len(c.heldLeases) == 0 && len(c.releasedGrants) == 0 }

// Held reports whether this client holds the job, and under which fence. It is for display: use Begin before an
// operation.
func (c *Client) Held(now Millis, job string) (Fence, bool) {
	c.expire(now)
	if ownLease := c.heldLeases[job]; ownLease != nil {
		return ownLease.fence, true
	}
	return 0, false
}

// LatestAssignment returns the newest assignment of the job that this client has seen.
func (c *Client) LatestAssignment(job string) Assignment { return c.assignments[job] }

// ObserveAssignment decides whether to follow data that the holder of a job publishes. It returns false if a later
// grant was seen, or the same grant with another holder name. The caller must store an assignment durably before it
// acts on it.
func (c *Client) ObserveAssignment(a Assignment) bool {
	latest := c.assignments[a.Job]
	if a.Fence < latest.Fence || a.Fence == latest.Fence && latest.HolderName != "" && a.HolderName != latest.HolderName {
		return false
	}
	c.assignments[a.Job] = a
	return true
}

// TakeEvents returns the events since the last call of TakeEvents.
func (c *Client) TakeEvents() []Event {
	events := c.pendingEvents
	c.pendingEvents = nil
	return events
}

// expire drops leases that have expired. It releases leases that the leader reclaims, and all leases while draining,
// once they have no active operation.
func (c *Client) expire(now Millis) {
	for _, job := range c.jobs {
		ownLease := c.heldLeases[job]
		switch {
		case ownLease == nil:
		case now >= ownLease.expiresAt:
			c.dropLease(job, ownLease, reasonExpired)
		case (ownLease.releaseRequested || c.draining) && ownLease.activeOperations == 0:
			c.releasedGrants = append(c.releasedGrants, GrantID{job, ownLease.fence})
			c.dropLease(job, ownLease, reasonReleased)
		}
	}
}

func (c *Client) dropLease(job string, ownLease *heldLease, reason Reason) {
	delete(c.heldLeases, job)
	c.emit(Event{Kind: EventLost, GrantID: GrantID{job, ownLease.fence}, Reason: reason})
}

func (c *Client) emit(e Event) {
	e.Holder = c.self.String()
	c.pendingEvents = append(c.pendingEvents, e)
}
