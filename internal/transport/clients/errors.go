package clients

import "errors"

// Errors for which a server rejects a request without the dispatcher. Each protocol converts them to
// its answers in one place: jsonrpcConn.errorAnswer and RESTServer.errorAnswer.
var (
	errUnknownClass      = errors.New("unknown class of queries")
	errKeyRequired       = errors.New("idempotency key required")
	errDraining          = errors.New("draining")
	errIDInUse           = errors.New("id of an open request")
	errTooManyOpen       = errors.New("too many open requests on the connection")
	errInputMemoryInUse  = errors.New("memory for messages in use")
	errKeyReused         = errors.New("idempotency key used with another statement")
	errRecordUnavailable = errors.New("the query record can't be read")
	errQueryNotFound     = errors.New("no such query")
	errPageNotFound      = errors.New("no such page")
	errRecordCorrupt     = errors.New("the result's pages in the query record can't be read")
)

// invalidEstimateError is returned for a request whose timeout or estimates are out of range.
type invalidEstimateError struct{ cause error }

// Error returns the text that is sent to clients.
func (e invalidEstimateError) Error() string { return e.cause.Error() }

// Unwrap returns the error that names the violated bound.
func (e invalidEstimateError) Unwrap() error { return e.cause }
