package spool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeHistory writes, seals, aborts and drops results. It returns the page counts of the results whose seal was
// acknowledged, the names of those whose drop was acknowledged, and the page counts of all that a restart may find.
func writeHistory(st *Store, now *float64) (sealedPageCounts map[string]int, droppedNames map[string]bool, possiblePageCounts map[string]int) {
	sealedPageCounts, droppedNames, possiblePageCounts = map[string]int{}, map[string]bool{}, map[string]int{}
	for k := range 14 {
		name, pageCount := fmt.Sprint("r", k), 1+k%5
		w, err := st.Begin(name, "x", "report", 10)
		if err != nil {
			continue
		}
		for i := range pageCount {
			if err = w.WritePage(pageOf(name, i)); err != nil {
				break
			}
		}
		possiblePageCounts[name] = pageCount
		switch {
		case err != nil:
			_ = w.Abort()
		case k == 11: // the result stays open
		default:
			if w.Seal() == nil {
				sealedPageCounts[name] = pageCount
			}
		}
		if k%3 == 2 {
			previousName := fmt.Sprint("r", k-1)
			possiblePageCounts[previousName] = sealedPageCounts[previousName]
			delete(sealedPageCounts, previousName)
			if st.Drop(previousName) == nil {
				droppedNames[previousName] = true
			}
		}
		*now += 10
	}
	return sealedPageCounts, droppedNames, possiblePageCounts
}

// Fails the medium at each of its operations in turn: by a crash, which loses any part of the unsynced bytes, and by
// a single error. Sealed results must be read unchanged after a restart, dropped ones must not return, and all others
// must be complete or gone; with compressed pages too.
func TestCrashAtEveryStepKeepsAcknowledgedResults(t *testing.T) {
	for _, compressed := range []bool{false, true} {
		options := func(now *float64) Options {
			o := testOptions(now)
			o.Compress = compressed
			return o
		}
		now := 0.0
		m := &faultyMedium{segments: map[uint64]*faultySegment{}}
		st, _, err := Open(m, options(&now))
		require.NoError(t, err)
		writeHistory(st, &now)
		stepCount := m.stepCount
		require.Greater(t, stepCount, 40)
		for _, transient := range []bool{false, true} { // a crash, and an error of one operation
			for step := 1; step <= stepCount; step++ {
				crashAt(t, step, transient, options)
			}
		}
	}
}

// crashAt fails the medium at one step of writeHistory and checks what a restart finds.
func crashAt(t *testing.T, step int, transient bool, options func(now *float64) Options) {
	rng := rand.New(rand.NewPCG(uint64(step), 3))
	now := 0.0
	m := &faultyMedium{segments: map[uint64]*faultySegment{}, failAt: step, transient: transient, partialPercent: rng.IntN(101)}
	st, _, err := Open(m, options(&now))
	require.NoError(t, err)
	sealedPageCounts, droppedNames, possiblePageCounts := writeHistory(st, &now)
	if transient {
		for name, pageCount := range sealedPageCounts {
			requireResult(t, st, name, pageCount)
		}
	}
	st, recovery, err := Open(m.restart(rng), options(&now))
	require.NoError(t, err, "step %d", step)
	require.Empty(t, recovery.Damage, "a truncated record is not damage")
	for name, pageCount := range sealedPageCounts {
		requireResult(t, st, name, pageCount)
	}
	for name := range droppedNames {
		_, _, err := st.Read(name, 0)
		require.ErrorIs(t, err, ErrNotFound, "%s was dropped and is read again, step %d", name, step)
	}
	for name, pageCount := range possiblePageCounts {
		if _, _, err := st.Read(name, 0); err == nil {
			requireResult(t, st, name, pageCount)
		}
	}
	requireNothingLeaked(t, st, &now, step)
}

// requireNothingLeaked checks that after all results have expired no bytes are reserved, and that no segments are left
// except those with the last tombstones.
func requireNothingLeaked(t *testing.T, st *Store, now *float64, step int) {
	*now += 10000
	_, err := st.Expire()
	require.NoError(t, err)
	u := st.Usage()
	require.Zero(t, u.Results)
	require.Zero(t, u.ReservedBytes)
	require.LessOrEqual(t, u.Segments, 2, "step %d: %+v", step, u)
}
