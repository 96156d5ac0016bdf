package overrides

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// The old and the new process of an upgrade both use the state file, so its encoding must stay that of commit d9ce9f6.
func TestStateFileEncodingIsStable(t *testing.T) {
	content, err := os.ReadFile("testdata/aniseloft-state.json")
	require.NoError(t, err)
	state, err := Decode(content)
	require.NoError(t, err)
	require.Equal(t, State{
		Version: 1, Sequence: 5, WrittenAt: 1500.5,
		Suspensions:  []Suspension{{EndpointName: "s-1", Calls: 2, Since: 1000.5}, {EndpointName: "s-2", Calls: 1, Since: 1200.25}},
		Restorations: []Restoration{{EndpointName: "s-3", RestoredAt: 1400.125}},
	}, state)
	set := New()
	require.True(t, set.Adopt(state))
	require.Equal(t, string(content), string(set.Encode(1500.5)))
}
