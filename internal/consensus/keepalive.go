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
	if r.now = now; !r.leaderState.serving || r.stopped {
		r.redirect(request)
		return
	}
	if r.nameInUse(request.Holder) {
		r.pendingReady.KeepAliveResponses = append(r.pendingReady.KeepAliveResponses, lease.KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt,
			Error: fmt.Sprintf("the name %s is in use; it is free once nothing was heard of it for %.0f ms", request.Holder.Name, r.config.Timing.LeaseTTL)})
		return
	}
	r.leaderState.waitingRequests = append(r.leaderState.waitingRequests, pendingKeepAlive{request, now})
	r.confirmLeadership()
	r.advance()
}

// nameInUse reports whether another incarnation of the client has sent a keep-alive request within a lease duration.
func (r *Replica) nameInUse(holder lease.Holder) bool {
	client := r.leaderState.clients[holder.Name]
	return client != nil && client.request.Holder != holder && r.now-client.receivedAt < r.config.Timing.LeaseTTL
}

// redirect sends the client the name of the leader, or nothing if no leader is known.
func (r *Replica) redirect(request lease.KeepAliveRequest) {
	if knownLeader := r.leaderName(); knownLeader != "" {
		r.pendingReady.KeepAliveResponses = append(r.pendingReady.KeepAliveResponses,
			lease.KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt, RedirectTo: knownLeader})
	}
}

// confirmLeadership sends a read index request, by which a quorum confirms that this replica still leads. Without it, a
// leader that was partitioned away would renew leases that the next leader has granted to others.
func (r *Replica) confirmLeadership() {
	confirmationInFlight := len(r.leaderState.confirmingRequests) > 0 && r.now-r.confirmationStartedAt < r.config.Timing.LeaseTTL/4
	if len(r.leaderState.waitingRequests) == 0 || confirmationInFlight {
		return
	}
	r.leaderState.confirmingRequests, r.leaderState.waitingRequests = append(r.leaderState.confirmingRequests, r.leaderState.waitingRequests...), nil
	r.readIndexID++
	r.confirmationStartedAt = r.now
	r.node.ReadIndex([]byte(strconv.FormatUint(r.readIndexID, 10)))
}

// handleLeadershipConfirmed processes the keep-alive requests that waited for the confirmation, and responds to them.
func (r *Replica) handleLeadershipConfirmed() {
	confirmedRequests := r.leaderState.confirmingRequests
	r.leaderState.confirmingRequests = nil
	for _, pending := range confirmedRequests {
		client := r.recordClient(pending)
		r.renewLeases(pending)
		r.raiseFences(pending.request)
		r.releaseLeases(pending.request)
		r.respond(client)
	}
	r.confirmLeadership()
}

func (r *Replica) recordClient(pending pendingKeepAlive) *clientState {
	name := pending.request.Holder.Name
	client := r.leaderState.clients[name]
	if client == nil {
		client = &clientState{}
		r.leaderState.clients[name] = client
	}
	client.request, client.receivedAt = pending.request, pending.receivedAt
	return client
}

func (r *Replica) renewLeases(pending pendingKeepAlive) {
	for _, job := range r.config.Jobs {
		if r.state.jobLease(job).isHolder(pending.request.Holder) {
			r.leaderState.renewedAt[job] = max(r.leaderState.renewedAt[job], pending.receivedAt)
		}
	}
}

// raiseFences proposes to raise jobs' fences to those that targets have reported, so that the targets accept the next
// grant. If the reported fence is the client's own, the target has accepted that fence from another holder, to which a
// former consensus group had granted it. Freeing the job is then enough, as the fence of the next grant is higher by one.
func (r *Replica) raiseFences(request lease.KeepAliveRequest) {
	for _, reported := range request.HigherFences {
		if !slices.Contains(r.config.Jobs, reported.Job) {
			continue
		}
		switch currentLease := r.state.jobLease(reported.Job); {
		case currentLease.Fence < reported.Fence:
			r.propose(command{Kind: commandRaiseFence, Job: reported.Job, Fence: reported.Fence, Reason: reasonHigherFence})
		case currentLease.Fence == reported.Fence && currentLease.isHolder(request.Holder):
			r.propose(command{Kind: commandRelease, Job: reported.Job, Fence: reported.Fence, Reason: reasonHigherFence})
		}
	}
}

func (r *Replica) releaseLeases(request lease.KeepAliveRequest) {
	for _, released := range request.Released {
		currentLease := r.state.jobLease(released.Job)
		if currentLease.isHolder(request.Holder) && currentLease.Fence == released.Fence {
			r.propose(command{Kind: commandRelease, Job: released.Job, Fence: released.Fence, Reason: reasonReturned})
		}
	}
}

// respond answers a client's newest request with the client's leases and the holder of each job.
func (r *Replica) respond(client *clientState) {
	response := lease.KeepAliveResponse{Holder: client.request.Holder, SentAt: client.request.SentAt}
	for _, job := range r.config.Jobs {
		if r.state.Jobs[job] == nil {
			continue
		}
		currentLease := r.state.jobLease(job)
		grantID := lease.GrantID{Job: job, Fence: currentLease.Fence}
		assignment := lease.Assignment{GrantID: grantID}
		if currentLease.Holder != nil {
			assignment.HolderName = currentLease.Holder.Name
		}
		// A command in flight may change the holder of the job, so the lease is not renewed.
		if _, changeInFlight := r.leaderState.proposedAt[job]; currentLease.isHolder(client.request.Holder) && !changeInFlight {
			response.Grants = append(response.Grants, lease.Grant{GrantID: grantID, TTL: r.config.Timing.LeaseTTL, Reclaim: r.isReclaimed(job, currentLease)})
		}
		response.Assignments = append(response.Assignments, assignment)
	}
	r.pendingReady.KeepAliveResponses = append(r.pendingReady.KeepAliveResponses, response)
}

// isReclaimed reports whether the holder is asked to release the job, because an operator prefers another client and
// that client is eligible.
func (r *Replica) isReclaimed(job string, currentLease JobLease) bool {
	return currentLease.Preferred != "" && currentLease.Preferred != currentLease.Holder.Name && r.isEligible(job, r.leaderState.clients[currentLease.Preferred])
}

// notifyGranted responds to the new holder at once. On both sides the lease counts from the holder's newest request:
// for the holder from when it sent the request, for the leader from when it received the request.
func (r *Replica) notifyGranted(c command) {
	client := r.leaderState.clients[c.Holder.Name]
	if client == nil || client.request.Holder != *c.Holder {
		r.leaderState.renewedAt[c.Job] = r.now
		return
	}
	r.leaderState.renewedAt[c.Job] = client.receivedAt
	r.respond(client)
}
