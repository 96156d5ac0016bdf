package engine

// Header names of the platform's protocol.
const (
	headerCallID         = "Request-Id"
	headerClass          = "Kind"
	headerTimeoutMS      = "Timeout-Ms"
	headerGrantMB        = "X-Reserve"
	headerPriority       = "X-Weight-Class"
	headerIdempotencyKey = "Once-Key"

	headerNeverRan      = "Never-Ran" // 1: the query did not run
	headerPageCount     = "X-Batches"
	headerPageNumber    = "X-Batch"
	headerWorkMS        = "X-Spent"
	headerMemoryMB      = "X-Wanted"
	headerLoadReport    = "Load-Report"
	headerProgressKind  = "Outcome"
	headerProgressValue = "X-Num"
)
