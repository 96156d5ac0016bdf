package ledger

import "fmt"

// Limits are the quotas and times of a spool. Sizes are in bytes. If PerOwner is 0, or a class is not in PerClass,
// only the total applies.
type Limits struct {
	Total    int64
	PerOwner int64
	PerClass map[string]int64 // by the name of the class
	// RetentionMS is how long a sealed result is kept for its client after its last read.
	RetentionMS float64
	// MaxRetentionMS is how long a sealed result is kept at most, even if it is read again and again.
	MaxRetentionMS float64
	// RetryAfterMS is the longest Retry-After of a rejection; it is shorter if the retention of some result ends
	// sooner.
	RetryAfterMS float64
}

// LimitError reports an invalid limit.
type LimitError struct{ Limit, Problem string }

func (e LimitError) Error() string { return e.Limit + ": " + e.Problem }

// Check returns a LimitError for the first invalid limit.
func (l Limits) Check() error {
	switch {
	case l.Total <= 0:
		return LimitError{"total", "must be above 0"}
	case l.PerOwner < 0 || l.PerOwner > l.Total:
		return LimitError{"per owner", "must lie between 0 and the total"}
	case !(l.RetentionMS > 0) || !(l.MaxRetentionMS >= l.RetentionMS): // also for NaN
		return LimitError{"retention (keep_seconds)", "must be above 0 and at most the maximum retention"}
	case l.RetryAfterMS < 0:
		return LimitError{"retry after (maxRetryAfterMs)", "must not be below 0"}
	}
	for class, bytes := range l.PerClass {
		if bytes <= 0 || bytes > l.Total {
			return LimitError{fmt.Sprintf("class %s", class), "must lie between 1 byte and the total"}
		}
	}
	return nil
}

// maxFor returns the largest size that one result of a class can have.
func (l Limits) maxFor(class string) int64 {
	maxBytes := l.Total
	if l.PerOwner > 0 {
		maxBytes = min(maxBytes, l.PerOwner)
	}
	if quota := l.PerClass[class]; quota > 0 {
		maxBytes = min(maxBytes, quota)
	}
	return maxBytes
}
