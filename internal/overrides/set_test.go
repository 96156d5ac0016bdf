package overrides

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"aniseloft/decide"
)

var readyEndpoint = decide.EndpointInfo{ID: 1, State: decide.EndpointReady}

func TestRestoreEndsAllSuspendCalls(t *testing.T) {
	set := New()
	set.SetListed("s-1", true)
	suspendCalls, err := set.Suspend("s-1", 100)
	require.NoError(t, err)
	require.Equal(t, 1, suspendCalls)
	suspendCalls, _ = set.Suspend("s-1", 200)
	require.Equal(t, 2, suspendCalls)
	require.Equal(t, decide.EndpointDraining, set.Apply("s-1", readyEndpoint).State, "overrides the state on the list")
	wasSuspended, err := set.Restore("s-1", 300)
	require.NoError(t, err)
	require.True(t, wasSuspended)
	restoredEntry := set.Apply("s-1", readyEndpoint)
	require.Equal(t, decide.EndpointReady, restoredEntry.State, "one RESTORE ends two SUSPEND calls")
	require.Equal(t, decide.Millis(300), restoredEntry.StartedAt, "treated as started at the restoration")
	wasSuspended, err = set.Restore("s-1", 400)
	require.NoError(t, err)
	require.False(t, wasSuspended)
}

func TestUnknownEndpointIsRejected(t *testing.T) {
	set := New()
	set.SetListed("s-1", true)
	sequence := set.Sequence()
	_, err := set.Suspend("s-2", 1)
	require.ErrorIs(t, err, ErrUnknownEndpoint)
	_, err = set.Restore("s-2", 1)
	require.ErrorIs(t, err, ErrUnknownEndpoint)
	require.Equal(t, sequence, set.Sequence())
	require.Empty(t, set.Suspensions())
}

func TestSuspensionSurvivesRemovalFromList(t *testing.T) {
	set := New()
	set.SetListed("s-1", true)
	_, _ = set.Suspend("s-1", 1)
	set.SetListed("s-1", false) // the endpoint may return to the list under the same name
	require.True(t, set.Known("s-1"))
	require.Equal(t, decide.EndpointDraining, set.Apply("s-1", readyEndpoint).State)
	removedEntry := decide.EndpointInfo{ID: 1, State: decide.EndpointRemoved}
	require.Equal(t, decide.EndpointRemoved, set.Apply("s-1", removedEntry).State, "a removed endpoint stays removed")
	wasSuspended, err := set.Restore("s-1", 2)
	require.NoError(t, err)
	require.True(t, wasSuspended)
}

func TestStateRoundTripAndNewerStateWins(t *testing.T) {
	predecessor := New()
	predecessor.SetListed("s-1", true)
	predecessor.SetListed("s-2", true)
	_, _ = predecessor.Suspend("s-1", 10)
	_, _ = predecessor.Suspend("s-2", 20)
	_, _ = predecessor.Restore("s-2", 30)
	state, err := Decode(predecessor.Encode(40))
	require.NoError(t, err)
	successor := New()
	require.True(t, successor.Adopt(state))
	require.True(t, successor.Suspended("s-1"))
	require.Equal(t, decide.Millis(30), successor.Apply("s-2", readyEndpoint).StartedAt)
	require.False(t, successor.Adopt(state), "the same state has no effect the second time")

	// An older state must not undo a later change.
	successor.SetListed("s-2", true)
	_, _ = successor.Suspend("s-2", 50)
	require.False(t, successor.Adopt(state))
	require.True(t, successor.Suspended("s-2"))
}

// Two processes change the overrides while neither holds the file lock. Whichever process wrote the
// file last, both changes are in effect once each process has reconciled its own with the file.
func TestReconcileKeepsChangesOfBothProcesses(t *testing.T) {
	for _, lastWriterIndex := range []int{0, 1} {
		for _, firstReconcilerIndex := range []int{0, 1} {
			sets, changes := newDivergedSets()
			fileContent := sets[lastWriterIndex].Encode(4)
			for _, i := range []int{firstReconcilerIndex, 1 - firstReconcilerIndex} {
				fileContent = reconcileFile(t, sets[i], changes[i], fileContent)
			}
			state, err := Decode(fileContent)
			require.NoError(t, err)
			sets[firstReconcilerIndex].Adopt(state)
			for _, set := range sets {
				require.True(t, set.Suspended("s-1") && set.Suspended("s-2") && !set.Suspended("s-3"),
					"last %d, first %d: %v", lastWriterIndex, firstReconcilerIndex, set.Suspensions())
			}
		}
	}
}

// newDivergedSets returns the overrides of two processes and the changes that each made without the
// file lock. Both have suspended s-3; the first process has made more changes and has restored s-3.
func newDivergedSets() (sets [2]*Set, changes [2][]Change) {
	for i := range sets {
		sets[i] = New()
		for _, endpointName := range []string{"s-1", "s-2", "s-3"} {
			sets[i].SetListed(endpointName, true)
		}
		for range 1 + 3*(1-i) {
			_, _ = sets[i].Suspend("s-3", 1)
		}
		endpointName := []string{"s-1", "s-2"}[i]
		_, _ = sets[i].Suspend(endpointName, 2)
		changes[i] = []Change{{EndpointName: endpointName}}
	}
	_, _ = sets[0].Restore("s-3", 3)
	changes[0] = append(changes[0], Change{EndpointName: "s-3", Restore: true})
	return sets, changes
}

// reconcileFile reconciles the changes of a set with the file and returns the new file content.
func reconcileFile(t *testing.T, set *Set, changes []Change, fileContent []byte) []byte {
	state, err := Decode(fileContent)
	require.NoError(t, err)
	previousSequence := set.Sequence()
	if !set.Reconcile(state, changes, 5) {
		return fileContent
	}
	require.Greater(t, set.Sequence(), max(previousSequence, state.Sequence), "newer than the previous states of the set and the file")
	return set.Encode(5)
}

func TestDecodeReportsUnusableState(t *testing.T) {
	for content, wantErr := range map[string]error{
		`{"version":1,"seq":3,"bans":[{"id":"s-1","ca`: ErrStateCorrupt,
		``:                                   ErrStateCorrupt,
		`{"version":2,"seq":3}`:              ErrStateVersion,
		`{"version":1,"bans":[{"id":""}]}`:   ErrStateCorrupt,
		`{"version":1,"back":[{"at_ms":3}]}`: ErrStateCorrupt,
	} {
		_, err := Decode([]byte(content))
		require.ErrorIs(t, err, wantErr, content)
	}
}

// For any sequence of calls, a known endpoint is suspended exactly if its last call is SUSPEND, and
// another process that reads the state file has the same suspensions.
func TestSuspensionMatchesLastCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := New()
		endpointNames := []string{"s-1", "s-2", "s-3"} // s-3 is not listed
		for _, endpointName := range endpointNames[:2] {
			set.SetListed(endpointName, true)
		}
		wantSuspended := map[string]bool{}
		for i := range rapid.IntRange(0, 40).Draw(t, "calls") {
			endpointName := rapid.SampledFrom(endpointNames).Draw(t, "id")
			isSuspendCall := rapid.Bool().Draw(t, "suspend")
			require.Equal(t, endpointName != "s-3", applyCall(set, endpointName, isSuspendCall, decide.Millis(i)) == nil, endpointName)
			wantSuspended[endpointName] = isSuspendCall && endpointName != "s-3"
		}
		state, err := Decode(set.Encode(100))
		require.NoError(t, err)
		otherSet := New()
		otherSet.Adopt(state)
		for _, endpointName := range endpointNames {
			require.Equal(t, wantSuspended[endpointName], set.Suspended(endpointName), endpointName)
			require.Equal(t, wantSuspended[endpointName], otherSet.Suspended(endpointName), "%s in the other process", endpointName)
		}
	})
}

func applyCall(set *Set, endpointName string, isSuspendCall bool, now decide.Millis) (err error) {
	if isSuspendCall {
		_, err = set.Suspend(endpointName, now)
	} else {
		_, err = set.Restore(endpointName, now)
	}
	return err
}
