package program

import (
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/config"
	"aniseloft/internal/millis"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/transport/clients"
)

// Fractions of the memory limit. The rest is for the program's other memory and garbage that is not yet collected.
const (
	runtimeMemoryFraction   = 0.75     // memory limit of the Go runtime
	inputMemoryFraction     = 1.0 / 16 // for the incomplete and unhandled messages of all clients of a listener
	statementMemoryFraction = 1.0 / 8  // for the statements of submitted requests
	answerMemoryFraction    = 1.0 / 8  // for answers that clients have not read yet
	resultMemoryFraction    = 1.0 / 4  // for results in flight, assuming that each has the maximum size
	spoolMemoryFraction     = 1.0 / 4  // maximum size of a spool in memory
)

const (
	// nonRuntimeMB is the memory that the Go runtime does not manage, in MB: mapped pages of the binary,
	// the C library and threads.
	nonRuntimeMB = 16
	// gcPercent is high because the live heap is small compared to the limit: collecting each time the
	// heap doubles would use a considerable part of one core. Near the memory limit the runtime
	// collects more often.
	gcPercent = 400
)

// Division of the descriptor limit.
const (
	// reservedDescriptors is the number of descriptors for the standard streams, poller, listeners, journal
	// connection, store, files in $TMPDIR, reservedAdminConnections and some spare ones.
	reservedDescriptors      = 24
	reservedAdminConnections = 4
	clientDivisor            = 3  // clients get a third of the descriptors
	restClientDivisor        = 4  // REST clients get a fourth of the clients' connections
	adminDivisor             = 48 // connections for operators' commands get 1/48 of the descriptors
	// nonRequestConnections is the number of upstream connections for cancellations, priorities and probes.
	nonRequestConnections = 16
	// inFlightFraction is the fraction of upstream connections that attempts may use. The others stay
	// idle: if all were in use, each attempt would have to close an idle connection to one endpoint
	// before it could dial another.
	inFlightFraction = 0.88
)

const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = 10 * time.Second
	idleTimeoutFraction   = 0.8 // fraction of the endpoints' idle timeout; below 1, so that connections are closed before endpoints close them
)

// connectionBudget is the maximum number of connections of each kind.
type connectionBudget struct {
	maxClients     int // from JSON-RPC clients
	maxRESTClients int // from clients of the paged REST protocol
	maxAdmin       int // for operators' commands
	maxUpstream    int // to endpoints
}

// divideSockets divides the descriptor limit among the kinds of connections.
func divideSockets(socketLimit int, hasGossip, hasREST bool) connectionBudget {
	clientSockets := socketLimit / clientDivisor
	adminConnections := min(max(socketLimit/adminDivisor, 1), clients.MaxAdminConnections)
	reservedCount := reservedDescriptors + max(adminConnections-reservedAdminConnections, 0)
	if hasGossip {
		reservedCount++
	}
	budget := connectionBudget{maxClients: clientSockets, maxAdmin: adminConnections, maxUpstream: socketLimit - clientSockets - reservedCount}
	if hasREST {
		budget.maxRESTClients = clientSockets / restClientDivisor
		budget.maxClients -= budget.maxRESTClients
	}
	return budget
}

// maxInFlight returns the maximum number of attempts in flight, limited by connections and by the memory for their results.
func (p *Program) maxInFlight(upstreamConnections int) int {
	connectionLimit := int(float64(upstreamConnections-nonRequestConnections) * inFlightFraction)
	return min(connectionLimit, int(p.memoryFraction(resultMemoryFraction)/engine.MaxResultBytes))
}

// memoryFraction returns a fraction of the memory limit, in bytes.
func (p *Program) memoryFraction(fraction float64) int64 {
	return int64(float64(p.config.Limits.MemoryMB<<20) * fraction)
}

// applyRuntimeLimits sets the memory limit, garbage collection target and processor count of the Go runtime.
func (p *Program) applyRuntimeLimits() {
	limits := p.config.Limits
	debug.SetMemoryLimit(min(p.memoryFraction(runtimeMemoryFraction), (limits.MemoryMB-nonRuntimeMB)<<20))
	debug.SetGCPercent(gcPercent)
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), max(int(math.Ceil(limits.Cores)), 1)))
	}
}

// upstreamTimeouts returns the connect timeout and the idle timeout of upstream connections.
func upstreamTimeouts(settings decide.Settings) (connectTimeout, idleTimeout time.Duration) {
	connectTimeout, idleTimeout = defaultConnectTimeout, defaultIdleTimeout
	if settings.ConnectTimeout > 0 {
		connectTimeout = millis.Duration(settings.ConnectTimeout)
	}
	if settings.IdleConnectionTimeout > 0 {
		idleTimeout = millis.Duration(settings.IdleConnectionTimeout * idleTimeoutFraction)
	}
	return connectTimeout, idleTimeout
}

// gossipEnabled reports whether this coordinator exchanges gossip with others.
func gossipEnabled(coordinator *config.Coordinator) bool {
	return coordinator.Settings.GossipEnabled && coordinator.PeerListen != ""
}
