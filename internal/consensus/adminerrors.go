package consensus

import (
	"errors"
	"fmt"

	"aniseloft/internal/lease"
)

// Errors of an AdminResult, besides UnknownOperationError, UnknownJobError and UnknownClientError.
var (
	// ErrLeadershipLost means that this replica lost leadership before it could confirm that the request was carried out.
	ErrLeadershipLost = errors.New("consensus: leadership was lost")
	// ErrNoLeader means that this replica knows no leader, for example because no quorum is connected.
	ErrNoLeader = errors.New("consensus: no leader")
	// ErrNoSuccessor means that leadership cannot be transferred because no other voter is active.
	ErrNoSuccessor = errors.New("consensus: no other active voter")
)

// UnknownOperationError rejects an admin request whose operation is not known.
type UnknownOperationError struct{ Operation lease.Operation }

func (e UnknownOperationError) Error() string {
	return fmt.Sprintf("consensus: unknown operation %q", e.Operation)
}

// UnknownJobError rejects a move of a job that the group does not manage.
type UnknownJobError struct {
	Job   string
	Known []string // jobs that the group manages
}

func (e UnknownJobError) Error() string {
	return fmt.Sprintf("consensus: unknown job %q", e.Job)
}

// UnknownClientError rejects a move to a client that the leader does not know.
type UnknownClientError struct{ Client string }

func (e UnknownClientError) Error() string {
	return fmt.Sprintf("consensus: unknown client %q", e.Client)
}
