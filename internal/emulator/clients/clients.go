// Package clients contains the client behavior that simulations and rehearsals share: the front
// proxy that distributes clients over coordinators, and the clients' retry habits.
package clients

import (
	"math/rand/v2"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// FrontProxy distributes clients round-robin over the coordinators of their zone that it believes
// to be alive. Callers of SetAlive notify it of crashes and starts after DetectionDelay.
type FrontProxy struct {
	scenario *scenario.Scenario
	rng      *rand.Rand
	alive    []bool // whether the proxy believes a coordinator to be alive, by index
	next     int    // counter of the round-robin distribution
}

// NewFrontProxy returns a front proxy that believes all coordinators to be alive.
func NewFrontProxy(s *scenario.Scenario, rng *rand.Rand) *FrontProxy {
	f := &FrontProxy{scenario: s, rng: rng}
	for range s.Coordinators.Count {
		f.alive = append(f.alive, true)
	}
	return f
}

// DetectionDelay draws the time that the front proxy takes to detect a change, in ms.
func (f *FrontProxy) DetectionDelay() float64 { return f.scenario.FrontProxy.DetectionMS.Draw(f.rng) }

// SetAlive sets whether the front proxy believes a coordinator to be alive.
func (f *FrontProxy) SetAlive(coordinator int, alive bool) { f.alive[coordinator] = alive }

// Pick returns the coordinator for a client of a zone: one of the zone if any is believed alive,
// else any other. It returns -1 if no coordinator is believed alive.
func (f *FrontProxy) Pick(zone int) int {
	var inZone, reachable []int
	for c, alive := range f.alive {
		if alive {
			reachable = append(reachable, c)
			if f.scenario.ZoneOf(c) == zone {
				inZone = append(inZone, c)
			}
		}
	}
	if len(inZone) == 0 {
		inZone = reachable
	}
	if len(inZone) == 0 {
		return -1
	}
	f.next++
	return inZone[f.next%len(inZone)]
}

// RetryDelay returns whether a client retries after its latest try has ended, and the time that it
// waits before the retry, in ms. Tries is the number of tries so far, of which the latest ended with
// the result kind; retryAfterMS is the Retry-After of its answer.
func RetryDelay(q scenario.Query, state *observer.ClientQuery, tries int, kind observer.TryResult, retryAfterMS, now float64) (wait float64, willRetry bool) {
	if kind == observer.Served || tries > len(q.RetryWaits) {
		return 0, false
	}
	if wait = q.RetryWaits[tries-1]; q.HonorsRetryAfter && kind == observer.Rejected {
		wait = max(wait, retryAfterMS)
	}
	return wait, now+wait < state.AbandonAt
}

// TryDeadline returns the time at which the client abandons a try that it makes now.
func TryDeadline(s *scenario.Scenario, q scenario.Query, state *observer.ClientQuery, now float64) float64 {
	return min(now+s.Classes[q.Class].DeadlineMS*q.Patience, state.AbandonAt)
}

// NewClientQuery returns the observer's state of a query that arrives at a client.
func NewClientQuery(s *scenario.Scenario, q scenario.Query) observer.ClientQuery {
	return observer.ClientQuery{Class: q.Class, ArrivedAt: q.ArrivesAt, ObjectiveTime: s.ObjectiveTime(q), AbandonAt: q.ArrivesAt + s.Classes[q.Class].DeadlineMS}
}
