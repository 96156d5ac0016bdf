package engine

import (
	"github.com/cespare/xxhash/v2"

	"aniseloft/internal/protocol/httpmsg"
)

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

// ResultDigest is a hash of the first page of a result and of its figures. A query whose result has the digest of the result
// before it on the connection may have received a duplicate of that, however late, as responses do not name their query.
type ResultDigest uint64

// ResultDigest returns the digest of the query's result, or 0 if it has none.
func (q *Query) ResultDigest() ResultDigest { return q.digest }

func digestResult(m *httpmsg.Message) ResultDigest {
	hash := xxhash.New()
	for _, name := range []string{headerPageCount, headerWorkMS, headerMemoryMB} {
		_, _ = hash.WriteString(m.Header.Get(name) + "\n")
	}
	_, _ = hash.Write(m.Body)
	return ResultDigest(hash.Sum64())
}
