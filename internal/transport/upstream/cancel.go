package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/netconn"
)

// orphanTimeout is how long an endpoint runs a query that is no longer polled: the protocol's time limit of
// 2 s plus protocolSlack.
const orphanTimeout = 2*time.Second + protocolSlack

// abandon cancels an attempt that has ended without an answer from its endpoint, and returns its result. For an
// exclusive attempt it returns only once the endpoint can't be running it any more, unless the deadline has
// passed.
func (e *engineClient) abandon(ctx context.Context, a routing.AttemptSpec, err error, cancel func()) routing.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The client's answer is due now and must not wait for the cancellation.
		go cancel()
		return routing.Result{Outcome: decide.OutcomeTimeout, Reason: "deadline"}
	}
	if ctx.Err() != nil {
		cancel()
		return routing.Result{Outcome: decide.OutcomeCancelled}
	}
	cancelLostAttempt(a, cancel)
	return lostResult(err)
}

// cancelLostAttempt cancels an attempt whose answers were lost. It waits for the cancellation where no other attempt
// may run at the same time.
func cancelLostAttempt(a routing.AttemptSpec, cancel func()) {
	if a.Exclusive {
		cancel()
	} else {
		go cancel()
	}
}

// prepareCancel returns a function that cancels an attempt at its endpoint. From now on, further attempts of
// the call at that address wait until the function has returned. requestDeadline is the time after which the
// request has no attempts.
func (e *engineClient) prepareCancel(a routing.AttemptSpec, lastCallAt, requestDeadline time.Time) (cancel func()) {
	endCancellation := e.conns.pool.cancellations.begin(e.addr, a.CallID, requestDeadline)
	return func() {
		attemptEndsBy := netconn.Earlier(lastCallAt.Add(orphanTimeout), requestDeadline)
		endCancellation(e.sendCancel(engine.EncodeCancel(e.addr, a.CallID), a.Exclusive, attemptEndsBy))
	}
}

// sendCancel makes the call that cancels an attempt. For an exclusive attempt it repeats the call until it is
// answered, the connection is refused because the endpoint's process has ended, or the time attemptEndsBy is reached,
// by which the endpoint has ended the attempt without a cancellation.
func (e *engineClient) sendCancel(message []byte, exclusive bool, attemptEndsBy time.Time) error {
	deadline := time.Now().Add(shortCallTimeout)
	if exclusive && attemptEndsBy.After(deadline) {
		deadline = attemptEndsBy
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for {
		_, _, err := e.makeShortCall(ctx, newChange(message))
		if err == nil || !exclusive || errors.Is(err, syscall.ECONNREFUSED) || !time.Now().Before(attemptEndsBy) {
			return err
		}
		time.Sleep(descriptorRetryInterval)
	}
}
