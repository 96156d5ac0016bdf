package decide

import "encoding/binary"

// A message between balancers is a byte for its form, then a line for each endpoint: a tag of two bytes and
// the values as varints. The form determines the number and the meaning of the values.

// gossipForm is the first byte of a message, which says what its lines contain.
type gossipForm byte

const (
	gossipInFlight gossipForm = 1 // values: threads of long classes, MB of memory
	// Values: age in housekeeping periods, requests in flight plus 1 (0: unreachable), percent of granted
	// memory plus 1.
	gossipReports gossipForm = 3
)

// maxGossipValue is the upper bound on the values in a message; larger ones are reduced to it. No real value
// reaches it.
const maxGossipValue = 1e9

// valuesPerLine is the number of values in a line of each form.
var valuesPerLine = map[gossipForm]int{gossipInFlight: 2, gossipReports: 3}

// gossipLine is what a message says about one endpoint.
type gossipLine struct {
	tag    uint16
	values []float64
}

// encodeGossip encodes the lines in order, as many as fit in maxBytes.
func encodeGossip(form gossipForm, lines []gossipLine, maxBytes int) []byte {
	message := []byte{byte(form)}
	for _, line := range lines {
		encoded := binary.BigEndian.AppendUint16(nil, line.tag)
		for _, value := range line.values {
			encoded = binary.AppendUvarint(encoded, uint64(min(max(value, 0), maxGossipValue)))
		}
		if len(message)+len(encoded) > maxBytes {
			break
		}
		message = append(message, encoded...)
	}
	return message
}

// decodeGossip decodes a complete message; ok is false if it is malformed.
func decodeGossip(data []byte) (form gossipForm, lines []gossipLine, ok bool) {
	if len(data) < 1 || valuesPerLine[gossipForm(data[0])] == 0 {
		return 0, nil, false
	}
	form = gossipForm(data[0])
	for rest := data[1:]; len(rest) > 0; {
		if len(rest) < 2 {
			return 0, nil, false
		}
		line := gossipLine{tag: binary.BigEndian.Uint16(rest)}
		rest = rest[2:]
		for range valuesPerLine[form] {
			value, n := binary.Uvarint(rest)
			if n <= 0 {
				return 0, nil, false
			}
			line.values = append(line.values, float64(min(value, maxGossipValue)))
			rest = rest[n:]
		}
		lines = append(lines, line)
	}
	return form, lines, true
}

// ValidGossip reports whether a message of another balancer can be decoded. Handle drops those that can't.
func ValidGossip(data []byte) bool {
	_, _, ok := decodeGossip(data)
	return ok
}

// gossipTag returns the tag that stands for an endpoint in messages. Lines about a tag that several endpoints
// of the list share are ignored.
func gossipTag(id EndpointID) uint16 { return uint16(rendezvousHash(gossipTagSalt, id)) }
