// Package coordination connects a coordinator to the fleet over TCP. It runs a lease client, and a consensus replica
// with its disk if the configuration names this coordinator as a replica. All decisions are made in internal/lease and
// internal/consensus. The package needs the raft library and bbolt, which a lean build leaves out.
package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
	"aniseloft/internal/transport/leasebackend"
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// Errors of Reload.
var (
	ErrImmutable      = errors.New("fleet: only the replicas (seats) and the generation can be reloaded; other changes need a restart")
	ErrAddressChanged = errors.New("fleet: the address of this replica cannot change while it runs")
)

// OlderGenerationError is returned by Reload for a configuration that is older than the current one.
type OlderGenerationError struct {
	Generation uint64
	Current    uint64
}

func (e OlderGenerationError) Error() string {
	return fmt.Sprintf("fleet: generation %d of the new configuration is older than the current generation %d", e.Generation, e.Current)
}

// Node is one coordinator in the fleet: its lease client, and its consensus replica if it has one.
//
// Run starts two goroutines and waits for them. The client goroutine sends keep-alive requests. The replica goroutine
// owns replicaHost; others reach it through tasks only. It starts the goroutine that accepts connections, and one for
// each dial. Each connection has a reader and a writer goroutine, which end when it closes. All goroutines end with the
// context of Run. mu guards the fields below it, which every goroutine may use.
type Node struct {
	*leasebackend.Client
	name         string
	installation uint64           // fleet.InstallationID of the configured installation
	diskFault    func() error     // runs before each write to the replica's disk, see InjectDiskFaults
	draining     atomic.Bool      // leadership is still to be transferred: set by Drain, cleared by transferLeadership
	reconfigured chan struct{}    // signals a new conf to the replica goroutine; holds one signal
	tasks        chan replicaTask // tasks for the replica goroutine; bounded, see enqueue
	replicaHost  *replicaHost
	counters     counters

	mu             sync.Mutex
	conf           fleetconf.Config
	resolver       *lease.LeaderResolver
	leaderConn     *conn                          // connection to the replica leaderConnName; nil: not connected
	leaderConnName string                         // name of the replica that leaderConn is connected to
	dialingLeader  bool                           // a dial for leaderConn is in progress
	subscriber     func(leasebackend.Publication) // receives publications of job holders; nil: they are not delivered
}

// counters are printed by Node.String.
type counters struct {
	keepAlives, responses, raftMessages           atomic.Int64
	publications, delivered, stalePublications    atomic.Int64
	rejectedConns, droppedFrames                  atomic.Int64
	bytesWritten, bytesRead, persistedReadyStates atomic.Int64
}

// New opens the replica's disk and listener if the configuration names this coordinator as a replica, and reads the
// followed fences that an earlier run stored. The clock is the coordinator's monotonic clock.
func New(conf fleetconf.Config, name string, clock func() lease.Millis, log *slog.Logger) (*Node, error) {
	n := &Node{
		Client:       leasebackend.NewClient(name, conf.Jobs, conf.Capacity, conf.Timing().DriftBound, clock, log),
		name:         name,
		installation: fleet.InstallationID(conf.Installation),
		reconfigured: make(chan struct{}, 1),
		tasks:        make(chan replicaTask, maxQueueLength),
		conf:         conf,
	}
	n.replicaHost = newReplicaHost(n)
	if err := n.loadFollowedFences(); err != nil {
		return nil, err
	}
	n.resolver = n.newResolver(conf)
	if conf.ReplicaAddr(name) != "" {
		if err := n.replicaHost.open(context.Background()); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// InjectDiskFaults makes each write to the replica's disk call f first and fail with the error of f, if any. Drills use
// it. It must be called before Run.
func (n *Node) InjectDiskFaults(f func() error) { n.diskFault = f }

// Run runs the client and the replica until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { n.replicaHost.run(ctx) })
	goroutines.Go(func() { n.runClient(ctx) })
	goroutines.Wait()
}

// Drain releases every lease. If the replica leads, it transfers leadership afterwards.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.Client.Drain()
}

// Reload applies a new configuration. Only the replicas, their addresses and the generation may change; anything else
// returns ErrImmutable, ErrAddressChanged or an OlderGenerationError.
func (n *Node) Reload(newConf fleetconf.Config) error {
	currentConf := n.config()
	if newConf.Installation != currentConf.Installation || newConf.Directory != currentConf.Directory || !slices.Equal(newConf.Jobs, currentConf.Jobs) {
		return ErrImmutable
	}
	if newConf.Generation < currentConf.Generation {
		return OlderGenerationError{newConf.Generation, currentConf.Generation}
	}
	if addr := newConf.ReplicaAddr(n.name); addr != "" && currentConf.ReplicaAddr(n.name) != "" && addr != currentConf.ReplicaAddr(n.name) {
		return ErrAddressChanged
	}
	n.mu.Lock()
	n.conf = newConf
	n.resolver = n.newResolver(newConf)
	n.mu.Unlock()
	select {
	case n.reconfigured <- struct{}{}:
	default: // an earlier signal is pending: the replica goroutine will read the newest configuration
	}
	return nil
}

func (n *Node) newResolver(conf fleetconf.Config) *lease.LeaderResolver {
	firstReplica := int(n.Self().Incarnation % uint64(len(conf.Replicas)))
	return lease.NewLeaderResolver(conf.ReplicaNames(), firstReplica, conf.Timing().LeaseTTL)
}

// config returns the current configuration.
func (n *Node) config() fleetconf.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conf
}

// tickInterval returns half of the replicas' tick, so that no tick of a replica is missed.
func (n *Node) tickInterval() time.Duration {
	return time.Duration(n.config().Timing().Tick / 2 * float64(time.Millisecond))
}

// String formats the counters.
func (n *Node) String() string {
	c := &n.counters
	return fmt.Sprintf("counters fleet beats=%d replies=%d agreed=%d published=%d followed=%d unfollowed=%d strangers=%d lost=%d sent_bytes=%d read_bytes=%d syncs=%d %s\n",
		c.keepAlives.Load(), c.responses.Load(), c.raftMessages.Load(), c.publications.Load(), c.delivered.Load(), c.stalePublications.Load(),
		c.rejectedConns.Load(), c.droppedFrames.Load(), c.bytesWritten.Load(), c.bytesRead.Load(), c.persistedReadyStates.Load(), n.Client)
}
