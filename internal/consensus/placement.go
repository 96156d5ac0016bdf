package consensus

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"aniseloft/internal/lease"
)

// clientState is the leader's state of one lease client.
type clientState struct {
	request     lease.KeepAliveRequest // newest keep-alive request
	receivedAt  lease.Millis           // when the leader received that keep-alive request; no earlier than the client sent it
	lapseCount  int                    // number of lapses: leases that the client recently let expire
	lastLapseAt lease.Millis           // time of the client's latest lapse
}

// maxCountedLapses is the number of lapses from which the hold-down no longer grows.
const maxCountedLapses = 6

// minCapacity is the lowest capacity that a client is weighted with; it avoids a division by zero.
const minCapacity = 1e-6

// chooseHolder selects the holder of a free job: the preferred client if it is eligible, or else the winner of
// rendezvous hashing among the eligible clients, weighted by capacity, so that jobs spread over the fleet. It returns
// nil if no client is eligible.
func (r *Replica) chooseHolder(job string, l JobLease) *clientState {
	if client := r.leaderState.clients[l.Preferred]; r.isEligible(job, client) {
		return client
	}
	var bestClient *clientState
	bestScore := math.Inf(-1)
	for _, client := range r.leaderState.clients {
		if !r.isEligible(job, client) {
			continue
		}
		score := rendezvousScore(job, client.request)
		if score > bestScore || score == bestScore && client.request.Holder.Name < bestClient.request.Holder.Name {
			bestClient, bestScore = client, score
		}
	}
	return bestClient
}

// rendezvousScore returns the weighted rendezvous score log(u)/w, where u in (0, 1) is derived from the hash of job and
// client and w is the client's capacity.
//
// rendezvousOrder in decide/endpointset.go applies the same rule to the endpoints of a group with another hash, because
// its keys are numbers and are hashed for each endpoint of an order, while the keys here are names. Neither hash may
// change: balancers must agree on a group's order, and successive leaders on a job's holder.
func rendezvousScore(job string, request lease.KeepAliveRequest) float64 {
	hash := xxhash.Sum64String(job + "\x00" + request.Holder.Name)
	uniformHash := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniformHash) / max(request.Capacity, minCapacity)
}

// isEligible reports whether a client may be granted the job: it can do the job, is not draining, has sent a keep-alive
// request within half a lease duration and is not held down.
func (r *Replica) isEligible(job string, client *clientState) bool {
	return client != nil && !client.request.Draining && r.now-client.receivedAt < r.config.Timing.LeaseTTL/2 &&
		slices.Contains(client.request.Jobs, job) && !r.isHeldDown(client)
}

// isHeldDown reports whether a client gets no new leases because it let leases expire. The hold-down lasts one lease
// duration after the first lapse and doubles with each further lapse, up to maxCountedLapses.
func (r *Replica) isHeldDown(client *clientState) bool {
	doublings := float64(min(client.lapseCount, maxCountedLapses)) - 1
	return client.lapseCount > 0 && r.now-client.lastLapseAt < r.config.Timing.LeaseTTL*math.Exp2(doublings)
}
