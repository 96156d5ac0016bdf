package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

func TestAdminRequestsAreRejectedWithTypedErrors(t *testing.T) {
	g := newTestGroup(t, 1)
	requestError := func(request lease.AdminRequest) error {
		g.adminResults = nil
		g.call(g.names[0], func(r *Replica) { r.HandleAdmin(g.now, request) })
		require.Len(t, g.adminResults, 1)
		require.Equal(t, lease.AdminResponse{ID: request.ID}, g.adminResults[0].Response)
		return g.adminResults[0].Err
	}
	require.ErrorIs(t, requestError(lease.AdminRequest{ID: 1, Operation: lease.AdminStepDown}), ErrNoLeader)
	g.runUntilLeader()
	require.ErrorIs(t, requestError(lease.AdminRequest{ID: 2, Operation: lease.AdminStepDown}), ErrNoSuccessor)
	require.Equal(t, UnknownOperationError{Operation: "dance"}, requestError(lease.AdminRequest{ID: 3, Operation: "dance"}))
	require.Equal(t, UnknownJobError{Job: "no-such-job", Known: []string{testJob}},
		requestError(lease.AdminRequest{ID: 4, Operation: lease.AdminMove, Job: "no-such-job"}))
	require.Equal(t, UnknownClientError{Client: "n9"}, requestError(lease.AdminRequest{ID: 5, Operation: lease.AdminMove, Job: testJob, Target: "n9"}))
}
