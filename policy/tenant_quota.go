package policy

import (
	"math"
	"time"

	"bankledge/decision"
)

// quotaBurstFactor times the square root of a tenant's rate, in statements per second, is the capacity of its bucket
// beyond one second of statements. At low rates the number of arrivals varies strongly.
const quotaBurstFactor = 3.0

// tenantQuotas holds this router's share of each tenant's quota.
type tenantQuotas map[decision.Tenant]*tokenBucket

func newTenantQuotas(quotas []decision.Quota, routers float64) tenantQuotas {
	t := tenantQuotas{}
	for _, q := range quotas {
		t[q.Tenant] = newTokenBucket(q.RatePerSecond / routers)
	}
	return t
}

// change sets other rates for known tenants, and scales the tokens of each bucket with its capacity.
func (t tenantQuotas) change(quotas []decision.Quota, routers float64) {
	for _, q := range quotas {
		if bucket := t[q.Tenant]; bucket != nil {
			bucket.changeRate(q.RatePerSecond / routers)
		}
	}
}

// take counts a statement of a tenant, and reports whether it is within the quota. It always is if the tenant has none.
func (t tenantQuotas) take(tenant decision.Tenant, now time.Duration) bool {
	bucket := t[tenant]
	return bucket == nil || bucket.perSecond <= 0 || bucket.take(now)
}

// tokenBucket is a token bucket that refills at a constant rate.
type tokenBucket struct {
	perSecond float64
	capacity  float64
	tokens    float64
	filledAt  time.Duration
}

// newTokenBucket returns a full bucket. It holds one second of statements, one more, and a margin for random variation.
func newTokenBucket(perSecond float64) *tokenBucket {
	capacity := perSecond + quotaBurstFactor*math.Sqrt(perSecond) + 1
	return &tokenBucket{perSecond: perSecond, capacity: capacity, tokens: capacity}
}

// changeRate sets another rate, and scales the tokens with the capacity.
func (b *tokenBucket) changeRate(perSecond float64) {
	fresh := newTokenBucket(perSecond)
	fresh.tokens = fresh.capacity * b.tokens / max(1e-9, b.capacity)
	fresh.filledAt = b.filledAt
	*b = *fresh
}

// take takes a token, and reports whether there was one.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.capacity, b.tokens+b.perSecond*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
