package routing

import (
	"sync"
	"sync/atomic"

	"aniseloft/decide"
	"aniseloft/internal/millis"
	"aniseloft/internal/overrides"
)

// overrideTable shares the admin overrides between the dispatcher's goroutine and the operators'
// calls. The names of the suspended endpoints are also published as a set that attempts check before
// they send their first byte, so that a suspension is in effect once it is acknowledged, even before
// the balancer is notified.
type overrideTable struct {
	mu             sync.Mutex
	overrides      *overrides.Set                  // guarded by mu
	suspendedNames atomic.Pointer[map[string]bool] // the map is never modified, but replaced under mu
}

func newOverrideTable() *overrideTable {
	t := &overrideTable{overrides: overrides.New()}
	t.suspendedNames.Store(&map[string]bool{})
	return t
}

// isSuspended reports whether an endpoint is suspended. It takes no lock.
func (t *overrideTable) isSuspended(endpointName string) bool {
	return (*t.suspendedNames.Load())[endpointName]
}

// update runs f on the overrides, under the lock, and then rebuilds the set of suspended names.
func (t *overrideTable) update(f func(*overrides.Set)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.overrides)
	newNames := map[string]bool{}
	for _, suspension := range t.overrides.Suspensions() {
		newNames[suspension.EndpointName] = true
	}
	t.suspendedNames.Store(&newNames)
}

// apply records an entry of the endpoint list and returns it with the override applied.
func (t *overrideTable) apply(entry Endpoint) decide.EndpointInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overrides.SetListed(entry.Name, entry.State != decide.EndpointRemoved)
	return t.overrides.Apply(entry.Name, entry.EndpointInfo)
}

// setUnlisted records that an endpoint is no longer on the endpoint list.
func (t *overrideTable) setUnlisted(endpointName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overrides.SetListed(endpointName, false)
}

// Suspend suspends an endpoint and returns the number of SUSPEND calls since it was last restored.
// When it returns, the suspension applies to all attempts that have not started; the balancer is notified
// asynchronously. For an unknown name it returns overrides.ErrUnknownEndpoint.
func (d *Dispatcher) Suspend(endpointName string) (calls int, err error) {
	d.overrides.update(func(set *overrides.Set) { calls, err = set.Suspend(endpointName, millis.Now()) })
	if err == nil {
		go d.post(d.reapplyOverrides) // an operator's call must not wait for the inbox
	}
	return calls, err
}

// Restore ends the suspension of an endpoint, which is then treated as started now, and reports
// whether it was suspended. For an unknown name it returns overrides.ErrUnknownEndpoint.
func (d *Dispatcher) Restore(endpointName string) (wasSuspended bool, err error) {
	d.overrides.update(func(set *overrides.Set) { wasSuspended, err = set.Restore(endpointName, millis.Now()) })
	if wasSuspended {
		go d.post(d.reapplyOverrides)
	}
	return wasSuspended, err
}

// UpdateOverrides runs f on the overrides, under their lock: to read them, to encode them or to adopt
// those of another process. The balancer is notified if f reports a change.
func (d *Dispatcher) UpdateOverrides(f func(*overrides.Set) (changed bool)) {
	var changed bool
	d.overrides.update(func(set *overrides.Set) { changed = f(set) })
	if changed {
		go d.post(d.reapplyOverrides)
	}
}
