package lease

import "slices"

// EventKind names an event; it is the message of the event's log line.
type EventKind string

// Events of a client.
const (
	EventGranted EventKind = "lease granted"
	EventLost    EventKind = "lease lost"
)

// Reason says why a lease was lost, released or moved. It is stored and shown: the texts stay.
type Reason string

// Reasons of EventLost.
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
	Holder    string // the client, with its incarnation
	Reason    Reason // of EventLost
	ExpiresAt Millis // of EventGranted
}

// heldLease is a grant as its holder counts it.
type heldLease struct {
	fence            Fence
	expiresAt        Millis
	reclaimed        bool // the leader has asked for it: no new operation begins
	activeOperations int
}

// Client holds the leases of one coordinator and observes who holds the others. It is not safe for concurrent use. All
// times are by the coordinator's monotonic clock.
type Client struct {
	self             Holder
	jobs             []string
	driftBound       float64
	capacity         float64
	draining         bool
	held             map[string]*heldLease
	assignments      map[string]Assignment // the newest seen, by job
	released         []GrantID             // given back, until a response shows that the leader knows
	higherFences     map[string]Fence      // highest fence that a target has reported, by job
	newestResponseTo Millis                // send time of the request that the newest response answers; below 0: none
	events           []Event
}

// NewClient returns a client for the named jobs. The capacity is relative, usually 1; driftBound is the upper bound on
// how far the rate of a clock differs from 1.
func NewClient(self Holder, jobs []string, capacity, driftBound float64) *Client {
	return &Client{
		self: self, jobs: jobs, capacity: capacity, driftBound: driftBound, newestResponseTo: unset,
		held: map[string]*heldLease{}, assignments: map[string]Assignment{}, higherFences: map[string]Fence{},
	}
}

// Self identifies this client.
func (c *Client) Self() Holder { return c.self }

// KeepAlive returns the request that renews all leases.
func (c *Client) KeepAlive(now Millis) KeepAliveRequest {
	c.expire(now)
	request := KeepAliveRequest{Holder: c.self, SentAt: now, Capacity: c.capacity, Draining: c.draining, Jobs: c.jobs, Released: slices.Clone(c.released)}
	for _, job := range c.jobs {
		if fence := c.higherFences[job]; fence > 0 {
			request.HigherFences = append(request.HigherFences, GrantID{job, fence})
		}
	}
	return request
}

// HandleResponse renews, takes and drops leases as a response says. Redirects, errors, responses to another incarnation
// and responses older than the newest one are ignored.
func (c *Client) HandleResponse(now Millis, response KeepAliveResponse) {
	if response.Holder != c.self || response.SentAt < c.newestResponseTo || response.SentAt > now ||
		response.RedirectTo != "" || response.Error != "" {
		return
	}
	c.newestResponseTo = response.SentAt
	for _, a := range response.Assignments {
		if a.Fence >= c.assignments[a.Job].Fence {
			c.assignments[a.Job] = a
		}
	}
	for _, grant := range response.Grants {
		c.renew(now, response.SentAt, grant)
	}
	c.dropRevoked(response.Grants)
	c.released = slices.DeleteFunc(c.released, func(id GrantID) bool { return !containsGrant(response.Grants, id) })
	c.expire(now)
}

// renew extends a lease, or takes one that is new. The lease counts from when the request was sent, which is before the
// leader received it. A response that was on its way when a target refused the fence brings nothing back: the target would
// refuse all further operations too.
func (c *Client) renew(now, sentAt Millis, grant Grant) {
	if slices.Contains(c.released, grant.GrantID) {
		return // the response was sent before the leader knew of the release
	}
	if grant.Fence <= c.higherFences[grant.Job] {
		return // the response was sent before the leader knew of the refusal
	}
	expiresAt := sentAt + c.localTTL(grant.TTL)
	held := c.held[grant.Job]
	switch {
	case held == nil || held.fence < grant.Fence:
		if expiresAt <= now || grant.Fence < c.assignments[grant.Job].Fence {
			return
		}
		c.held[grant.Job] = &heldLease{fence: grant.Fence, expiresAt: expiresAt, reclaimed: grant.Reclaim}
		c.emit(Event{Kind: EventGranted, GrantID: grant.GrantID, ExpiresAt: expiresAt})
	case held.fence == grant.Fence:
		held.expiresAt, held.reclaimed = max(held.expiresAt, expiresAt), held.reclaimed || grant.Reclaim
	}
}

// localTTL is how long a lease lasts by this clock in the worst case: this clock slow and the leader's fast.
func (c *Client) localTTL(ttl Millis) Millis { return ttl * (1 - c.driftBound) / (1 + c.driftBound) }

func (c *Client) dropRevoked(grants []Grant) {
	for _, job := range c.jobs {
		held := c.held[job]
		if held != nil && !slices.ContainsFunc(grants, func(g Grant) bool { return g.Job == job }) {
			c.lose(job, held, reasonRevoked)
		}
	}
}

func containsGrant(grants []Grant, id GrantID) bool {
	return slices.ContainsFunc(grants, func(g Grant) bool { return g.GrantID == id })
}

// Begin reports whether an operation of the job may begin, and under which fence. It only saves operations that would be
// refused: the check of the fence at the target is what excludes a late holder. Each Begin that succeeds needs an End.
func (c *Client) Begin(now Millis, job string) (Fence, bool) {
	c.expire(now)
	held := c.held[job]
	if held == nil || held.reclaimed || c.draining {
		return 0, false
	}
	held.activeOperations++
	return held.fence, true
}

// End ends an operation that Begin has begun.
func (c *Client) End(now Millis, job string, fence Fence) {
	if held := c.held[job]; held != nil && held.fence == fence {
		held.activeOperations--
	}
	c.expire(now)
}

// ObserveHigherFence drops a lease whose target has seen a later fence, or the same from another holder, and has the
// leader pass that fence. A refused operation of an earlier grant says nothing where this client holds the later one.
func (c *Client) ObserveHigherFence(job string, refusal StaleFenceError) {
	held := c.held[job]
	if held != nil && held.fence == refusal.Highest && refusal.Fence < refusal.Highest {
		return
	}
	c.higherFences[job] = max(c.higherFences[job], refusal.Highest)
	if held != nil && held.fence <= refusal.Highest {
		c.lose(job, held, reasonHigherFence)
	}
}

// Drain gives back every lease once its active operations have ended, and takes no more.
func (c *Client) Drain(now Millis) {
	c.draining = true
	c.expire(now)
}

// Idle reports whether no lease is held and the leader knows of all releases.
func (c *Client) Idle() bool { return len(c.held) == 0 && len(c.released) == 0 }

// Held reports whether the job is held, and under which fence. It is for display: use Begin before an operation.
func (c *Client) Held(now Millis, job string) (Fence, bool) {
	c.expire(now)
	if held := c.held[job]; held != nil {
		return held.fence, true
	}
	return 0, false
}

// LatestAssignment is the newest assignment of the job that this client has seen.
func (c *Client) LatestAssignment(job string) Assignment { return c.assignments[job] }

// ObserveAssignment decides whether to follow what the holder of a job publishes: not if a later grant was seen, nor the
// same grant under another name. The caller must store an assignment durably before it acts on it.
func (c *Client) ObserveAssignment(a Assignment) bool {
	latest := c.assignments[a.Job]
	if a.Fence < latest.Fence || a.Fence == latest.Fence && latest.HolderName != "" && a.HolderName != latest.HolderName {
		return false
	}
	c.assignments[a.Job] = a
	return true
}

// TakeEvents returns the events since the last call.
func (c *Client) TakeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

// expire drops leases that have run out, and gives back those that are reclaimed once no operation is active.
func (c *Client) expire(now Millis) {
	for _, job := range c.jobs {
		held := c.held[job]
		switch {
		case held == nil:
		case now >= held.expiresAt:
			c.lose(job, held, reasonExpired)
		case (held.reclaimed || c.draining) && held.activeOperations == 0:
			c.released = append(c.released, GrantID{job, held.fence})
			c.lose(job, held, reasonReleased)
		}
	}
}

func (c *Client) lose(job string, held *heldLease, reason Reason) {
	delete(c.held, job)
	c.emit(Event{Kind: EventLost, GrantID: GrantID{job, held.fence}, Reason: reason})
}

func (c *Client) emit(e Event) {
	e.Holder = c.self.String()
	c.events = append(c.events, e)
}
