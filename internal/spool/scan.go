package spool

import (
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Damage is a fault that was found in a segment.
type Damage struct {
	Segment uint64 `json:"segment"`
	Offset  int64  `json:"offset"`
	Result  string `json:"result,omitempty"` // name of the result, or its ID if the name is unknown
	Page    int    `json:"page"`
	Problem string `json:"problem"`
}

func (d Damage) String() string {
	return fmt.Sprintf("segment %016x, offset %d, page %d: %s", d.Segment, d.Offset, d.Page, d.Problem)
}

// scan reads a segment's records in order and calls visit for each of them. It reads and verifies the payloads of seals
// and, if verifyPages is set, those of all records. A corrupt seal is skipped; for other records with a corrupt payload,
// visit is called with a nil payload. scan returns the offset at which the last complete record ends. A truncated record
// after that is not damage, as a crash during a write leaves one.
func scan(segment uint64, file io.ReaderAt, size int64, verifyPages bool, visit func(h header, at location, payload []byte)) (endOffset int64, damage []Damage) {
	var buffer [headerSize]byte
	for endOffset < size {
		h, err := readHeader(file, buffer[:], endOffset, size)
		if errors.Is(err, errTruncated) {
			return endOffset, damage
		}
		if err != nil {
			return endOffset, append(damage, Damage{Segment: segment, Offset: endOffset, Problem: err.Error()})
		}
		at := location{segment: segment, offset: endOffset, length: h.length, checksum: h.checksum, flags: h.flags}
		var payload []byte
		if verifyPages || h.kind == kindSeal {
			if payload, err = readPayload(file, at); errors.Is(err, errCorruptPayload) {
				damage = append(damage, Damage{segment, endOffset, fmt.Sprintf("%x", h.resultID), int(h.page), err.Error()})
			} else if err != nil {
				return endOffset, append(damage, Damage{Segment: segment, Offset: endOffset, Page: int(h.page), Problem: err.Error()})
			}
		}
		if h.kind != kindSeal || payload != nil {
			visit(h, at, payload)
		}
		endOffset += at.size()
	}
	return endOffset, damage
}

// readHeader reads the header at an offset. It returns errTruncated if the record extends beyond the segment's size.
func readHeader(file io.ReaderAt, buffer []byte, offset, size int64) (header, error) {
	readCount, err := file.ReadAt(buffer[:min(headerSize, size-offset)], offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return header{}, err
	}
	h, err := parseHeader(buffer[:readCount])
	if err == nil && offset+headerSize+int64(h.length) > size {
		return header{}, errTruncated
	}
	return h, err
}

// readPayload returns a record's payload, or nil and errCorruptPayload.
func readPayload(file io.ReaderAt, at location) ([]byte, error) {
	payload := make([]byte, at.length)
	if _, err := file.ReadAt(payload, at.payloadOffset()); err != nil {
		return nil, err
	}
	if xxhash.Sum64(payload) != at.checksum {
		return nil, errCorruptPayload
	}
	return payload, nil
}
