package clients

import (
	"fmt"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/drain"
	"aniseloft/internal/routing"
)

// DrainPolicy decides which requests a server accepts, and which connections it closes, during
// a drain. Its functions may be called from any goroutine.
type DrainPolicy struct {
	// Ready reports whether new clients are accepted. It is the answer to a client's health check.
	Ready func() bool
	// Admit reports whether a request is accepted, given the time at which it was received and its expected
	// duration. Other requests are rejected with drain.RetryAfter. Nil accepts all requests.
	Admit func(receivedAt time.Time, expected time.Duration) bool
	// Draining reports whether connections without open requests are to be closed. Nil stands for
	// false.
	Draining func() bool
}

func (d DrainPolicy) draining() bool { return d.Draining != nil && d.Draining() }

func (d DrainPolicy) admits(receivedAt time.Time, workMS float64, class decide.Class) bool {
	return d.Admit == nil || d.Admit(receivedAt, drain.ExpectedDuration(workMS, class.Threads, class.LatencyObjective))
}

// findClass returns the class that a request names, and its index in the settings.
func findClass(d *routing.Dispatcher, name string) (index int, class decide.Class, err error) {
	index, ok := d.ClassIndex(name)
	if !ok {
		return 0, class, fmt.Errorf("%w: %q", errUnknownClass, name)
	}
	return index, d.Settings().Classes[index], nil
}
