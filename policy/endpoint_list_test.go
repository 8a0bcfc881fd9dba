package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// If the endpoint list is only sent on request, the module requests it at its start and again after a failure.
func TestEndpointListOnRequest(t *testing.T) {
	h := newHarness(t)
	h.settings.Limits.PollEndpoints = true
	assert.Len(t, pick[decision.WatchEndpoints](h.at(0)), 1)
	h.at(time.Second, decision.EndpointList{Kind: decision.ListFailed})
	assert.Empty(t, pick[decision.WatchEndpoints](h))
	assert.Len(t, pick[decision.WatchEndpoints](h.at(3*time.Second)), 1)
}
