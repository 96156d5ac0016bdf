package drill

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// testdata/every-field.json sets every field. testdata/drill.golden holds the value that commit d9ce9f6 read from it. To update
// the golden file: go test ./internal/drill -update
func TestRecordedDrillIsReadCompletely(t *testing.T) {
	raw, err := os.ReadFile("testdata/every-field.json")
	require.NoError(t, err)
	d, err := Parse("drill.json", raw)
	require.NoError(t, err)
	golden.JSON(t, "testdata/drill.golden", d)
}
