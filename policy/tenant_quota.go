package policy

import (
	"math"
	"time"

	"bankledge/decision"
)

// quotaBurstFactor is, of the root of a tenant's rate in statements a second, the size of its bucket beyond one second:
// few statements a second vary much.
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

// change gives tenants that are known other rates; the tokens of a bucket stay in proportion.
func (t tenantQuotas) change(quotas []decision.Quota, routers float64) {
	for _, q := range quotas {
		if bucket := t[q.Tenant]; bucket != nil {
			bucket.changeRate(q.RatePerSecond / routers)
		}
	}
}

// take counts a statement of a tenant, and reports whether it is within the quota. A tenant without a quota always is.
func (t tenantQuotas) take(tenant decision.Tenant, now time.Duration) bool {
	bucket := t[tenant]
	return bucket == nil || bucket.perSecond <= 0 || bucket.take(now)
}

// tokenBucket is filled at a rate.
type tokenBucket struct {
	perSecond float64
	capacity  float64
	tokens    float64
	filledAt  time.Duration
}

// newTokenBucket is a full bucket. It holds one second of statements, one more, and a margin for random variation.
func newTokenBucket(perSecond float64) *tokenBucket {
	capacity := perSecond + quotaBurstFactor*math.Sqrt(perSecond) + 1
	return &tokenBucket{perSecond: perSecond, capacity: capacity, tokens: capacity}
}

// changeRate gives the bucket another rate, with its tokens in proportion.
func (b *tokenBucket) changeRate(perSecond float64) {
	fresh := newTokenBucket(perSecond)
	fresh.tokens = fresh.capacity * b.tokens / max(1e-9, b.capacity)
	fresh.filledAt = b.filledAt
	*b = *fresh
}

// take takes a token; false: there is none.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.capacity, b.tokens+b.perSecond*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
