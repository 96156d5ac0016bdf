package decide

// bucketSeconds is the size of a tenant's bucket, in seconds of its quota. It is also the bucket's smallest
// size in requests.
const bucketSeconds = 2.0

// tenantQuota limits each tenant to this balancer's equal share of its quota, by a token bucket.
type tenantQuota struct {
	clock     *clock
	settings  *Settings
	tokens    []float64 // tokens in each tenant's bucket; a request takes one token
	updatedAt Millis
}

// take takes one token from the tenant's bucket and reports whether the request is within the quota. Buckets
// have room for at least two requests.
func (q *tenantQuota) take(tenant int) bool {
	q.refill()
	if tenant < 0 || tenant >= len(q.tokens) || q.settings.Tenants[tenant].QuotaPerSecond <= 0 {
		return true
	}
	if q.tokens[tenant] < 1 {
		return false
	}
	q.tokens[tenant]--
	return true
}

func (q *tenantQuota) refill() {
	seconds := (q.clock.now - q.updatedAt) / 1000
	q.updatedAt = q.clock.now
	for i, t := range q.settings.Tenants {
		balancerQuota := t.QuotaPerSecond / float64(q.settings.Balancers)
		q.tokens[i] = min(q.tokens[i]+seconds*balancerQuota, bucketSeconds*max(balancerQuota, 1))
	}
}
