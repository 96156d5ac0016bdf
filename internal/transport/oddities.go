package transport

import (
	"log/slog"
	"sync"
	"sync/atomic"
)

// oddity is a kind of thing that can't be used: it is counted, told once, and changes nothing.
type oddity struct {
	seen atomic.Int64
	told sync.Once
}

// saw counts one more and, the first time, logs what it is.
func (o *oddity) saw(log *slog.Logger, what, kind, from string) {
	o.seen.Add(1)
	o.told.Do(func() {
		log.Warn(what+"; more of the kind are only counted", "kind", kind, "from", from)
	})
}
