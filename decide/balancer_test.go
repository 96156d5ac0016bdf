package decide

import (
	"fmt"
	"testing"
)

// TestStoppedOrJumpingClockLosesNoRequest checks that no request is lost by a clock that doesn't advance and then jumps
// by an hour.
func TestStoppedOrJumpingClockLosesNoRequest(t *testing.T) {
	s := newScript(t, plainSettings(), 3)
	for i := range 50 {
		s.at(1, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: i % 2, Group: uint64(i), TimeLeft: 3000})
	}
	s.at(3600e3, TimerFired{"tick"})
	for id, r := range s.balancer.requests {
		if r.current.endpoint == nil && !r.answered {
			t.Fatalf("%s neither in flight nor answered an hour after its deadline", id)
		}
	}
}
