package fleet

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFeedReassemblesFramesFromAnyChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want []Frame
		for range rapid.IntRange(0, 5).Draw(t, "frames") {
			f := Frame{Kind: Kind(rapid.IntRange(1, int(endOfKinds)-1).Draw(t, "kind")), GroupID: rapid.Uint64().Draw(t, "group"),
				Payload: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload")}
			stream, want = Append(stream, 7, f), append(want, f)
		}
		d := NewDecoder(7)
		var got []Frame
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			frames, err := d.Feed(stream[:n])
			require.NoError(t, err)
			for _, f := range frames {
				f.Payload = bytes.Clone(f.Payload) // valid until the next Feed
				got = append(got, f)
			}
			stream = stream[n:]
		}
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, want[i].Kind, got[i].Kind)
			require.Equal(t, want[i].GroupID, got[i].GroupID)
			require.Equal(t, string(want[i].Payload), string(got[i].Payload))
		}
	})
}

// A foreign or corrupted stream must result in a typed error, and no later frame may be decoded.
func TestFeedRejectsForeignStreams(t *testing.T) {
	valid := AppendJSON(nil, 7, KeepAliveRequest, map[string]int{"a": 1})
	withBitFlipped := func(offset int) []byte {
		b := bytes.Clone(valid)
		b[offset] ^= 0x40
		return b
	}
	tooLarge := bytes.Clone(valid)
	tooLarge[offsetLength+3] = 0xff
	for name, c := range map[string]struct {
		raw  []byte
		want error
	}{
		"http":                 {append([]byte("GET /journal?tail=0 HTTP/1.1\r\n"), make([]byte, 40)...), ErrNotAFrame},
		"another version":      {withBitFlipped(offsetVersion), ErrVersion},
		"another installation": {AppendJSON(nil, 8, KeepAliveRequest, 1), ErrOtherInstallation},
		"too large":            {tooLarge, ErrTooLarge},
		"corrupted payload":    {withBitFlipped(len(valid) - 1), ErrChecksum},
		"corrupted kind":       {withBitFlipped(offsetKind), ErrChecksum},
		"corrupted group ID":   {withBitFlipped(offsetGroup + 1), ErrChecksum},
	} {
		d := NewDecoder(7)
		frames, err := d.Feed(append(c.raw, valid...))
		require.ErrorIs(t, err, c.want, name)
		require.Empty(t, frames, name)
		frames, err = d.Feed(valid)
		require.Error(t, err, name)
		require.Empty(t, frames, name)
	}
	incomplete, err := NewDecoder(7).Feed(valid[:len(valid)-1])
	require.NoError(t, err)
	require.Empty(t, incomplete)
}
