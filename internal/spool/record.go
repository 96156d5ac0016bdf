package spool

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A segment is a sequence of records. A record is a header of fixed size, with a checksum of its own so that a corrupt page
// can be skipped, and a payload. Sizes in bytes, numbers little-endian:
//
//	magic 4, kind 1, flags 1, unused 2, result 16, page 4, length 4, xxhash of payload 8, xxhash of header 8
//
// The payload's checksum covers the bytes as stored; a compressed page is verified before it is decompressed.
const (
	magic          = 0x314c5053 // "SPL1"
	headerSize     = 48
	maxRecordBytes = 64 << 20

	// Offsets in a header.
	kindOffset           = 4
	flagsOffset          = 5
	idOffset             = 8
	pageOffset           = 24
	lengthOffset         = 28
	checksumOffset       = 32
	headerChecksumOffset = 40
)

// recordKind tells what a record holds.
type recordKind byte

const (
	kindPage      recordKind = 1 // the payload is a page, the page field holds its number
	kindSeal      recordKind = 2 // the result is complete; the payload is a sealRecord, the page field holds the number of pages
	kindTombstone recordKind = 3 // the result is dropped, regardless of its other records
)

// flagZstd marks a payload compressed with zstd.
const flagZstd = 1

// ID identifies a result. The ID of a dropped result is not used again.
type ID [16]byte

// IDFromName returns the ID of the result with this name; any string is a valid name.
func IDFromName(name string) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:], xxhash.Sum64String(name))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String("\x00"+name))
	return id
}

// header is the header of a record.
type header struct {
	kind     recordKind
	flags    byte
	resultID ID
	page     uint32 // number of the page, from 0; in a seal, the number of pages
	length   uint32 // size of the payload in bytes
	checksum uint64 // xxhash of the payload
}

// location tells where a record is stored, with the header fields that are needed to read its payload.
type location struct {
	segment  uint64 // number of the segment
	offset   int64  // offset of the header in the segment, in bytes
	length   uint32 // size of the payload in bytes
	checksum uint64 // xxhash of the payload
	flags    byte   // flags of the header: flagZstd or 0
}

func (l location) size() int64          { return headerSize + int64(l.length) }
func (l location) payloadOffset() int64 { return l.offset + headerSize }

// appendRecord appends a record to b. The header's length is taken from the payload.
func appendRecord(b []byte, h header, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = append(b, byte(h.kind), h.flags, 0, 0)
	b = append(b, h.resultID[:]...)
	b = binary.LittleEndian.AppendUint32(b, h.page)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, h.checksum)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[start:start+headerChecksumOffset]))
	return append(b, payload...)
}

// Errors of reading records. Damage.Problem holds their texts, except for a truncated record, which is not damage.
var (
	errTruncated      = errors.New("the record is truncated")
	errCorruptHeader  = errors.New("the record's header is corrupt")
	errCorruptPayload = errors.New("the page's bytes are corrupt")
)

func parseHeader(b []byte) (h header, err error) {
	if len(b) < headerSize {
		return h, errTruncated
	}
	headerChecksum := binary.LittleEndian.Uint64(b[headerChecksumOffset:])
	if binary.LittleEndian.Uint32(b) != magic || headerChecksum != xxhash.Sum64(b[:headerChecksumOffset]) {
		return h, errCorruptHeader
	}
	h = header{
		kind: recordKind(b[kindOffset]), flags: b[flagsOffset], page: binary.LittleEndian.Uint32(b[pageOffset:]),
		length: binary.LittleEndian.Uint32(b[lengthOffset:]), checksum: binary.LittleEndian.Uint64(b[checksumOffset:]),
	}
	copy(h.resultID[:], b[idOffset:])
	if h.kind < kindPage || h.kind > kindTombstone || h.length > maxRecordBytes || h.flags&^flagZstd != 0 {
		return h, errCorruptHeader
	}
	return h, nil
}

// sealRecord is the payload of a seal.
type sealRecord struct {
	Name       string  `json:"name"`
	Owner      string  `json:"owner"`
	Class      string  `json:"class"`
	Bytes      int64   `json:"bytes"` // stored size of the pages
	SealedAtMS float64 `json:"at_ms"` // Unix ms
}

func parseSeal(payload []byte) (s sealRecord, err error) {
	if err = json.Unmarshal(payload, &s); err != nil {
		return s, fmt.Errorf("seal: %w", err)
	}
	return s, nil
}
