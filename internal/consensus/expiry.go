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
		if proposedAt, inFlight := r.leader.proposedAt[job]; inFlight && r.now-proposedAt < r.config.Timing.LeaseTTL {
			continue // a lost command is proposed again after the duration of a lease
		}
		if l := r.state.jobLease(job); l.Holder != nil {
			r.expireLease(job, l)
		} else {
			r.grantLease(job, l)
		}
	}
}

// forgetClients forgets clients that have been silent for long and resets the lapse counts of those that kept their
// leases.
func (r *Replica) forgetClients() {
	limit := r.config.Timing.LeaseTTL * forgetAfterLeases
	for name, c := range r.leader.clients {
		switch {
		case r.now-c.receivedAt > limit:
			delete(r.leader.clients, name)
		case c.lapses > 0 && r.now-c.lastLapseAt > limit:
			c.lapses = 0
		}
	}
}

// expireLease proposes to free a job whose holder has not renewed its lease for the duration of a lease by this
// replica's clock.
func (r *Replica) expireLease(job string, l JobLease) {
	renewedAt, known := r.leader.renewedAt[job]
	if !known { // a new leader does not know when the old leader last renewed the lease
		r.leader.renewedAt[job] = r.now
		return
	}
	if r.now-renewedAt < r.config.Timing.LeaseTTL {
		return
	}
	if c := r.leader.clients[l.Holder.Name]; c != nil && c.request.Holder == *l.Holder {
		c.lapses, c.lastLapseAt = c.lapses+1, r.now
	}
	r.propose(command{Kind: commandRelease, Job: job, Fence: l.Fence, Reason: reasonExpired})
}

// grantLease proposes a holder for a free job. A new leader first waits until all clients have had time to send it a
// keep-alive request.
func (r *Replica) grantLease(job string, l JobLease) {
	if r.now-r.leader.servingSince < 2*r.config.Timing.LeaseTTL/lease.KeepAlivesPerLease {
		return
	}
	if c := r.chooseHolder(job, l); c != nil {
		holder := c.request.Holder
		r.propose(command{Kind: commandGrant, Job: job, Fence: l.Fence, Holder: &holder})
	}
}
