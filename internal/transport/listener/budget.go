package listener

import "sync/atomic"

// Budget limits a total of bytes, such as those that the connections of a listener buffer. It is safe for
// concurrent use.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// Adjust records that the use of one connection changed from one number of bytes to another, and reports whether the change
// is allowed: the total is within the budget, or the use has not grown. The change is recorded in either case.
func (b *Budget) Adjust(from, to int) bool { return b.free.Add(int64(from-to)) >= 0 || to <= from }

// Free returns the number of unused bytes. It is below 0 while the recorded use exceeds the budget.
func (b *Budget) Free() int64 { return b.free.Load() }
