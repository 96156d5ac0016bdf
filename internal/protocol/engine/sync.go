package engine

import "aniseloft/internal/protocol/httpmsg"

// statusNoContent is the answer to calls that change a query, and to no others.
const statusNoContent = 204

// encodeSync returns a call whose answer shows that no earlier answer is due on the connection any more: engines answer in
// the order of the calls, and no call that polls a query is answered like this one. It sets the priority of the query that
// has just ended, which changes nothing.
func (q *Query) encodeSync() []byte {
	return EncodePriority(q.host, q.start.CallID, max(q.start.Priority, 0))
}

// IsSyncAnswer reports whether the bytes received after a Step's SyncCall are exactly its answer.
func IsSyncAnswer(received []byte) bool {
	parser := httpmsg.NewResponseParser(maxBodyBytes)
	parser.Feed(received)
	m, err := parser.Next()
	return err == nil && m != nil && m.Status == statusNoContent && !m.Close && parser.Idle()
}
