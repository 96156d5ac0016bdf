package discovery

import (
	"log/slog"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/transport/leasebackend"
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	// heartbeatInterval is how often the watching coordinator, which watches the discovery service for all
	// coordinators, publishes a heartbeat.
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is how long the other coordinators rely on the watching coordinator's last message.
	// After three lost heartbeats, each watches the discovery service itself.
	heartbeatTimeout = 3 * heartbeatInterval
	// activeSnapshotInterval is how often a snapshot is published while the list changes, for coordinators
	// that missed a change. idleSnapshotInterval is how often one is published while the list does not
	// change, for coordinators that have just started and watch the service themselves until they receive a
	// snapshot.
	activeSnapshotInterval = time.Second
	idleSnapshotInterval   = 15 * time.Second
	// idleAfter is how long after its latest change the list counts as idle.
	idleAfter = 5 * time.Second
	// ownReadingPriority is how long a state that this coordinator has read itself takes precedence over a
	// published healthier state of the engine, or its absence from a published snapshot: what was published
	// may be older.
	ownReadingPriority = 2 * time.Second
)

// update is a message of the watching coordinator: changes, a snapshot or, if it is empty, a heartbeat.
type update struct {
	Snapshot  bool               `json:"whole,omitempty"`
	Endpoints []journal.Endpoint `json:"servers,omitempty"`
}

// SharedList is an endpoint list that one coordinator reads for all coordinators. The holder of lease.JobReadJournal
// publishes it, and the others follow it. It is safe for concurrent use. A nil list shares nothing.
type SharedList struct {
	fleet   leasebackend.Backend
	self    string // this coordinator's name
	log     *slog.Logger
	deliver func(listed []journal.Endpoint) // receives the changes that other coordinators publish

	mu         sync.Mutex                  // guards the fields below
	endpoints  map[string]journal.Endpoint // latest known state of each engine, by id
	readAt     map[string]time.Time        // when this coordinator last read an engine's state itself, by id
	sequence   uint64                      // sequence number of the latest message published or received
	fence      lease.Fence                 // fence of the latest message published or received
	receivedAt time.Time                   // when the latest message without a gap before it was received
	hasGap     bool                        // a message was missed, and no snapshot has been received since
	snapshotAt time.Time                   // when this coordinator last published a snapshot
	changedAt  time.Time                   // when this coordinator last read a change
}

// NewSharedList returns a list that is shared with the other coordinators of the fleet.
func NewSharedList(fleet leasebackend.Backend, self string, log *slog.Logger) *SharedList {
	l := &SharedList{fleet: fleet, self: self, log: log, endpoints: map[string]journal.Endpoint{}, readAt: map[string]time.Time{}}
	fleet.Subscribe(l.receive)
	return l
}

// WatchedElsewhere reports whether another coordinator watches for this one: its latest message is more recent
// than heartbeatTimeout, and no message was missed since the latest snapshot.
func (l *SharedList) WatchedElsewhere() bool {
	if l == nil || l.fleet.Holds(lease.JobReadJournal) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.hasGap && time.Since(l.receivedAt) < heartbeatTimeout
}

// Update stores the engines that this coordinator has read itself, and publishes them where this coordinator
// watches for all.
func (l *SharedList) Update(snapshot bool, listed []journal.Endpoint) {
	if l == nil {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if snapshot {
		clear(l.endpoints)
	}
	if len(listed) > 0 {
		l.changedAt = now
	}
	for _, s := range listed {
		l.endpoints[s.ID], l.readAt[s.ID] = s, now
	}
	l.mu.Unlock()
	if len(listed) > 0 {
		l.publish(update{Snapshot: snapshot, Endpoints: listed})
	}
}

// PublishHeartbeat publishes a heartbeat where this coordinator watches for all.
func (l *SharedList) PublishHeartbeat() {
	if l != nil {
		l.publish(update{})
	}
}

func (l *SharedList) publish(u update) {
	fence, _, ok := l.fleet.Begin(lease.JobReadJournal)
	if !ok {
		return
	}
	defer l.fleet.End(lease.JobReadJournal, fence)
	u, sequence := l.prepare(u, fence)
	if raw, err := codec.Marshal(u); err == nil {
		l.fleet.Publish(lease.JobReadJournal, fence, sequence, raw)
	}
}

// prepare returns an update with its sequence number. It turns the update into a snapshot where one is due.
func (l *SharedList) prepare(u update, fence lease.Fence) (update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	snapshotInterval := idleSnapshotInterval
	if now.Sub(l.changedAt) < idleAfter {
		snapshotInterval = activeSnapshotInterval
	}
	if fence != l.fence || now.Sub(l.snapshotAt) >= snapshotInterval {
		u.Snapshot, u.Endpoints, l.snapshotAt = true, nil, now
		for _, s := range l.endpoints {
			if s.State != wireLeft {
				u.Endpoints = append(u.Endpoints, s)
			}
		}
	}
	if fence != l.fence {
		l.fence, l.sequence = fence, 0
	}
	l.sequence++
	return u, l.sequence
}

// receive handles a message of the watching coordinator. The lease backend has already checked and stored the
// fence of the message.
func (l *SharedList) receive(p leasebackend.Publication) {
	if p.Job != lease.JobReadJournal || p.HolderName == l.self {
		return
	}
	var u update
	if err := codec.Unmarshal(p.Data, &u); err != nil {
		l.log.Warn("shared endpoint list dropped: invalid JSON", "from", p.HolderName, "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Fence == l.fence && p.Seq <= l.sequence { // a duplicate, or older than the latest message
		return
	}
	l.hasGap = (l.hasGap || p.Fence != l.fence || p.Seq != l.sequence+1) && !u.Snapshot
	l.fence, l.sequence = p.Fence, p.Seq
	if !l.hasGap {
		l.receivedAt = time.Now()
	}
	if changed := l.merge(u); len(changed) > 0 && l.deliver != nil {
		l.deliver(changed)
	}
}

// merge merges an update into the list and returns the engines that have changed. Engines that are missing in
// a snapshot have been removed. The caller holds l.mu.
func (l *SharedList) merge(u update) (changed []journal.Endpoint) {
	inUpdate := map[string]bool{}
	for _, s := range u.Endpoints {
		inUpdate[s.ID] = true
		if l.ignores(s) {
			continue
		}
		l.endpoints[s.ID] = s
		changed = append(changed, s)
	}
	if !u.Snapshot {
		return changed
	}
	for id, s := range l.endpoints {
		if !inUpdate[id] && s.State != wireLeft && time.Since(l.readAt[id]) >= ownReadingPriority {
			s.State = wireLeft
			l.endpoints[id] = s
			changed = append(changed, s)
		}
	}
	return changed
}

// ignores reports whether a published state of an engine is to be ignored: it is known already, or this
// coordinator has recently read itself that the engine is less healthy.
func (l *SharedList) ignores(published journal.Endpoint) bool {
	known, ok := l.endpoints[published.ID]
	if !ok {
		return false
	}
	isRecentlyRead := time.Since(l.readAt[published.ID]) < ownReadingPriority
	return known == published || isRecentlyRead && published.StartedAtMS <= known.StartedAtMS && healthRank(published.State) > healthRank(known.State)
}

// healthRank returns a number that is larger for healthier states. An unknown state ranks like a removed engine.
func healthRank(state string) int {
	switch state {
	case wireActive:
		return 2
	case wireLeaving:
		return 1
	}
	return 0
}
