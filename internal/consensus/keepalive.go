package consensus

import (
	"fmt"
	"slices"
	"strconv"

	"aniseloft/internal/lease"
)

// pendingKeepAlive is a keep-alive request that waits for this replica to confirm that it still leads.
type pendingKeepAlive struct {
	request    lease.KeepAliveRequest
	receivedAt lease.Millis
}

// HandleKeepAlive handles a client's keep-alive request. A leader responds once a quorum has confirmed that it still
// leads; any other replica names the leader if it knows one.
func (r *Replica) HandleKeepAlive(now lease.Millis, request lease.KeepAliveRequest) {
	if r.now = now; !r.leader.serving || r.stopped {
		r.redirect(request)
		return
	}
	if r.nameInUse(request.Holder) {
		r.ready.KeepAliveResponses = append(r.ready.KeepAliveResponses, lease.KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt,
			Error: fmt.Sprintf("the name %s is in use; it is free once nothing was heard of it for %.0f ms", request.Holder.Name, r.config.Timing.LeaseTTL)})
		return
	}
	r.leader.waiting = append(r.leader.waiting, pendingKeepAlive{request, now})
	r.confirmLeadership()
	r.settle()
}

// nameInUse reports whether another incarnation of the client was heard from within a lease.
func (r *Replica) nameInUse(h lease.Holder) bool {
	c := r.leader.clients[h.Name]
	return c != nil && c.request.Holder != h && r.now-c.receivedAt < r.config.Timing.LeaseTTL
}

// redirect names the leader to the client; without a known leader it sends nothing.
func (r *Replica) redirect(request lease.KeepAliveRequest) {
	if leader := r.leaderName(); leader != "" {
		r.ready.KeepAliveResponses = append(r.ready.KeepAliveResponses,
			lease.KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt, RedirectTo: leader})
	}
}

// confirmLeadership asks a quorum by a read index whether this replica still leads. Without that, a leader that was
// partitioned away would renew leases that its successor has granted to others.
func (r *Replica) confirmLeadership() {
	inFlight := len(r.leader.confirming) > 0 && r.now-r.confirmationStartedAt < r.config.Timing.LeaseTTL/4
	if len(r.leader.waiting) == 0 || inFlight {
		return
	}
	r.leader.confirming, r.leader.waiting = append(r.leader.confirming, r.leader.waiting...), nil
	r.readIndexID++
	r.confirmationStartedAt = r.now
	r.node.ReadIndex([]byte(strconv.FormatUint(r.readIndexID, 10)))
}

// leadershipConfirmed renews the leases of the clients that have waited, and responds to them.
func (r *Replica) leadershipConfirmed() {
	confirmed := r.leader.confirming
	r.leader.confirming = nil
	for _, p := range confirmed {
		c := r.recordClient(p)
		r.renewLeases(p)
		r.raiseFences(p.request)
		r.releaseLeases(p.request)
		r.respond(c)
	}
	r.confirmLeadership()
}

func (r *Replica) recordClient(p pendingKeepAlive) *clientState {
	name := p.request.Holder.Name
	c := r.leader.clients[name]
	if c == nil {
		c = &clientState{}
		r.leader.clients[name] = c
	}
	c.request, c.receivedAt = p.request, p.receivedAt
	return c
}

func (r *Replica) renewLeases(p pendingKeepAlive) {
	for _, job := range r.config.Jobs {
		if r.state.jobLease(job).isHolder(p.request.Holder) {
			r.leader.renewedAt[job] = max(r.leader.renewedAt[job], p.receivedAt)
		}
	}
}

// raiseFences proposes to pass the fences that targets have reported, so that the next grant is accepted by them. A
// reported fence that is the client's own was accepted from another holder, by the grant of a former group: freeing the
// job passes it, as the next grant is one above.
func (r *Replica) raiseFences(request lease.KeepAliveRequest) {
	for _, id := range request.HigherFences {
		if !slices.Contains(r.config.Jobs, id.Job) {
			continue
		}
		switch l := r.state.jobLease(id.Job); {
		case l.Fence < id.Fence:
			r.propose(command{Kind: commandRaiseFence, Job: id.Job, Fence: id.Fence, Reason: reasonHigherFence})
		case l.Fence == id.Fence && l.isHolder(request.Holder):
			r.propose(command{Kind: commandRelease, Job: id.Job, Fence: id.Fence, Reason: reasonHigherFence})
		}
	}
}

func (r *Replica) releaseLeases(request lease.KeepAliveRequest) {
	for _, id := range request.Released {
		l := r.state.jobLease(id.Job)
		if l.isHolder(request.Holder) && l.Fence == id.Fence {
			r.propose(command{Kind: commandRelease, Job: id.Job, Fence: id.Fence, Reason: reasonReturned})
		}
	}
}

// respond answers a client's newest request with its leases and with the holder of each job.
func (r *Replica) respond(c *clientState) {
	response := lease.KeepAliveResponse{Holder: c.request.Holder, SentAt: c.request.SentAt}
	for _, job := range r.config.Jobs {
		if r.state.Jobs[job] == nil {
			continue
		}
		l := r.state.jobLease(job)
		id := lease.GrantID{Job: job, Fence: l.Fence}
		assignment := lease.Assignment{GrantID: id}
		if l.Holder != nil {
			assignment.HolderName = l.Holder.Name
		}
		// A job with a command in flight may be about to change hands: its lease is not renewed.
		if _, changing := r.leader.proposedAt[job]; l.isHolder(c.request.Holder) && !changing {
			response.Grants = append(response.Grants, lease.Grant{GrantID: id, TTL: r.config.Timing.LeaseTTL, Reclaim: r.isReclaimed(job, l)})
		}
		response.Assignments = append(response.Assignments, assignment)
	}
	r.ready.KeepAliveResponses = append(r.ready.KeepAliveResponses, response)
}

// isReclaimed reports whether the holder is asked to give the job back: an operator prefers another client, and that
// client is eligible.
func (r *Replica) isReclaimed(job string, l JobLease) bool {
	return l.Preferred != "" && l.Preferred != l.Holder.Name && r.isEligible(job, r.leader.clients[l.Preferred])
}

// notifyGranted tells the new holder at once. Its lease counts from the request that made it eligible, by both clocks.
func (r *Replica) notifyGranted(c command) {
	client := r.leader.clients[c.Holder.Name]
	if client == nil || client.request.Holder != *c.Holder {
		r.leader.renewedAt[c.Job] = r.now
		return
	}
	r.leader.renewedAt[c.Job] = client.receivedAt
	r.respond(client)
}
