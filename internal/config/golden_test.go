package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// The inputs set every field. The golden files hold the values that commit d9ce9f6 read from them. To write them anew:
// go test ./internal/config -update
func TestRecordedFilesAreReadCompletely(t *testing.T) {
	raw, err := os.ReadFile("testdata/log.golden.json")
	require.NoError(t, err)
	log, err := ParseLog(raw)
	require.NoError(t, err)
	golden.JSON(t, "testdata/log.config.golden", log)

	raw, err = os.ReadFile("testdata/rest.golden.json")
	require.NoError(t, err)
	rest, err := ParseREST(raw, []string{"trino"}, []string{"trip-lookup"})
	require.NoError(t, err)
	golden.JSON(t, "testdata/rest.config.golden", rest)
}
