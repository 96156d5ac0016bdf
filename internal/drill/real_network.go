package drill

import (
	"slices"
	"time"

	"aniseloft/internal/emulator/live"
)

// maxServiceRelays limits the number of relays to services. Once the limit is reached, further engines are reached
// without a relay.
const maxServiceRelays = 256

// Effects of FaultLossyNetwork. TCP retransmits lost bytes, so that a lossy network delays streams and lowers their
// throughput.
const (
	lossyMaxDelay       = 200 * time.Millisecond
	lossyStreamDelayMS  = 200 // delay of a TCP stream at a loss ratio of 1; it is proportional to the ratio
	lossyBytesPerSecond = 64 << 10
)

// slowDiskDelayDivisor divides the duration of a slow sync. The quotient is the delay of each message to or from the
// process.
const slowDiskDelayDivisor = 10

// replicaRelay returns the relay from a process to the replica of another, and creates it if necessary.
func (r *realRun) replicaRelay(l link) (*Relay, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay := r.replicaRelays[l]; relay != nil {
		return relay, nil
	}
	relay, err := NewRelay(r.replicaAddresses[l.destination])
	if err != nil {
		return nil, err
	}
	r.replicaRelays[l] = relay
	return relay, nil
}

// serviceAddress returns the address at which a process reaches a service that listens at address: that of a relay, or the
// service's own.
func (r *realRun) serviceAddress(process int, service, address string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	route := serviceRoute{process, service, address}
	if relay := r.serviceRelays[route]; relay != nil {
		return relay.Addr(), nil
	}
	if service == live.ToEngine && (address == "" || len(r.serviceRelays) >= maxServiceRelays) {
		return address, nil
	}
	relay, err := newRelay(address, r.origins)
	if err != nil {
		return "", err
	}
	r.serviceRelays[route] = relay
	return relay.Addr(), nil
}

// peerAddresses returns the addresses to which a process sends datagrams for its peers.
func (r *realRun) peerAddresses(process int, peers []string) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := slices.Clone(peers)
	for peer := range peers {
		if peer == process {
			continue
		}
		l := link{min(process, peer), max(process, peer)}
		if r.datagramRelays[l] == nil {
			relay, err := NewDatagramRelay(peers[l.source], peers[l.destination])
			if err != nil {
				return nil, err
			}
			r.datagramRelays[l] = relay
		}
		coordinator := 0
		if peer == l.destination {
			coordinator = 1
		}
		addresses[peer] = r.datagramRelays[l].Address(coordinator)
	}
	return addresses, nil
}

func (r *realRun) closeRelays() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.replicaRelays {
		relay.Close()
	}
	for _, relay := range r.serviceRelays {
		relay.Close()
	}
	for _, relay := range r.datagramRelays {
		relay.Close()
	}
}

// resetReplicaConnections resets all connections between processes and the replicas of others.
func (r *realRun) resetReplicaConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.replicaRelays {
		relay.ResetConnections()
	}
}

// disturbNetwork applies a fault for a duration to the traffic between a target and a peer, or all other processes if peer
// is noProcess. FaultLossyNetwork applies to the traffic of all processes.
func (r *realRun) disturbNetwork(target, peer int, f Fault, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.hasServicePeer() {
		r.partitionService(target, f, duration)
		return
	}
	for l, relay := range r.datagramRelays {
		if f.Kind == FaultLossyNetwork || f.Kind == FaultPartition && l.connects(target, peer) {
			disturbDatagrams(relay, f, duration)
		}
	}
	for l, relay := range r.replicaRelays {
		if f.Kind == FaultLossyNetwork || l.connects(target, peer) {
			disturbStream(relay, f, l.source == target, duration)
		}
	}
}

// connects reports whether a link leads, in either direction, between a target and a peer, or any other process if peer is
// negative.
func (l link) connects(target, peer int) bool {
	if l.source != target && l.destination != target {
		return false
	}
	return peer < 0 || l.source == peer || l.destination == peer
}

// partitionService blocks the routes from a process to the service that a fault names. The caller holds mu.
func (r *realRun) partitionService(process int, f Fault, duration time.Duration) {
	service := live.ToJournal
	if f.Peer == PeerEngines {
		service = live.ToEngine
	}
	for route, relay := range r.serviceRelays {
		if route.process == process && route.service == service {
			relay.Block(f.Direction != DirectionInbound, f.Direction != DirectionOutbound)
			time.AfterFunc(duration, func() { relay.Block(false, false) })
		}
	}
}

// disturbDatagrams applies a fault to a relay for datagrams: a partition drops all of them.
func disturbDatagrams(relay *DatagramRelay, f Fault, duration time.Duration) {
	if f.Kind == FaultPartition {
		relay.SetFaults(1, 0, 0)
	} else {
		relay.SetFaults(f.Magnitude, f.Magnitude/2, lossyMaxDelay)
	}
	time.AfterFunc(duration, func() { relay.SetFaults(0, 0, 0) })
}

// disturbStream applies a fault to a relay whose connections come from the target, if fromTarget is set, or lead to it.
func disturbStream(relay *Relay, f Fault, fromTarget bool, duration time.Duration) {
	switch f.Kind {
	case FaultLossyNetwork:
		delay := time.Duration(lossyStreamDelayMS*f.Magnitude) * time.Millisecond
		relay.SetDelay(delay, delay, lossyBytesPerSecond)
		time.AfterFunc(duration, func() { relay.SetDelay(0, 0, 0) })
	case FaultSlowDisk:
		relay.SetDelay(duration/slowDiskDelayDivisor, 0, 0)
		time.AfterFunc(duration, func() { relay.SetDelay(0, 0, 0) })
	default:
		outbound, inbound := f.Direction != DirectionInbound, f.Direction != DirectionOutbound
		if fromTarget {
			relay.Block(outbound, inbound)
		} else {
			relay.Block(inbound, outbound)
		}
		time.AfterFunc(duration, func() { relay.Block(false, false) })
	}
}
