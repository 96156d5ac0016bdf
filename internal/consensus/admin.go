package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"

	"aniseloft/internal/lease"
)

// AdminResult is the outcome of an operator's request.
type AdminResult struct {
	// Response does not have Error set. The sender of the response fills it in from Err, worded for operators.
	Response lease.AdminResponse
	Err      error // nil: the request was carried out or Response redirects it
}

// HandleAdmin handles an operator's request. Ready returns the response: that of a successful move after the move is
// committed, any other at once.
func (r *Replica) HandleAdmin(now lease.Millis, request lease.AdminRequest) {
	r.now = now
	switch request.Operation {
	case lease.AdminStatus:
		r.respondAdmin(lease.AdminResponse{ID: request.ID, Status: r.Status()})
	case lease.AdminHistory:
		r.respondAdmin(lease.AdminResponse{ID: request.ID, History: slices.Clone(r.state.History)})
	case lease.AdminMove, lease.AdminStepDown:
		r.handleAdminChange(request)
	default:
		r.rejectAdmin(request, UnknownOperationError{Operation: request.Operation})
	}
	r.advance()
}

// handleAdminChange handles requests that only a leader can carry out.
func (r *Replica) handleAdminChange(request lease.AdminRequest) {
	knownLeader := r.leaderName()
	switch {
	case !r.leaderState.serving && knownLeader != "" && knownLeader != r.config.Name:
		r.respondAdmin(lease.AdminResponse{ID: request.ID, RedirectTo: knownLeader})
	case !r.leaderState.serving:
		r.rejectAdmin(request, ErrNoLeader)
	case request.Operation == lease.AdminStepDown:
		r.handleStepDown(request)
	default:
		r.handleMove(request)
	}
}

// handleMove proposes a preferred holder for a job. completeMoves responds once the command is applied.
func (r *Replica) handleMove(request lease.AdminRequest) {
	switch {
	case !slices.Contains(r.config.Jobs, request.Job):
		r.rejectAdmin(request, UnknownJobError{Job: request.Job, Known: slices.Clone(r.config.Jobs)})
	case request.Target != "" && r.leaderState.clients[request.Target] == nil:
		r.rejectAdmin(request, UnknownClientError{Client: request.Target})
	case !r.propose(command{Kind: commandPrefer, Job: request.Job, Preferred: request.Target, Reason: reasonOperator}):
		r.rejectAdmin(request, ErrLeadershipLost)
	default:
		r.lastAdminID++
		r.leaderState.adminRequests[r.lastAdminID] = request
	}
}

// completeMoves responds to the move requests that an applied command completes.
func (r *Replica) completeMoves(c command) {
	for _, adminID := range slices.Sorted(maps.Keys(r.leaderState.adminRequests)) {
		request := r.leaderState.adminRequests[adminID]
		if request.Operation == lease.AdminMove && c.Kind == commandPrefer && request.Job == c.Job {
			r.respondAdmin(lease.AdminResponse{ID: request.ID, Status: r.Status()})
			delete(r.leaderState.adminRequests, adminID)
		}
	}
}

func (r *Replica) handleStepDown(request lease.AdminRequest) {
	if err := r.stepDown(); err != nil {
		r.rejectAdmin(request, err)
		return
	}
	r.respondAdmin(lease.AdminResponse{ID: request.ID})
}

// stepDown transfers leadership to the active voter whose log is most complete, and among equals to the one with the
// lowest ID.
func (r *Replica) stepDown() error {
	var successorID, highestMatchIndex uint64
	progress := r.node.Status().Progress
	for _, id := range slices.Sorted(maps.Keys(progress)) {
		voterProgress := progress[id]
		canSucceed := id != r.config.ReplicaID && r.isVoter(id) && voterProgress.RecentActive
		if canSucceed && (successorID == raft.None || voterProgress.Match > highestMatchIndex) {
			successorID, highestMatchIndex = id, voterProgress.Match
		}
	}
	if successorID == raft.None {
		return ErrNoSuccessor
	}
	r.node.TransferLeader(successorID)
	return nil
}

func (r *Replica) respondAdmin(response lease.AdminResponse) {
	r.pendingReady.AdminResults = append(r.pendingReady.AdminResults, AdminResult{Response: response})
}

func (r *Replica) rejectAdmin(request lease.AdminRequest, err error) {
	r.pendingReady.AdminResults = append(r.pendingReady.AdminResults, AdminResult{Response: lease.AdminResponse{ID: request.ID}, Err: err})
}

// Status returns the state of the group as this replica sees it. Only a leader knows the clients and the ages of
// leases.
func (r *Replica) Status() *lease.Status {
	status := &lease.Status{
		Replica:    r.config.Name,
		Leader:     r.leaderName(),
		Term:       r.node.BasicStatus().GetTerm(),
		GroupID:    fmt.Sprintf("%016x", r.state.GroupID),
		Generation: r.state.Generation,
	}
	for _, id := range r.confState.GetVoters() {
		status.Replicas = append(status.Replicas, r.state.Replicas[id])
	}
	slices.Sort(status.Replicas)
	for _, job := range r.config.Jobs {
		status.Jobs = append(status.Jobs, r.jobStatus(job))
	}
	if r.leaderState.serving {
		status.Clients = r.clientStatuses()
	}
	return status
}

func (r *Replica) jobStatus(job string) lease.JobStatus {
	currentLease := r.state.jobLease(job)
	status := lease.JobStatus{Job: job, Fence: currentLease.Fence, Holder: currentLease.holderName(), Preferred: currentLease.Preferred}
	if renewedAt, isKnown := r.leaderState.renewedAt[job]; isKnown && r.leaderState.serving && currentLease.Holder != nil {
		status.AgeMS = r.now - renewedAt
	}
	return status
}

func (r *Replica) clientStatuses() (statuses []lease.ClientStatus) {
	for name, client := range r.leaderState.clients {
		statuses = append(statuses, lease.ClientStatus{Name: name, AgeMS: r.now - client.receivedAt, Capacity: client.request.Capacity,
			Draining: client.request.Draining, HeldDown: r.isHeldDown(client)})
	}
	slices.SortFunc(statuses, func(a, b lease.ClientStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}
