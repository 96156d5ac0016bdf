package coordination

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
)

// Errors of Admin.
var (
	ErrNoReplica      = errors.New("no replica of the consensus group responds")
	ErrUnknownReplica = errors.New("is not a replica")
	errNoLeader       = errors.New("no response from a leader after one redirect")
)

// Admin sends an operator's request to the replicas in turn until one responds. It follows a redirect to the leader
// where only the leader can respond. If firstReplica is set, only that replica and the leader that it names are asked; a name
// that is not a replica's returns an error wrapping ErrUnknownReplica. The timeout bounds each exchange. If no replica
// responds, the error wraps ErrNoReplica.
func Admin(ctx context.Context, conf fleetconf.Config, firstReplica string, request lease.AdminRequest, timeout time.Duration) (lease.AdminResponse, error) {
	replicaNames := conf.ReplicaNames()
	if firstReplica != "" {
		if conf.ReplicaAddr(firstReplica) == "" {
			return lease.AdminResponse{}, fmt.Errorf("%q %w; the seats (replicas) are %v", firstReplica, ErrUnknownReplica, replicaNames)
		}
		replicaNames = []string{firstReplica}
	}
	var lastErr error
	for attemptIndex := range 2 * len(replicaNames) { // two rounds: during an election a replica may name an outdated leader
		response, err := sendAndFollowLeader(ctx, conf, replicaNames[attemptIndex%len(replicaNames)], request, timeout)
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return lease.AdminResponse{}, errors.Join(ErrNoReplica, lastErr)
}

// sendAndFollowLeader sends a request to a replica. If that replica redirects to the leader instead of responding, the
// request is sent to the leader, once.
func sendAndFollowLeader(ctx context.Context, conf fleetconf.Config, replicaName string, request lease.AdminRequest, timeout time.Duration) (lease.AdminResponse, error) {
	response, err := exchange(ctx, conf, replicaName, request, timeout)
	if err != nil {
		return response, fmt.Errorf("seat %s at %s: %w", replicaName, conf.ReplicaAddr(replicaName), err)
	}
	if leaderName := response.RedirectTo; leaderName != "" && conf.ReplicaAddr(leaderName) != "" {
		if response, err = exchange(ctx, conf, leaderName, request, timeout); err != nil {
			return response, fmt.Errorf("the leader %s: %w", leaderName, err)
		}
	}
	if response.RedirectTo != "" {
		return response, fmt.Errorf("redirected to %s as the leader: %w", response.RedirectTo, errNoLeader)
	}
	return response, nil
}

// exchange sends one request to one replica on a new connection, and waits for the response.
func exchange(ctx context.Context, conf fleetconf.Config, replicaName string, request lease.AdminRequest, timeout time.Duration) (response lease.AdminResponse, err error) {
	socket, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp4", conf.ReplicaAddr(replicaName))
	if err != nil {
		return response, err
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(timeout))
	installation := fleet.InstallationID(conf.Installation)
	if _, err := socket.Write(fleet.AppendJSON(nil, installation, fleet.AdminRequest, request)); err != nil {
		return response, err
	}
	decoder, buf := fleet.NewDecoder(installation), make([]byte, readBufferBytes)
	for {
		n, err := socket.Read(buf)
		if err != nil {
			return response, fmt.Errorf("%w; check that the replica belongs to installation %q", err, conf.Installation)
		}
		frames, err := decoder.Feed(buf[:n])
		if err != nil {
			return response, err
		}
		for _, f := range frames {
			if f.Kind == fleet.AdminResponse {
				return response, f.Decode(&response)
			}
		}
	}
}
