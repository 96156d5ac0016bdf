package decide

import (
	"testing"
)

// TestSmallQuotaShareHoldsWholeRequests guards against buckets with room for less than one request: a balancer's share
// of 0.25 requests per second gave a bucket of half a request, so all requests of the tenant counted as over its quota.
func TestSmallQuotaShareHoldsWholeRequests(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.OverQuotaWeightRatio = 250, 0.2
	settings.Tenants = []Tenant{{QuotaPerSecond: 500, WeightShare: 0.9}, {QuotaPerSecond: 50, WeightShare: 0.1}}
	s := newScript(t, settings, 40)
	withinQuotaCount := 0
	for i := range 200 {
		r := &request{RequestArrived: RequestArrived{Tenant: 1}}
		s.balancer.clock.now = float64(2500 * i) // twice its share
		if s.balancer.quota.take(r.Tenant) {
			withinQuotaCount++
		}
	}
	if withinQuotaCount < 90 || withinQuotaCount > 110 {
		t.Fatalf("%d of 200 requests within the quota, want half of them", withinQuotaCount)
	}
}
