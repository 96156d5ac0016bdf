package clients

import (
	"time"

	"aniseloft/internal/transport/netconn"
)

const (
	// maxQueuedAnswers is the maximum number of answers that wait for a connection's writer.
	maxQueuedAnswers = 4 * maxOpenPerConnection
	// jsonrpcWriteTimeout limits one write: a client that does not read an answer is disconnected.
	jsonrpcWriteTimeout = 5 * time.Second
)

// queuedAnswer is an encoded answer that waits for a connection's writer.
type queuedAnswer struct {
	bytes    []byte
	queuedAt time.Time
}

func (j *jsonrpcConn) send(answer []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queue(answer)
}

// queue queues an answer for the writer and never waits. Where the connection's queue is full, its client does not read
// its answers and is disconnected; where the memory for answers is used up, another connection may be. The caller
// holds j.mu.
func (j *jsonrpcConn) queue(answer []byte) {
	if j.answersClosed {
		return
	}
	now := time.Now()
	if j.output.add(len(answer), now) {
		select {
		case j.answers <- queuedAnswer{answer, now}:
			return
		default:
			j.output.remove(len(answer))
		}
	}
	j.answersClosed = true
	close(j.answers)
	_ = j.conn.Close()
}

// writeAnswers writes queued answers until the queue is closed. After an error it closes the connection
// and discards answers until then.
func (j *jsonrpcConn) writeAnswers(bufferedConn *netconn.Conn) {
	var err error
	for answer := range j.answers {
		if err == nil {
			j.output.begin(answer.queuedAt)
			err = j.write(bufferedConn, answer.bytes)
		}
		if err != nil {
			_ = j.conn.Close()
		}
		j.output.remove(len(answer.bytes))
	}
	_ = bufferedConn.Flush()
}

// write writes one answer. It flushes only where no further answer is queued, so that several are sent
// together.
func (j *jsonrpcConn) write(bufferedConn *netconn.Conn, answer []byte) error {
	if err := j.conn.SetWriteDeadline(time.Now().Add(jsonrpcWriteTimeout)); err != nil {
		return err
	}
	if err := bufferedConn.Buffer(answer); err != nil || len(j.answers) > 0 {
		return err
	}
	return bufferedConn.Flush()
}
