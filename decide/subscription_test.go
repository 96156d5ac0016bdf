package decide

import (
	"testing"
)

func TestSubscriptionIsRenewedWithBackoff(t *testing.T) {
	settings := plainSettings()
	settings.SubscriptionRequired = true
	s := newScript(t, settings, 2)
	subscribeCalls := 0
	for now := Millis(0); now < 20000; now += 50 {
		s.at(now, TimerFired{"tick"})
		for _, a := range s.actions {
			if _, ok := a.(Subscribe); ok {
				subscribeCalls++
				s.at(now, EndpointUpdate{Kind: UpdateFailed})
			}
		}
	}
	if subscribeCalls < 2 || subscribeCalls > 40 {
		t.Fatalf("%d calls in 20 s of failing discovery", subscribeCalls)
	}
}
