package engine

import (
	"strconv"

	"aniseloft/internal/protocol/httpmsg"
)

// EncodeCancel returns the request that cancels a query.
func EncodeCancel(host, callID string) []byte {
	return httpmsg.AppendRequest(nil, "DELETE", "/data/"+callID, host, nil, nil)
}

// EncodePriority returns the request that changes a running query's priority.
func EncodePriority(host, callID string, priority int) []byte {
	return httpmsg.AppendRequest(nil, "PUT", "/data/"+callID, host, nil, strconv.AppendInt(nil, int64(priority), 10))
}

// EncodeProbe returns the request for a load report.
func EncodeProbe(host string) []byte {
	return httpmsg.AppendRequest(nil, "GET", "/-/gauges", host, nil, nil)
}

// ResponseParser parses the response to one cancel, priority or probe request.
type ResponseParser struct{ parser *httpmsg.Parser }

// NewResponseParser returns a parser of one response.
func NewResponseParser() *ResponseParser {
	return &ResponseParser{httpmsg.NewResponseParser(maxBodyBytes)}
}

// Feed takes bytes of the response. The status is 0 until the response is complete; loadReport can be parsed by
// ParseLoadReport. keepConnection reports whether the connection can carry another request.
func (p *ResponseParser) Feed(b []byte) (status int, loadReport string, keepConnection bool, err error) {
	p.parser.Feed(b)
	m, err := p.parser.Next()
	if err != nil || m == nil {
		return 0, "", false, err
	}
	return m.Status, m.Header.Get(headerLoadReport), !m.Close && p.parser.Idle(), nil
}
