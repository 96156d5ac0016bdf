// Package memory divides memory budgets among their owners, such as the connections of clients. It does no I/O.
package memory

import (
	"fmt"
	"sync"
)

// Budget limits the total size of the reservations of all owners.
//
// Half of the budget is guaranteed to the owners in equal quotas: an owner gets its quota however much others hold.
// The other half is a pool for owners that need more. An owner may hold at most as much of the pool as it leaves
// free, the dynamic threshold of shared packet buffers: who holds much is rejected before who holds little.
//
// Where there are more owners than the budget was made for, as while reservations outlive their owner, the
// guarantees of the last ones are taken from the pool.
type Budget struct {
	limit int // bytes
	quota int // bytes that are guaranteed to an owner

	mu             sync.Mutex // guards the fields below and those of all accounts
	freeGuaranteed int        // bytes
	freePool       int        // bytes
	rejected       int        // number of rejected reservations
}

// guaranteedDivisor is the part of a budget that is guaranteed in equal quotas: one half.
const guaranteedDivisor = 2

// NewBudget returns a budget of limit bytes for at most maxOwners owners at a time.
func NewBudget(limit int64, maxOwners int) *Budget {
	guaranteed := int(limit) / guaranteedDivisor
	return &Budget{limit: int(limit), quota: guaranteed / max(maxOwners, 1), freeGuaranteed: guaranteed, freePool: int(limit) - guaranteed}
}

// NewAccount returns the account of one owner. It needs no end: only its reservations are released.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Used returns the total size of all reservations, in bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedLocked()
}

func (b *Budget) usedLocked() int { return b.limit - b.freeGuaranteed - b.freePool }

// String returns the budget's counters for operators: bytes in use, their limit, and rejected reservations.
func (b *Budget) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("used=%d limit=%d rejected=%d", b.usedLocked(), b.limit, b.rejected)
}

// Account is what one owner holds of a budget. It is safe for concurrent use.
type Account struct {
	budget     *Budget
	guaranteed int // bytes held of the owner's guaranteed quota
	pooled     int // bytes held of the pool
}

// Reserve reserves bytes for the account, or returns false if they are not available to it.
func (a *Account) Reserve(bytes int) (*Reservation, bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	guaranteed := min(bytes, b.quota-a.guaranteed, b.freeGuaranteed)
	pooled := bytes - guaranteed
	if pooled > 0 && a.pooled+pooled > b.freePool-pooled {
		b.rejected++
		return nil, false
	}
	a.guaranteed += guaranteed
	a.pooled += pooled
	b.freeGuaranteed -= guaranteed
	b.freePool -= pooled
	return &Reservation{account: a, guaranteed: guaranteed, pooled: pooled}, true
}

// Reservation is a part of a budget that is held until Release.
type Reservation struct {
	account            *Account
	guaranteed, pooled int // bytes of the account's quota and of the pool
}

// Release gives the reserved bytes back. Further calls, and calls on nil, do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	a := r.account
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.guaranteed -= r.guaranteed
	a.pooled -= r.pooled
	b.freeGuaranteed += r.guaranteed
	b.freePool += r.pooled
	r.guaranteed, r.pooled = 0, 0
}
