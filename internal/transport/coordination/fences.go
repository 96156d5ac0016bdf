package coordination

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"aniseloft/internal/durable"
	"aniseloft/internal/lease"
)

// fencesFileName is a file in the fleet's directory with the newest assignment of each job that this coordinator has
// observed (followed). The file of the same name in the root of a shared spool is a different one: it holds the fences
// that the spool has accepted as the target of operations (internal/spool/fence.go).
const fencesFileName = "fences.json"

// loadFollowedFences reads the assignments that an earlier run stored.
func (n *Node) loadFollowedFences() error {
	path := filepath.Join(n.conf.Directory, fencesFileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("fleet: read the followed fences: %w", err)
	}
	var followed []lease.Assignment
	if err := codec.Unmarshal(raw, &followed); err != nil {
		return fmt.Errorf("fleet: %s: %w; move it away: the fences that it held are then learnt again from the leader", path, err)
	}
	for _, a := range followed {
		n.With(func(client *lease.Client) { client.ObserveAssignment(a) })
	}
	return nil
}

// storeFollowedFences stores the newest assignments durably.
func (n *Node) storeFollowedFences(client *lease.Client) error {
	var followed []lease.Assignment
	for _, job := range lease.JobNames() {
		if a := client.LatestAssignment(job); a.Fence > 0 {
			followed = append(followed, a)
		}
	}
	raw, err := codec.Marshal(followed)
	if err != nil {
		return fmt.Errorf("fleet: encode the followed fences: %w", err)
	}
	if err := durable.WriteFile(filepath.Join(n.conf.Directory, fencesFileName), raw); err != nil {
		return fmt.Errorf("fleet: store the followed fences: %w", err)
	}
	return nil
}
