package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against refusing an owner below its equal quota because others have used the budget up.
func TestQuotaIsGuaranteedWhenOthersUseThePoolUp(t *testing.T) {
	const limit, owners, quota = 4000, 10, 200
	b := NewBudget(limit, owners)
	for range owners - 1 {
		hog := b.NewAccount()
		for {
			if _, ok := hog.Reserve(50); !ok {
				break
			}
		}
	}
	late := b.NewAccount()
	for range quota / 50 {
		_, ok := late.Reserve(50)
		require.True(t, ok)
	}
}

// One owner leaves room in the pool, so that the next one gets some as well.
func TestOneOwnerCannotTakeTheWholePool(t *testing.T) {
	b := NewBudget(4000, 10)
	hog, other := b.NewAccount(), b.NewAccount()
	_, ok := hog.Reserve(200 + 1000)
	require.True(t, ok)
	_, ok = hog.Reserve(1)
	require.False(t, ok, "half of the pool")
	_, ok = other.Reserve(200 + 500)
	require.True(t, ok)
	require.Equal(t, "used=1900 limit=4000 rejected=1", b.String())
}

// A reservation that outlives its owner still counts; where owners come again and again the total stays within the budget.
func TestReservationsNeverExceedTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, owners = 1000, 4
		b := NewBudget(limit, owners)
		accounts := make([]*Account, owners)
		var held []*Reservation
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, owners-1).Draw(t, "owner")
			if accounts[i] == nil || rapid.Bool().Draw(t, "new owner") {
				accounts[i] = b.NewAccount()
			}
			if r, ok := accounts[i].Reserve(rapid.IntRange(0, 400).Draw(t, "bytes")); ok {
				held = append(held, r)
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				held[0].Release()
				held[0].Release() // without effect
				held = held[1:]
			}
			total := 0
			for _, r := range held {
				total += r.guaranteed + r.pooled
			}
			require.Equal(t, total, b.Used())
			require.LessOrEqual(t, total, limit)
		}
		for _, r := range held {
			r.Release()
		}
		require.Zero(t, b.Used())
	})
}
