package coordination

import "aniseloft/internal/consensus"

// replicaTask is a call on the replica that runs on the replica goroutine.
type replicaTask func(*consensus.Replica)

// enqueue queues a task for the replica goroutine. It returns false if the queue is full: the task is then dropped,
// which the protocol tolerates like any lost message.
func (n *Node) enqueue(task replicaTask) bool {
	select {
	case n.tasks <- task:
		return true
	default:
		n.counters.droppedFrames.Add(1)
		return false
	}
}
