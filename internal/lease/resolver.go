package lease

import "slices"

// KeepAlivesPerLease is the number of keep-alive requests that a client sends per lease duration, so that a lease
// survives lost requests.
const KeepAlivesPerLease = 10

// noTime marks a time that is not set; readings of the monotonic clock are never below 0.
const noTime Millis = -1

// LeaderResolver decides which replica a client sends its next keep-alive request to, and when. It is not safe for
// concurrent use.
type LeaderResolver struct {
	replicas           []string
	currentIndex       int    // index of the replica that is assumed to lead
	requestInterval    Millis // time between two keep-alive requests
	nextRequestAt      Millis // when the next request is due
	oldestUnansweredAt Millis // when the oldest unanswered request was sent, or noTime
	redirectCount      int    // number of consecutive redirects that were followed
}

// NewLeaderResolver returns a resolver that begins with replicas[firstIndex%len(replicas)]. Clients should differ in firstIndex,
// so that they do not all begin with the same replica. There must be at least one replica.
func NewLeaderResolver(replicas []string, firstIndex int, leaseTTL Millis) *LeaderResolver {
	return &LeaderResolver{replicas: replicas, currentIndex: firstIndex % len(replicas), requestInterval: leaseTTL / KeepAlivesPerLease, oldestUnansweredAt: noTime}
}

// Due reports whether a keep-alive request is to be sent now, and to which replica. After more than two intervals
// without a response it moves on to the next replica.
func (r *LeaderResolver) Due(now Millis) (replica string, due bool) {
	if now < r.nextRequestAt {
		return "", false
	}
	if r.oldestUnansweredAt >= 0 && now-r.oldestUnansweredAt > 2*r.requestInterval {
		r.tryNextReplica()
		r.oldestUnansweredAt = noTime
	}
	r.nextRequestAt = now + r.requestInterval
	if r.oldestUnansweredAt < 0 {
		r.oldestUnansweredAt = now
	}
	return r.replicas[r.currentIndex], true
}

// Current returns the replica that the next request goes to.
func (r *LeaderResolver) Current() string { return r.replicas[r.currentIndex] }

// HandleResponse follows a redirect to another leader at once, unless the replicas keep redirecting to each other. On a
// redirect that it does not follow it moves on to the next replica.
func (r *LeaderResolver) HandleResponse(now Millis, response KeepAliveResponse) {
	r.oldestUnansweredAt = noTime
	if response.RedirectTo == "" {
		r.redirectCount = 0
		return
	}
	leaderIndex := slices.Index(r.replicas, response.RedirectTo)
	if leaderIndex >= 0 && leaderIndex != r.currentIndex && r.redirectCount < len(r.replicas) {
		r.currentIndex, r.nextRequestAt = leaderIndex, now
		r.redirectCount++
		return
	}
	r.redirectCount = 0
	r.tryNextReplica()
}

// SendNow makes the next request due at once.
func (r *LeaderResolver) SendNow(now Millis) { r.nextRequestAt = now }

func (r *LeaderResolver) tryNextReplica() { r.currentIndex = (r.currentIndex + 1) % len(r.replicas) }
