package listener

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Growth beyond the budget is not allowed; a release always is, even while the budget is exceeded.
func TestBudgetAllowsGrowthWithinItAndAlwaysRelease(t *testing.T) {
	b := NewBudget(10)
	require.True(t, b.Adjust(0, 6))
	require.True(t, b.Adjust(0, 4))
	require.Zero(t, b.Free())
	require.False(t, b.Adjust(4, 7), "growth beyond the budget")
	require.EqualValues(t, -3, b.Free(), "the change is recorded in any case")
	require.True(t, b.Adjust(7, 6), "a release while the budget is exceeded")
	require.True(t, b.Adjust(6, 6), "no change")
	require.True(t, b.Adjust(6, 0))
	require.EqualValues(t, 4, b.Free())
}
