package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

func TestAdminRequestsAreRejectedWithTypedErrors(t *testing.T) {
	group := newTestGroup(t, 1)
	requestError := func(request lease.AdminRequest) error {
		group.adminResults = nil
		group.call(group.names[0], func(r *Replica) { r.HandleAdmin(group.now, request) })
		require.Len(t, group.adminResults, 1)
		require.Equal(t, lease.AdminResponse{ID: request.ID}, group.adminResults[0].Response)
		return group.adminResults[0].Err
	}
	require.ErrorIs(t, requestError(lease.AdminRequest{ID: 1, Operation: lease.AdminStepDown}), ErrNoLeader)
	group.runUntilLeader()
	require.ErrorIs(t, requestError(lease.AdminRequest{ID: 2, Operation: lease.AdminStepDown}), ErrNoSuccessor)
	require.Equal(t, UnknownOperationError{Operation: "dance"}, requestError(lease.AdminRequest{ID: 3, Operation: "dance"}))
	require.Equal(t, UnknownJobError{Job: "no-such-job", Known: []string{testJob}},
		requestError(lease.AdminRequest{ID: 4, Operation: lease.AdminMove, Job: "no-such-job"}))
	require.Equal(t, UnknownClientError{Client: "n9"}, requestError(lease.AdminRequest{ID: 5, Operation: lease.AdminMove, Job: testJob, Target: "n9"}))
}
