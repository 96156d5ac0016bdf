package routing

// Reasons of answers without a result. The texts are sent to JSON-RPC clients and logged. A request
// that can't become a follower has the text of an error in coalescing.go as its reason.
const (
	reasonRejected         = "refused" // the balancer rejected the request
	reasonFailed           = "failed"  // the balancer failed the request
	reasonTooManyOpen      = "too much is open"
	reasonCallInUse        = "the call is in use"
	reasonClientLeft       = "its client has left"
	reasonDeadlineExceeded = "deadline passed"
	reasonProcessEnds      = "handed back: this process ends"
	reasonLeaderRunning    = "still running under its key"

	// reasonMayHaveRun is appended to the reason of a request that fails because it may have run.
	reasonMayHaveRun = ", and it may have run"
)
