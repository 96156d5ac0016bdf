package config

import (
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The file sets every field; the expected values are those that commit d9ce9f6 read from it.
func TestEveryFieldOfTheLogSettingsIsRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/log.json")
	require.NoError(t, err)
	c, err := ParseLog(raw)
	require.NoError(t, err)
	require.Equal(t, Log{Level: slog.LevelDebug, CountersMS: 250, Schema: "../schema/log.schema.json"}, c)
	require.Equal(t, 250*time.Millisecond, c.CountersInterval())
}

func TestTooShortCountersIntervalIsAFieldError(t *testing.T) {
	_, err := ParseLog([]byte(`{"counters_every_ms": 99}`))
	var fieldError FieldError
	require.ErrorAs(t, err, &fieldError)
	require.Equal(t, "/counters_every_ms", fieldError.Pointer)
	require.EqualError(t, err, "deploy/log.json: /counters_every_ms: 99 is neither 0 nor at least 100; 0 prints them on SIGUSR1 and at exit only")
}
