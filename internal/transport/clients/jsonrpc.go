package clients

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"aniseloft/internal/memory"
	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/netconn"
)

const (
	// jsonrpcIdleTimeout is how long a connection without open requests is kept. Clients close an idle
	// connection after 4 s.
	jsonrpcIdleTimeout = 5 * time.Second
	// rejectionPause is how long handling of a connection's messages stops after a message was rejected: a
	// client that sends invalid messages at full speed must not overload the dispatcher.
	rejectionPause = 20 * time.Millisecond
	// maxOpenPerConnection is the maximum number of open requests on a connection.
	maxOpenPerConnection = 32
)

// errTooMuchUnhandled is returned where a connection's unhandled messages exceed what a line may hold.
var errTooMuchUnhandled = errors.New("too many bytes of unhandled messages")

// JSONRPCServer serves the platform's JSON-RPC protocol.
type JSONRPCServer struct {
	Dispatcher *routing.Dispatcher
	Drain      DrainPolicy
	Input      *InputMemory  // for incomplete and unhandled messages of all clients
	Output     *OutputMemory // for queued answers to all clients
	Log        *slog.Logger
}

// jsonrpcConn is one connection. Its reader, the goroutine of Serve, reads and handles messages; its
// writer writes the queued answers. Both the reader and the dispatcher's goroutine queue answers.
type jsonrpcConn struct {
	server *JSONRPCServer
	conn   *listener.Conn
	// answers is the writer's queue; queue sends to it and closes it, under mu.
	answers    chan queuedAnswer
	output     *connOutput
	statements *memory.Account // for the statements of the client's requests

	mu            sync.Mutex            // guards answersClosed and openRequests
	answersClosed bool                  // nothing more may be queued
	openRequests  map[string]*responder // by id

	// The fields below are used by the reader only.
	parser             jsonrpc.Parser
	input              *connInput // memory for the messages that are incomplete or unhandled
	rejectedSincePause bool       // a message was rejected since the last pause
	pendingBatches     []batch    // messages that are read and not yet handled
	pendingSize        int        // size of the messages that were read during a pause and are pending, in bytes
}

// batch holds the messages of one read that are not yet handled.
type batch struct {
	messages   []jsonrpc.Message
	size       int       // size of the messages in bytes, for a batch that was read during a pause; 0 for others
	receivedAt time.Time // when the last byte of the batch was read
}

// Serve serves one client until it disconnects or ctx ends.
func (s *JSONRPCServer) Serve(ctx context.Context, c *listener.Conn) {
	j := &jsonrpcConn{server: s, conn: c, answers: make(chan queuedAnswer, maxQueuedAnswers), openRequests: map[string]*responder{}, statements: s.Dispatcher.NewStatementOwner()}
	j.input = s.Input.forConn(c)
	j.output = s.Output.forConn(func() { _ = c.Close() })
	buffered := netconn.New(c, netconn.SmallBuffer)
	writerEnded := make(chan struct{})
	go func() { defer close(writerEnded); j.writeAnswers(buffered) }()
	stopInterrupt := context.AfterFunc(ctx, func() { netconn.InterruptRead(c) })
	err := j.readMessages(ctx, buffered)
	stopInterrupt()
	s.Log.Debug("client connection closed", "err", err)
	j.input.release()
	j.cancelAll()
	<-writerEnded
	if errors.Is(err, errTooMuchUnhandled) || errors.Is(err, errInputMemoryInUse) || errors.Is(err, jsonrpc.ErrLineTooLong) {
		netconn.Linger(c.Conn, listener.RetransmitWindow) // the client may still be sending, and must get the answer that states the reason
	}
}

// readMessages reads and handles messages until the connection is to be closed, and returns the reason.
func (j *jsonrpcConn) readMessages(ctx context.Context, bufferedConn *netconn.Conn) error {
	for {
		b, readAt, err := j.conn.ReadBytes(ctx, bufferedConn, jsonrpcIdleTimeout, j.server.Drain.Draining)
		if err == nil {
			err = j.reserveInput(len(b))
		}
		if err != nil {
			return err
		}
		err = j.parse(b, readAt, false)
		for len(j.pendingBatches) > 0 {
			j.handleBatch(j.takePendingBatch())
			j.input.shrink(j.bufferedBytes())
			if err == nil && j.rejectedSincePause {
				err = j.pauseHandling(ctx, bufferedConn)
			}
			if err != nil {
				return err
			}
		}
	}
}

// reserveInput makes room for bytes that have been read. Where there is none for a while, the message that they belong to
// is discarded, and rejected at its end.
func (j *jsonrpcConn) reserveInput(readSize int) error {
	if j.parser.Discarding() {
		return nil
	}
	err := j.input.reserve(j.bufferedBytes()+readSize, inputMaxWait)
	if !errors.Is(err, errInputMemoryInUse) {
		return err
	}
	if j.parser.Discard() {
		j.input.memory.rejected.Add(1)
		return nil
	}
	return j.input.reserve(j.bufferedBytes()+readSize, anonymousMaxWait)
}

// bufferedBytes returns the size of the connection's incomplete and unhandled messages.
func (j *jsonrpcConn) bufferedBytes() int { return j.parser.Buffered() + j.pendingSize }

// takePendingBatch removes the first pending batch and returns it. It leaves no reference to its messages behind: a
// connection must not keep statements that it has submitted.
func (j *jsonrpcConn) takePendingBatch() batch {
	first := j.pendingBatches[0]
	j.pendingBatches[0] = batch{}
	j.pendingBatches = j.pendingBatches[1:]
	return first
}

func (j *jsonrpcConn) handleBatch(b batch) {
	for _, msg := range b.messages {
		j.handle(msg, b.receivedAt)
	}
	j.pendingSize -= b.size
	j.conn.AddUnhandled(-len(b.messages))
}

// parse splits bytes that were read into messages and appends them to the pending ones. Cancellations
// are handled at once, before the messages that are pending. duringPause says that the bytes were read
// by pauseHandling; only they count against the limit of unhandled bytes.
func (j *jsonrpcConn) parse(b []byte, receivedAt time.Time, duringPause bool) error {
	unparsedSize := j.parser.Buffered() + len(b)
	messages, err := j.parser.Feed(b)
	j.conn.RecordRead(len(messages) > 0, j.parser.Incomplete())
	latestBatch := batch{receivedAt: receivedAt}
	if duringPause {
		latestBatch.size = unparsedSize - j.parser.Buffered()
	}
	for _, msg := range messages {
		if m, ok := msg.(jsonrpc.Cancel); ok {
			j.cancel(m.ID, &latestBatch)
		} else {
			latestBatch.messages = append(latestBatch.messages, msg)
		}
	}
	j.conn.AddUnhandled(len(latestBatch.messages))
	j.pendingSize += latestBatch.size
	j.pendingBatches = append(j.pendingBatches, latestBatch)
	if err == nil && duringPause && j.bufferedBytes() > jsonrpc.MaxLineBytes {
		err = errTooMuchUnhandled
	}
	return err
}

// pauseHandling handles no messages for rejectionPause. While there is memory for unhandled messages it keeps reading
// the connection, so that a disconnect or a cancellation is noticed even behind many of them.
func (j *jsonrpcConn) pauseHandling(ctx context.Context, bufferedConn *netconn.Conn) error {
	j.rejectedSincePause = false
	pauseEnd := time.Now().Add(rejectionPause)
	for {
		if !j.input.tryReserve(j.bufferedBytes() + netconn.SmallBuffer) {
			return j.pauseReading(ctx, pauseEnd)
		}
		b, err := bufferedConn.Read(ctx, pauseEnd)
		if ctx.Err() != nil || netconn.IsTimeout(err) {
			return nil
		}
		if err == nil {
			err = j.parse(b, time.Now(), true)
		}
		if err != nil {
			return err
		}
	}
}

// pauseReading waits until pauseEnd without reading the connection. It returns an error if the client has disconnected.
func (j *jsonrpcConn) pauseReading(ctx context.Context, pauseEnd time.Time) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(pauseEnd)):
	}
	if netconn.PeerClosed(j.conn.Conn) {
		return errClientLeft
	}
	return nil
}
