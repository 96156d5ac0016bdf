package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/pgtest"
)

func TestRecordInPostgres(t *testing.T) {
	t.Parallel()
	pg := pgtest.NewServer(t)
	dsn := pg.DSN
	p, e, j := startWithOneEngineAndStore(t, dsn)
	first := p.post("timetable-load", "k1", "it's done")
	_, text := followPages(t, first)
	require.Equal(t, "a\tb\tc\n", text)
	open := p.post("timetable-load", "k2", "stay")
	require.Equal(t, 409, p.post("timetable-load", "k2", "other").status)
	require.True(t, isRejected(t, p.post("trip-lookup", "k3", "full")))
	require.Equal(t, 3, e.count(&e.attempts, "full"))
	p.kill()
	q := startWithStore(t, p.dir, j, dsn)
	again, same := followPages(t, q.post("timetable-load", "k1", "it's done"))
	require.Equal(t, first.ID, again.ID)
	require.Equal(t, text, same)
	end, _ := followPages(t, q.post("timetable-load", "k2", "stay"))
	require.Equal(t, open.ID, end.ID)
	require.Equal(t, "GENERIC_INTERNAL_ERROR", end.Error.ErrorName)
	require.Equal(t, 1, e.count(&e.attempts, "stay"))
	pg.Unavailable.Store(true) // while the store is unavailable, statements are rejected and not sent
	require.Equal(t, 429, q.post("trip-lookup", "", "unsent").status)
	require.Zero(t, e.count(&e.attempts, "unsent"))
}
