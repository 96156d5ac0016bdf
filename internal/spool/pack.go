package spool

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// packs is zstd, made once it is first needed: its tables are some MB, which a
// coordinator whose spool does not pack never holds.
var packs = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)) // no option can fail
	dec, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRecord))
	return enc, dec
})

// packPays is how much smaller a packed page must be to be kept packed: below that,
// unpacking each read costs more than the room is worth.
const packPays = 8 // at least an eighth smaller

// pack is a page as it is to lie, with its flags: packed where that pays, else as it is.
func pack(b []byte, on bool) ([]byte, byte) {
	if !on || len(b) < 64 {
		return b, 0
	}
	enc, _ := packs()
	c := enc.EncodeAll(b, make([]byte, 0, len(b)))
	if len(c) > len(b)-len(b)/packPays {
		return b, 0
	}
	return c, flagZstd
}

// unpack checks a payload as it lay and gives the page back; where packed, unpacked.
func unpack(at place, stored []byte) ([]byte, error) {
	if xxhash.Sum64(stored) != at.sum {
		return nil, errSpoil
	}
	if at.flags&flagZstd == 0 {
		return stored, nil
	}
	_, dec := packs()
	b, err := dec.DecodeAll(stored, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSpoil, err)
	}
	return b, nil
}
