package spool

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// zstdCodec creates the encoder and decoder at first use: their tables take some MB, which a coordinator that does not
// compress pages never allocates.
var zstdCodec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)) // none of these options can fail
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRecordBytes))
	return encoder, decoder
})

const (
	// minCompressBytes is the smallest page that is compressed: smaller ones save too little to be worth the call.
	minCompressBytes = 64
	// minSavingDenominator is the denominator of the smallest saving for which a page is stored compressed, an eighth:
	// with less, decompressing the page at each read would cost more than the saved bytes are worth.
	minSavingDenominator = 8
)

// compress returns a page in the form in which it is stored, and the flags of its record.
func compress(page []byte, enabled bool) (stored []byte, flags byte) {
	if !enabled || len(page) < minCompressBytes {
		return page, 0
	}
	encoder, _ := zstdCodec()
	compressed := encoder.EncodeAll(page, make([]byte, 0, len(page)))
	if len(compressed) > len(page)-len(page)/minSavingDenominator {
		return page, 0
	}
	return compressed, flagZstd
}

// decompress verifies the checksum of a stored payload and returns the page.
func decompress(at location, stored []byte) ([]byte, error) {
	if xxhash.Sum64(stored) != at.checksum {
		return nil, errCorruptPayload
	}
	if at.flags&flagZstd == 0 {
		return stored, nil
	}
	_, decoder := zstdCodec()
	page, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptPayload, err)
	}
	return page, nil
}
