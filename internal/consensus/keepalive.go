package consensus

import (
	"fmt"
	"slices"
	"strconv"

	"aniseloft/internal/lease"
)

// pendingKeepAlive is a keep-alive request that waits until a quorum confirms that this replica still leads.
type pendingKeepAlive struct {
	request    lease.KeepAliveRequest
	receivedAt lease.Millis
}

// HandleKeepAlive handles a client's keep-alive request. A leader responds once a quorum has confirmed that it still
// leads; any other replica redirects the client to the leader if it knows one.
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
	r.leader.waitingRequests = append(r.leader.waitingRequests, pendingKeepAlive{request, now})
	r.confirmLeadership()
	r.advance()
}

// nameInUse reports whether another incarnation of the client has sent a keep-alive request within a lease duration.
func (r *Replica) nameInUse(h lease.Holder) bool {
	c := r.leader.clients[h.Name]
	return c != nil && c.request.Holder != h && r.now-c.receivedAt < r.config.Timing.LeaseTTL
}

// redirect sends the client the name of the leader, or nothing if no leader is known.
func (r *Replica) redirect(request lease.KeepAliveRequest) {
	if leader := r.leaderName(); leader != "" {
		r.ready.KeepAliveResponses = append(r.ready.KeepAliveResponses,
			lease.KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt, RedirectTo: leader})
	}
}

// confirmLeadership sends a read index request, by which a quorum confirms that this replica still leads. Without it, a
// leader that was partitioned away would renew leases that the next leader has granted to others.
func (r *Replica) confirmLeadership() {
	inFlight := len(r.leader.confirmingRequests) > 0 && r.now-r.confirmationStartedAt < r.config.Timing.LeaseTTL/4
	if len(r.leader.waitingRequests) == 0 || inFlight {
		return
	}
	r.leader.confirmingRequests, r.leader.waitingRequests = append(r.leader.confirmingRequests, r.leader.waitingRequests...), nil
	r.readIndexID++
	r.confirmationStartedAt = r.now
	r.node.ReadIndex([]byte(strconv.FormatUint(r.readIndexID, 10)))
}

// handleLeadershipConfirmed processes the keep-alive requests that waited for the confirmation, and responds to them.
func (r *Replica) handleLeadershipConfirmed() {
	confirmedRequests := r.leader.confirmingRequests
	r.leader.confirmingRequests = nil
	for _, p := range confirmedRequests {
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

// raiseFences proposes to raise jobs' fences to those that targets have reported, so that the targets accept the next
// grant. If the reported fence is the client's own, the target has accepted that fence from another holder, to which a
// former consensus group had granted it. Freeing the job is then enough, as the fence of the next grant is higher by one.
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

// respond answers a client's newest request with the client's leases and the holder of each job.
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
		// A command in flight may change the holder of the job, so the lease is not renewed.
		if _, changeInFlight := r.leader.proposedAt[job]; l.isHolder(c.request.Holder) && !changeInFlight {
			response.Grants = append(response.Grants, lease.Grant{GrantID: id, TTL: r.config.Timing.LeaseTTL, Reclaim: r.isReclaimed(job, l)})
		}
		response.Assignments = append(response.Assignments, assignment)
	}
	r.ready.KeepAliveResponses = append(r.ready.KeepAliveResponses, response)
}

// isReclaimed reports whether the holder is asked to release the job, because an operator prefers another client and
// that client is eligible.
func (r *Replica) isReclaimed(job string, l JobLease) bool {
	return l.Preferred != "" && l.Preferred != l.Holder.Name && r.isEligible(job, r.leader.clients[l.Preferred])
}

// notifyGranted responds to the new holder at once. On both sides the lease counts from the holder's newest request:
// for the holder from when it sent the request, for the leader from when it received the request.
func (r *Replica) notifyGranted(c command) {
	client := r.leader.clients[c.Holder.Name]
	if client == nil || client.request.Holder != *c.Holder {
		r.leader.renewedAt[c.Job] = r.now
		return
	}
	r.leader.renewedAt[c.Job] = client.receivedAt
	r.respond(client)
}
