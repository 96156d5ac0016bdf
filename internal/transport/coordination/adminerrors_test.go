package coordination

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/consensus"
)

// The texts are part of the protocol. They must stay those of the release before the errors had types of their own.
func TestAdminErrorTextsUnchanged(t *testing.T) {
	for text, err := range map[string]error{
		"the council has another leader since; ask again":                                                     consensus.ErrLeadershipLost,
		"the council has no leader now: nothing can be changed until a majority of its seats hear each other": consensus.ErrNoLeader,
		"no other seat is there to lead":                                                                      consensus.ErrNoSuccessor,
		`"dance" is no call; status, history, move and step-down are`:                                         consensus.UnknownOperationError{Operation: "dance"},
		`"no-such-job" is no job; [prune-record read-journal] are`:                                            consensus.UnknownJobError{Job: "no-such-job", Known: []string{"prune-record", "read-journal"}},
		`nothing is heard of a member "n9"`:                                                                   consensus.UnknownClientError{Client: "n9"},
	} {
		require.Equal(t, text, adminErrorText(err))
		require.Equal(t, text, adminErrorText(fmt.Errorf("wrapped: %w", err)))
	}
}
