package drill

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"

	"aniseloft/internal/lease"
)

// FencedWrite is one write that a job's owner sends to the job's target under a fencing token. It holds the times of the
// call and the return at the owner, and of the write's effect at the target.
type FencedWrite struct {
	Job          string      `json:"job"`
	Fence        lease.Fence `json:"fence"`
	Holder       string      `json:"holder"`
	CalledAtMS   float64     `json:"call_ms"`
	AppliedAtMS  float64     `json:"at_ms"`
	ReturnedAtMS float64     `json:"return_ms"` // time of the return; 0: the owner did not receive the outcome
	Admitted     bool        `json:"admitted"`
}

// CheckFencing returns a violation for each write that was admitted after a write under a higher fencing token, or after a
// write of another holder under the same token. The writes are in the order in which the target applied them.
func CheckFencing(writes []FencedWrite) (violations []Violation) {
	lastAdmitted := map[string]FencedWrite{} // last admitted write of each job
	for _, write := range writes {
		if !write.Admitted {
			continue
		}
		last, ok := lastAdmitted[write.Job]
		stale := write.Fence < last.Fence || write.Fence == last.Fence && write.Holder != last.Holder
		if ok && stale {
			violations = append(violations, fencingViolation(write, last))
			continue
		}
		lastAdmitted[write.Job] = write
	}
	return violations
}

// fencingViolation describes a write that was admitted after the write last, which its fencing token should have ruled
// out.
func fencingViolation(write, last FencedWrite) Violation {
	return Violation{
		Rule: RuleFence, Process: write.Holder, AtMS: write.AppliedAtMS,
		Detail: fmt.Sprintf("%s: write under fence %d admitted after one under fence %d", write.Job, write.Fence, last.Fence),
		Evidence: []string{
			fmt.Sprintf("%.1f ms: %s wrote under fence %d", last.AppliedAtMS, last.Holder, last.Fence),
			fmt.Sprintf("%.1f ms: %s wrote under fence %d", write.AppliedAtMS, write.Holder, write.Fence),
		},
	}
}

// fencedRegister is the sequential specification of a job's target, which admits writes as lease.FenceRecord does: under a
// higher fencing token, or under the same token from the same holder.
var fencedRegister = porcupine.Model{
	Partition: partitionByJob,
	Init:      func() any { return lease.FenceRecord{} },
	Step: func(state, input, output any) (bool, any) {
		write := input.(FencedWrite)
		next, err := state.(lease.FenceRecord).Admit(write.Job, write.Fence, write.Holder)
		return (err == nil) == output.(bool), next
	},
	Equal: func(a, b any) bool { return a == b },
}

// partitionByJob splits a history into one for each job. The histories of jobs are independent of each other.
func partitionByJob(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	byJob := map[string][]porcupine.Operation{}
	var jobs []string
	for _, operation := range history {
		job := operation.Input.(FencedWrite).Job
		if byJob[job] == nil {
			jobs = append(jobs, job)
		}
		byJob[job] = append(byJob[job], operation)
	}
	for _, job := range jobs {
		parts = append(parts, byJob[job])
	}
	return parts
}

// CheckLinearizability returns a violation if the writes, by the times of their calls and returns, are not linearizable
// over a register of each job whose fencing token never decreases.
func CheckLinearizability(writes []FencedWrite) []Violation {
	const microsPerMilli = 1000
	var operations []porcupine.Operation
	clients := map[string]int{}
	for _, write := range writes {
		if _, ok := clients[write.Holder]; !ok {
			clients[write.Holder] = len(clients)
		}
		returned := write.ReturnedAtMS
		if returned <= 0 {
			returned = math.Max(write.AppliedAtMS, write.CalledAtMS) // without a return, the target's time bounds the write
		}
		operations = append(operations, porcupine.Operation{
			ClientId: clients[write.Holder], Input: write, Output: write.Admitted,
			Call: int64(write.CalledAtMS * microsPerMilli), Return: int64(returned*microsPerMilli) + 1,
		})
	}
	if porcupine.CheckOperations(fencedRegister, operations) {
		return nil
	}
	return []Violation{{Rule: RuleLinearizable, Detail: fmt.Sprintf("%d writes are not linearizable over a register whose fencing token never decreases", len(writes))}}
}
