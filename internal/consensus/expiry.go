package consensus

import "aniseloft/internal/lease"

// forgetAfterLeases is a time in lease durations. A lapse is a lease that its client let expire. After this time without
// a lapse the leader resets a client's lapse count, and after this time without a keep-alive request it forgets the
// client.
const forgetAfterLeases = 64

// manageLeases expires leases that were not renewed in time and grants free jobs.
func (r *Replica) manageLeases() {
	r.forgetClients()
	for _, job := range r.config.Jobs {
		if proposedAt, isInFlight := r.leaderState.proposedAt[job]; isInFlight && r.now-proposedAt < r.config.Timing.LeaseTTL {
			continue // a lost command is proposed again after the duration of a lease
		}
		if currentLease := r.state.jobLease(job); currentLease.Holder != nil {
			r.expireLease(job, currentLease)
		} else {
			r.grantLease(job, currentLease)
		}
	}
}

// forgetClients forgets clients that have been silent for long and resets the lapse counts of those that kept their
// leases.
func (r *Replica) forgetClients() {
	forgetAfter := r.config.Timing.LeaseTTL * forgetAfterLeases
	for name, client := range r.leaderState.clients {
		switch {
		case r.now-client.receivedAt > forgetAfter:
			delete(r.leaderState.clients, name)
		case client.lapseCount > 0 && r.now-client.lastLapseAt > forgetAfter:
			client.lapseCount = 0
		}
	}
}

// expireLease proposes to free a job whose holder has not renewed its lease for the duration of a lease by this
// replica's clock.
func (r *Replica) expireLease(job string, currentLease JobLease) {
	renewedAt, isKnown := r.leaderState.renewedAt[job]
	if !isKnown { // a new leader does not know when the old leader last renewed the lease
		r.leaderState.renewedAt[job] = r.now
		return
	}
	if r.now-renewedAt < r.config.Timing.LeaseTTL {
		return
	}
	if client := r.leaderState.clients[currentLease.Holder.Name]; client != nil && client.request.Holder == *currentLease.Holder {
		client.lapseCount, client.lastLapseAt = client.lapseCount+1, r.now
	}
	r.propose(command{Kind: commandRelease, Job: job, Fence: currentLease.Fence, Reason: reasonExpired})
}

// grantLease proposes a holder for a free job. A new leader first waits until all clients have had time to send it a
// keep-alive request.
func (r *Replica) grantLease(job string, currentLease JobLease) {
	if r.now-r.leaderState.servingSince < 2*r.config.Timing.LeaseTTL/lease.KeepAlivesPerLease {
		return
	}
	if client := r.chooseHolder(job, currentLease); client != nil {
		holder := client.request.Holder
		r.propose(command{Kind: commandGrant, Job: job, Fence: currentLease.Fence, Holder: &holder})
	}
}
