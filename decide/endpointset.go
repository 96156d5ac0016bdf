package decide

import (
	"math"
	"slices"
	"sort"
)

// maxCachedOrders is the largest number of groups whose rendezvous order is cached.
const maxCachedOrders = 4096

// endpointSet holds the endpoints of the endpoint list and this balancer's attempts in flight at them.
type endpointSet struct {
	byID       map[EndpointID]*endpoint
	sorted     []*endpoint            // by ID, so that decisions don't depend on map order
	orders     map[uint64][]*endpoint // cache of the rendezvous order by group, for the current list
	byTag      map[uint16]*endpoint   // endpoints by gossip tag; nil if several share the tag
	readyCount int
	cores      float64 // sum of the cores of all endpoints

	attemptsStarted  int            // attempts that this balancer has started so far
	attemptsInFlight int            // attempts of this balancer that have not ended
	locksByGroup     map[uint64]int // number of attempts in flight, at all endpoints, that lock the group
}

func newEndpointSet() *endpointSet {
	return &endpointSet{byID: map[EndpointID]*endpoint{}, orders: map[uint64][]*endpoint{},
		locksByGroup: map[uint64]int{}}
}

// update applies an update of the endpoint list. Endpoints missing from a complete list are removed. An
// endpoint with a later start time is a new process: its observations are dropped, and it is warming up.
func (s *endpointSet) update(u EndpointUpdate, kinds []EndpointKind) {
	if u.Kind != UpdateIncremental {
		for _, e := range s.sorted {
			e.isListed = false
		}
	}
	for _, info := range u.Entries {
		e := s.byID[info.ID]
		if e == nil || info.StartedAt > e.StartedAt {
			e = s.replace(info.ID)
		}
		info.StartedAt = max(info.StartedAt, e.StartedAt) // the list may lag behind a detected restart
		e.EndpointInfo = info
		if info.Kind >= 0 && info.Kind < len(kinds) {
			e.cores, e.memoryMB = kinds[info.Kind].Cores, kinds[info.Kind].MemoryMB
		}
		e.cores = max(e.cores, 1)
		e.isListed = info.State != EndpointRemoved
	}
	s.reindex()
	for _, e := range s.sorted {
		if !e.recentSends.initialized { // otherwise all balancers would send to a new endpoint at once
			s.creditFairShare(e)
		}
	}
}

// replace resets the endpoint with the given ID, or adds it. Attempts in flight at the old process stay,
// since their ends are still to be counted.
func (s *endpointSet) replace(id EndpointID) *endpoint {
	e, replacement := s.byID[id], newEndpoint(s.attemptsStarted)
	if e == nil {
		s.byID[id], s.sorted = replacement, append(s.sorted, replacement)
		return replacement
	}
	replacement.inFlight = e.inFlight
	*e = *replacement
	return e
}

// reindex drops removed endpoints without attempts in flight and recomputes the data derived from the list.
func (s *endpointSet) reindex() {
	sort.Slice(s.sorted, func(i, j int) bool { return s.sorted[i].ID < s.sorted[j].ID })
	s.sorted = slices.DeleteFunc(s.sorted, func(e *endpoint) bool {
		removed := !e.isListed && len(e.inFlight.attempts) == 0
		if removed {
			delete(s.byID, e.ID)
		}
		return removed
	})
	s.orders, s.byTag = map[uint64][]*endpoint{}, map[uint16]*endpoint{}
	s.cores, s.readyCount = 0, 0
	for _, e := range s.sorted {
		s.cores += e.cores
		if e.ready() {
			s.readyCount++
		}
		tag := gossipTag(e.ID)
		if _, shared := s.byTag[tag]; shared {
			e = nil
		}
		s.byTag[tag] = e
	}
}

// rendezvousOrder returns all endpoints in the group's rendezvous order, best first. All balancers compute
// the same order. An endpoint comes first for a share of groups equal to its share of the cores, because at
// low traffic the load band (see placement) never corrects an uneven spread.
func (s *endpointSet) rendezvousOrder(group uint64) []*endpoint {
	order := s.orders[group]
	if order != nil {
		return order
	}
	if len(s.orders) >= maxCachedOrders {
		clear(s.orders)
	}
	order = slices.Clone(s.sorted)
	for _, e := range order {
		e.score = math.Log((float64(rendezvousHash(group, e.ID)>>11)+0.5)/(1<<53)) / e.cores
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].score > order[j].score })
	s.orders[group] = order
	return order
}

// Values passed to rendezvousHash in place of a group where the hash doesn't serve to order endpoints.
const (
	gossipTagSalt     = 0
	rotationPhaseSalt = 1
)

// rendezvousHash is the hash of an endpoint for a group. All balancers must compute the same value.
func rendezvousHash(group uint64, id EndpointID) uint64 {
	x := group*0x9E3779B97F4A7C15 ^ uint64(id)*0xD6E8FEB86659FD93
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// sparse reports whether traffic is sparse: this balancer has fewer attempts in flight than there are
// endpoints, too few to infer the load of endpoints from.
func (s *endpointSet) sparse() bool { return s.attemptsInFlight < len(s.sorted) }

// attach adds an attempt that starts to the load in flight at its endpoint.
func (s *endpointSet) attach(r *request, e *endpoint, c *classStats) {
	s.attemptsStarted++
	s.attemptsInFlight++
	e.inFlight.attempts[r] = struct{}{}
	e.inFlight.work += r.current.work
	e.inFlight.memoryMB += r.current.memoryMB
	r.current.size = c.size()
	e.inFlight.threads[r.current.size] += float64(c.Threads)
	if c.LocksGroup {
		e.inFlight.locksByGroup[r.Group]++
		s.locksByGroup[r.Group]++
	}
}

// detach removes an attempt that has ended from the load in flight at its endpoint.
func (s *endpointSet) detach(r *request, e *endpoint, c *classStats) {
	r.current.endpoint = nil
	s.attemptsInFlight--
	delete(e.inFlight.attempts, r)
	e.inFlight.work -= r.current.work
	e.inFlight.memoryMB -= r.current.memoryMB
	e.inFlight.threads[r.current.size] -= float64(c.Threads)
	if c.LocksGroup {
		decrement(e.inFlight.locksByGroup, r.Group)
		decrement(s.locksByGroup, r.Group)
	}
}

// decrement decreases a count by one and deletes it at 0, so that unused groups take no memory.
func decrement(counts map[uint64]int, key uint64) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// lockedEverywhere reports whether this balancer has an attempt that locks the request's group at every ready
// endpoint. Locking requests of a group run one by one at an endpoint anyway. While they wait in the pending
// queue, they use no memory, session or connection, can still be rejected, and can go to the first endpoint
// that is free.
func (s *endpointSet) lockedEverywhere(r *request, c *classStats) bool {
	return c.LocksGroup && s.locksByGroup[r.Group] >= s.readyCount
}

// recentSendsPerEndpoint is the decay constant of recentSends, in attempts per endpoint.
const recentSendsPerEndpoint = 2.0

// recentLoad estimates an endpoint's load where traffic is sparse: attempts in flight plus recent attempts.
func (s *endpointSet) recentLoad(e *endpoint) float64 {
	age := float64(s.attemptsStarted-e.recentSends.countedAt) /
		(recentSendsPerEndpoint * float64(len(s.sorted)))
	return float64(len(e.inFlight.attempts)) + e.recentSends.count*math.Exp(-age)
}

// creditFairShare counts the endpoint as if it had recently received its share of the traffic.
func (s *endpointSet) creditFairShare(e *endpoint) {
	e.recentSends.initialized = true
	e.recentSends.count = recentSendsPerEndpoint * e.cores * float64(len(s.sorted)) / s.cores
	e.recentSends.countedAt = s.attemptsStarted
}

// countSend adds an attempt that has just been attached to the endpoint's recent attempts.
func (s *endpointSet) countSend(e *endpoint) {
	e.recentSends.count = s.recentLoad(e) - float64(len(e.inFlight.attempts)) + 1
	e.recentSends.countedAt = s.attemptsStarted
}

// allowsIndex reports whether a list of allowed indexes contains index; nil allows any index.
func allowsIndex(indexes []int, index int) bool {
	return indexes == nil || slices.Contains(indexes, index)
}
