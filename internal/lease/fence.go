package lease

import "fmt"

// FenceRecord holds the highest fence that the target of a job's operations has accepted, and the holder of that fence.
// The target stores it durably, in one transaction with each operation. The holder is compared too: if a consensus
// group loses its state and grants the same fence to two holders, the target still accepts only one of them.
type FenceRecord struct {
	Fence  Fence  `json:"fence"`
	Holder string `json:"holder"` // name and incarnation, as Holder.String returns them
}

// StaleFenceError is returned by a target that has accepted a later grant, or the same fence from another holder.
type StaleFenceError struct {
	Job     string
	Fence   Fence // fence of the refused operation
	Highest Fence // highest fence that the target has accepted
}

func (e StaleFenceError) Error() string {
	return fmt.Sprintf("lease: %s: fence %d is refused: the target has already accepted fence %d", e.Job, e.Fence, e.Highest)
}

// Admit decides whether an operation under a fence may be carried out, and returns the record to store with it. It
// returns a StaleFenceError if the fence is 0, below the highest accepted one, or equal to it with another holder.
func (r FenceRecord) Admit(job string, fence Fence, holder string) (FenceRecord, error) {
	if fence < r.Fence || fence == r.Fence && holder != r.Holder || fence == 0 {
		return r, StaleFenceError{job, fence, r.Fence}
	}
	return FenceRecord{fence, holder}, nil
}
