package simulation_test

import (
	"testing"

	"aniseloft/internal/emulator/policy"
	"aniseloft/internal/emulator/simulation"
	"aniseloft/scenarios"
)

// BenchmarkDay simulates calm-weekday, 60 s of three coordinators and eight engines, with the
// decision module and with the random policy. The ratio of the two is comparable across machines.
func BenchmarkDay(b *testing.B) {
	for _, policyName := range []string{policy.Module, "random"} {
		b.Run(policyName, func(b *testing.B) {
			s, err := scenarios.Load("calm-weekday")
			if err != nil {
				b.Fatal(err)
			}
			events := 0
			for i := range b.N {
				r, err := simulation.Run(s, simulation.Options{Seed: uint64(i), Policy: policyName})
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
