// Package violations counts protocol violations: input of other programs that is invalid and is not used.
package violations

import (
	"log/slog"
	"sync"
	"sync/atomic"
)

// Counter counts protocol violations of one kind. Only the first one is logged, so that a peer that keeps
// sending them can't fill the log. The zero value is ready to use. It is safe for concurrent use.
type Counter struct {
	count  atomic.Int64
	logged sync.Once
}

// Record counts a violation. It logs the first one with the message, its kind and its sender.
func (c *Counter) Record(log *slog.Logger, message, kind, sender string) {
	c.count.Add(1)
	c.logged.Do(func() { log.Warn(message, "kind", kind, "from", sender) })
}

// Count returns the number of recorded violations.
func (c *Counter) Count() int64 { return c.count.Load() }
