package coordination

import (
	"errors"
	"fmt"

	"aniseloft/internal/consensus"
)

// adminErrorText returns the text that an operator is shown for an error of an admin request. The texts are sent over
// the wire and use the terms of the operators' documentation; they must not change.
func adminErrorText(err error) string {
	var unknownOperation consensus.UnknownOperationError
	var unknownJob consensus.UnknownJobError
	var unknownClient consensus.UnknownClientError
	switch {
	case errors.Is(err, consensus.ErrLeadershipLost):
		return "the council has another leader since; ask again"
	case errors.Is(err, consensus.ErrNoLeader):
		return "the council has no leader now: nothing can be changed until a majority of its seats hear each other"
	case errors.Is(err, consensus.ErrNoSuccessor):
		return "no other seat is there to lead"
	case errors.As(err, &unknownOperation):
		return fmt.Sprintf("%q is no call; status, history, move and step-down are", unknownOperation.Operation)
	case errors.As(err, &unknownJob):
		return fmt.Sprintf("%q is no job; %v are", unknownJob.Job, unknownJob.Known)
	case errors.As(err, &unknownClient):
		return fmt.Sprintf("nothing is heard of a member %q", unknownClient.Client)
	default:
		return err.Error()
	}
}
