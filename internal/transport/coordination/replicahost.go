package coordination

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"aniseloft/internal/consensus"
	"aniseloft/internal/lease"
	"aniseloft/internal/transport/netconn"
)

// msgReplicaNotStarted is logged if the replica cannot be opened; the coordinator continues without a replica.
const msgReplicaNotStarted = "consensus replica not started"

// replicaHost holds a replica with its disk, its listener and its connections. Only the replica goroutine uses it; open
// may also be called before that goroutine starts.
type replicaHost struct {
	node     *Node
	replica  *consensus.Replica // nil: this coordinator runs no replica
	disk     *disk              // nil: this coordinator runs no replica
	listener net.Listener

	peers       map[string]*peer // other replicas, by name
	clientConns map[string]*conn // connection of each client, by holder; a nil value: the client of this process
	adminConns  map[uint64]*conn // connection that each admin request came from, by request ID
	lastAdminID uint64           // ID that this replica gave to the latest admin request
}

func newReplicaHost(n *Node) *replicaHost {
	return &replicaHost{node: n, peers: map[string]*peer{}, clientConns: map[string]*conn{}, adminConns: map[uint64]*conn{}}
}

// open loads the replica from its disk and listens on its address.
func (h *replicaHost) open(ctx context.Context) error {
	conf := h.node.config()
	d, state, err := openDisk(conf.Directory, h.node.installation)
	if err != nil {
		return err
	}
	replica, err := consensus.NewReplica(consensus.Config{Name: h.node.name, ReplicaID: d.replicaID, Replicas: conf.ReplicaNames(),
		Generation: conf.Generation, Jobs: conf.Jobs, Timing: conf.Timing(), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), State: state})
	if err != nil {
		_ = d.close()
		return fmt.Errorf("consensus: %s: %w; move it away: the replica is then added to the group again", d.path, err)
	}
	if err := h.listen(ctx, conf.ReplicaAddr(h.node.name)); err != nil {
		_ = d.close()
		return err
	}
	h.disk, h.replica = d, replica
	return nil
}

// listen opens the listener, once.
func (h *replicaHost) listen(ctx context.Context, addr string) (err error) {
	if h.listener != nil {
		return nil
	}
	config := net.ListenConfig{Control: netconn.ReusePort}
	if h.listener, err = config.Listen(ctx, "tcp4", addr); err != nil {
		return fmt.Errorf("consensus: listen: %w", err)
	}
	return nil
}

// run is the replica goroutine: it runs tasks one at a time and carries out the effects that the replica
// requests after each.
func (h *replicaHost) run(ctx context.Context) {
	if h.listener != nil {
		go h.accept(ctx)
	}
	ticker := time.NewTicker(h.node.tickInterval())
	defer ticker.Stop()
	defer h.closeAll()
	for {
		var task replicaTask
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task = h.tick
		case <-h.node.reconfigured:
			h.reconfigure(ctx)
			continue
		case task = <-h.node.tasks:
		}
		if h.replica == nil {
			continue
		}
		task(h.replica)
		h.execute(ctx, h.replica.Ready())
	}
}

func (h *replicaHost) closeAll() {
	if h.disk != nil {
		_ = h.disk.close()
	}
	for _, p := range h.peers {
		p.closeConn()
	}
}

func (h *replicaHost) tick(r *consensus.Replica) {
	r.Tick(h.node.Clock())
	h.transferLeadership(r)
}

// transferLeadership asks another replica to lead before this process ends; otherwise the group would have no leader
// until an election. It asks only once: if all replicas shut down together, each would pass leadership on to the
// next.
func (h *replicaHost) transferLeadership(r *consensus.Replica) {
	if h.node.draining.Load() && r.IsLeader() && h.node.Idle() {
		h.node.draining.Store(false)
		r.HandleAdmin(h.node.Clock(), lease.AdminRequest{Operation: lease.AdminStepDown})
	}
}

// reconfigure applies a new configuration. It starts a replica if this coordinator has become one. A replica that the
// configuration no longer names keeps running until the group has removed it.
func (h *replicaHost) reconfigure(ctx context.Context) {
	conf := h.node.config()
	if h.replica != nil {
		h.replica.Reconfigure(conf.ReplicaNames(), conf.Generation)
		return
	}
	if conf.ReplicaAddr(h.node.name) == "" {
		return
	}
	wasListening := h.listener != nil
	if err := h.open(ctx); err != nil {
		h.node.Log.Error(msgReplicaNotStarted, "err", err)
		return
	}
	if !wasListening {
		go h.accept(ctx)
	}
}

// stop stops the replica until the process restarts. The coordinator continues to serve requests.
func (h *replicaHost) stop() {
	_ = h.disk.close()
	h.replica, h.disk = nil, nil
}

// recreate deletes the database and starts a new replica, after the disk was found to have lost entries.
func (h *replicaHost) recreate(ctx context.Context) {
	h.node.Log.Error("consensus disk regressed, replica is recreated", "path", h.disk.path)
	if err := errors.Join(h.disk.remove(), h.open(ctx)); err != nil {
		h.node.Log.Error(msgReplicaNotStarted, "err", err)
		h.replica, h.disk = nil, nil
	}
}
