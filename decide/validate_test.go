package decide

import (
	"testing"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"Balancers: must be at least 1":                func(s *Settings) { s.Balancers = 0 },
		"BalancerIndex: must be from 0 to Balancers-1": func(s *Settings) { s.BalancerIndex = 7 },
		"Classes: at least one is required":            func(s *Settings) { s.Classes = nil },
		"TickInterval: must be above 0":                func(s *Settings) { s.TickInterval = 0 },
		"Kinds[0].Cores: must be above 0":              func(s *Settings) { s.Kinds[0].Cores = 0 },
	} {
		settings := plainSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}
