package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

const testJob = lease.JobPruneRecord

var (
	holder1 = lease.Holder{Name: "n1", Incarnation: 7}
	holder2 = lease.Holder{Name: "n2", Incarnation: 8}
)

func TestApplyRejectsOutdatedAndUnknownCommands(t *testing.T) {
	freeLease, heldLease := JobLease{Fence: 3}, JobLease{Fence: 3, Holder: &holder1}
	for name, testCase := range map[string]struct {
		leaseBefore JobLease
		command     command
		leaseAfter  JobLease
		wantErr     error
	}{
		"grant":                        {freeLease, command{Kind: commandGrant, Fence: 3, Holder: &holder2}, JobLease{Fence: 4, Holder: &holder2}, nil},
		"grant of a held job":          {heldLease, command{Kind: commandGrant, Fence: 3, Holder: &holder2}, heldLease, errOutdatedCommand},
		"grant under an old fence":     {freeLease, command{Kind: commandGrant, Fence: 2, Holder: &holder2}, freeLease, errOutdatedCommand},
		"grant without a holder":       {freeLease, command{Kind: commandGrant, Fence: 3}, freeLease, errOutdatedCommand},
		"release":                      {heldLease, command{Kind: commandRelease, Fence: 3}, freeLease, nil},
		"release of a free job":        {freeLease, command{Kind: commandRelease, Fence: 3}, freeLease, errOutdatedCommand},
		"release of an earlier grant":  {heldLease, command{Kind: commandRelease, Fence: 2}, heldLease, errOutdatedCommand},
		"raise frees the job":          {heldLease, command{Kind: commandRaiseFence, Fence: 9}, JobLease{Fence: 9}, nil},
		"raise to the current fence":   {heldLease, command{Kind: commandRaiseFence, Fence: 3}, heldLease, errOutdatedCommand},
		"preference leaves the holder": {heldLease, command{Kind: commandPrefer, Preferred: "n2"}, JobLease{Fence: 3, Holder: &holder1, Preferred: "n2"}, nil},
		"a command of a later release": {heldLease, command{Kind: "split"}, heldLease, errUnknownCommand},
		"a command without a kind":     {freeLease, command{Kind: ""}, freeLease, errUnknownCommand},
	} {
		machine := newStateMachine()
		machine.Jobs[testJob] = &testCase.leaseBefore
		testCase.command.Job = testJob
		require.ErrorIs(t, machine.apply(10, testCase.command), testCase.wantErr, name)
		require.Equal(t, testCase.leaseAfter, machine.jobLease(testJob), name)
		if testCase.wantErr != nil {
			require.Empty(t, machine.History, name)
		} else {
			require.Len(t, machine.History, 1, name)
		}
	}
}

func TestHistoryKeepsTheNewestEntries(t *testing.T) {
	machine := newStateMachine()
	for index := range uint64(historyLimit + 10) {
		require.NoError(t, machine.apply(index, command{Kind: commandPrefer, Job: testJob}))
	}
	require.Len(t, machine.History, historyLimit)
	require.EqualValues(t, 10, machine.History[0].Index)
}

func TestGenerationNeverDecreases(t *testing.T) {
	machine := newStateMachine()
	for _, generation := range []uint64{2, 5, 3} {
		require.NoError(t, machine.apply(1, command{Kind: commandSetGeneration, Generation: generation}))
	}
	require.EqualValues(t, 5, machine.Generation)
}
