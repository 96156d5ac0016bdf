package fleet

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// testdata/frames.hex was written by the release before this package was first renamed, with
//
//	go test ./internal/protocol/fleet -run TestFrameBytesUnchanged -update
var update = flag.Bool("update", false, "rewrite the fixtures")

const framesFile = "testdata/frames.hex"

func TestFrameBytesUnchanged(t *testing.T) {
	installation := InstallationID("harbour-east")
	var frames []Frame
	for _, kind := range []Kind{Announcement, RaftMessage, KeepAliveRequest, KeepAliveResponse, AdminRequest, AdminResponse, Publication} {
		frames = append(frames, Frame{Kind: kind, GroupID: 0x0102030405060708, Payload: fmt.Appendf(nil, `{"kind":%d}`, kind)})
	}
	var encodedLines strings.Builder
	for _, f := range frames {
		fmt.Fprintln(&encodedLines, hex.EncodeToString(Append(nil, installation, f)))
	}
	if *update {
		require.NoError(t, os.WriteFile(framesFile, []byte(encodedLines.String()), 0o644))
	}
	want, err := os.ReadFile(framesFile)
	require.NoError(t, err)
	require.Equal(t, string(want), encodedLines.String())
	var stream []byte
	for line := range strings.Lines(string(want)) {
		raw, err := hex.DecodeString(strings.TrimSpace(line))
		require.NoError(t, err)
		stream = append(stream, raw...)
	}
	decodedFrames, err := NewDecoder(installation).Feed(stream)
	require.NoError(t, err)
	require.Equal(t, frames, decodedFrames)
}
