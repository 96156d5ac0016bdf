package scenario

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// testdata/scenario.json is tournament-sunday with a fault that sets every field. testdata/scenario.golden is the value that
// commit d9ce9f6 parsed from it. To update the golden file: go test ./internal/emulator/scenario -update
func TestRecordedScenarioParsesToRecordedValue(t *testing.T) {
	raw, err := os.ReadFile("testdata/scenario.json")
	require.NoError(t, err)
	s, err := Parse("scenario.json", raw)
	require.NoError(t, err)
	golden.JSON(t, "testdata/scenario.golden", s)
}
