package failover

import "math"

// trialRatio is the part of the lightest class's work that is sent over a failed-over link as trial traffic: enough requests to detect a
// recovery within a few periods, and few enough that their loss is acceptable.
const trialRatio = 0.01

// addTrialTraffic sends some work of the lightest class over each failed-over link to a zone with listed capacity.
// Without it no report would show that the zone is reachable again.
func (d *Decider) addTrialTraffic(split Split, health []HealthState) {
	class := d.settings.lightestClass()
	for entry := range split {
		for zone, state := range health {
			if !d.links[entry][zone].failedOver || state == NoEndpoints {
				continue
			}
			if d.settings.permitted(d.settings.Classes[class], entry, zone) {
				addTrial(split[entry][class], zone)
			}
		}
	}
}

// addTrial adds trialRatio to a zone's ratio. It scales the ratios down first if the total would exceed 1.
func addTrial(ratios []float64, zone int) {
	const minTotal = 1e-9 // avoids a division by zero
	scale := math.Min(1, (1-trialRatio)/math.Max(sum(ratios), minTotal))
	for i := range ratios {
		ratios[i] *= scale
	}
	ratios[zone] += trialRatio
}

// lightestClass returns the class whose lost queries cost least: the one with the lowest product of weight and mean
// work.
func (s Settings) lightestClass() int {
	lightestIndex := 0
	for i, class := range s.Classes {
		if class.Weight*class.MeanWork < s.Classes[lightestIndex].Weight*s.Classes[lightestIndex].MeanWork {
			lightestIndex = i
		}
	}
	return lightestIndex
}
