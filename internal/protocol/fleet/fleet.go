// Package fleet encodes and decodes the frames that coordinators of one installation exchange over TCP: raft messages,
// keep-alive requests and responses, publications and operators' requests. It does no I/O: the decoder is fed bytes.
//
// A frame is a header of 36 bytes and a payload. Numbers are little-endian.
//
//	offset  size  field
//	     0     3  "AFL"
//	     3     1  version
//	     4     1  kind
//	     5     3  zero
//	     8     8  installation
//	    16     8  consensus group; 0: none
//	    24     4  length of the payload
//	    28     8  xxHash64 of the header before this field and of the payload
//
// A stream that violates the protocol, or is of another installation or version, results in an error, after which the
// connection must be closed.
package fleet

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of the frames that this release writes and reads.
const Version = 1

// Kind is the type of message that a frame carries.
type Kind byte

// Kinds of frames. All but RaftMessage carry the JSON of the type of that name in internal/lease.
const (
	Announcement Kind = iota + 1
	RaftMessage       // protobuf
	KeepAliveRequest
	KeepAliveResponse
	AdminRequest
	AdminResponse
	Publication // JSON of leasebackend.Publication
	endOfKinds
)

// MaxPayload is the maximum size of a payload in bytes. It bounds the memory that a peer can make this program
// use, and is enough for a list of some thousand engines.
const MaxPayload = 4 << 20

// Header fields.
const (
	magic              = "AFL"
	offsetVersion      = 3
	offsetKind         = 4
	offsetInstallation = 8
	offsetGroup        = 16
	offsetLength       = 24
	offsetChecksum     = 28
	headerSize         = 36
)

// Errors of Decoder.Feed and Frame.Decode.
var (
	ErrNotAFrame         = errors.New("fleet: not a frame of this program")
	ErrVersion           = errors.New("fleet: unsupported frame version")
	ErrOtherInstallation = errors.New("fleet: frame of another installation")
	ErrTooLarge          = errors.New("fleet: frame too large")
	ErrChecksum          = errors.New("fleet: frame checksum mismatch")
	ErrMalformed         = errors.New("fleet: malformed payload")
)

// Frame is one message between coordinators.
type Frame struct {
	Kind    Kind
	GroupID uint64 // consensus group of a RaftMessage; otherwise 0
	Payload []byte
}

// InstallationID returns the number of an installation in frames, which is a hash of its name.
func InstallationID(name string) uint64 { return xxhash.Sum64String("aniseloft installation " + name) }

// Append appends an encoded frame to b.
func Append(b []byte, installation uint64, f Frame) []byte {
	frameStart := len(b)
	b = append(b, magic...)
	b = append(b, Version, byte(f.Kind), 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, installation)
	b = binary.LittleEndian.AppendUint64(b, f.GroupID)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = binary.LittleEndian.AppendUint64(b, checksum(b[frameStart:], f.Payload))
	return append(b, f.Payload...)
}

// AppendJSON appends an encoded frame whose payload is the JSON of v. v must be a type that always encodes.
func AppendJSON(b []byte, installation uint64, kind Kind, v any) []byte {
	raw, _ := json.Marshal(v)
	return Append(b, installation, Frame{Kind: kind, Payload: raw})
}

func checksum(header, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(header[:offsetChecksum])
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// Decode decodes a JSON payload into v. The error wraps ErrMalformed.
func (f Frame) Decode(v any) error {
	if err := json.Unmarshal(f.Payload, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Decoder splits a stream of bytes into the frames of one installation. It is not safe for concurrent use.
type Decoder struct {
	installation uint64 // frames of other installations are rejected
	buf          []byte // received bytes that do not form a complete frame yet
	err          error  // the first error in the stream, which every later Feed returns
}

// NewDecoder returns a decoder for a new connection.
func NewDecoder(installation uint64) *Decoder { return &Decoder{installation: installation} }

// Feed takes received bytes and returns the frames that are complete by now. With an error it returns the frames before
// it; every later call returns the same error. A payload is valid until the next call.
func (d *Decoder) Feed(b []byte) (frames []Frame, err error) {
	if d.err != nil {
		return nil, d.err
	}
	d.buf = append(d.buf, b...)
	for {
		f, size, err := d.next()
		if err != nil {
			d.err = err
			return frames, err
		}
		if size == 0 {
			break
		}
		d.buf = d.buf[size:]
		if f.Kind > 0 && f.Kind < endOfKinds { // a later release may send more kinds
			frames = append(frames, f)
		}
	}
	if len(d.buf) == 0 {
		d.buf = nil
	}
	return frames, nil
}

// next decodes the frame at the start of the buffer; size is 0 while the frame is incomplete.
func (d *Decoder) next() (f Frame, size int, err error) {
	if len(d.buf) < headerSize {
		return f, 0, nil
	}
	header := d.buf[:headerSize]
	if err := d.checkHeader(header); err != nil {
		return f, 0, err
	}
	size = headerSize + payloadLength(header)
	if len(d.buf) < size {
		return f, 0, nil
	}
	f = Frame{
		Kind:    Kind(header[offsetKind]),
		GroupID: binary.LittleEndian.Uint64(header[offsetGroup:]),
		Payload: d.buf[headerSize:size:size],
	}
	if binary.LittleEndian.Uint64(header[offsetChecksum:]) != checksum(header, f.Payload) {
		return f, 0, ErrChecksum
	}
	return f, size, nil
}

// checkHeader checks the fields that do not depend on the payload, so that a foreign stream is rejected early.
func (d *Decoder) checkHeader(header []byte) error {
	switch {
	case string(header[:len(magic)]) != magic:
		return ErrNotAFrame
	case header[offsetVersion] != Version:
		return fmt.Errorf("%w: %d, this release supports %d", ErrVersion, header[offsetVersion], Version)
	case binary.LittleEndian.Uint64(header[offsetInstallation:]) != d.installation:
		return ErrOtherInstallation
	case payloadLength(header) > MaxPayload:
		return ErrTooLarge
	}
	return nil
}

func payloadLength(header []byte) int { return int(binary.LittleEndian.Uint32(header[offsetLength:])) }
