package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a new engine that loses its address to the one that had it before: a late change of the old, draining engine displaced the
// new one, so that nothing was sent to the new one and its attempts in flight were given up.
func TestDrainingEngineDoesNotTakeOverAnAddress(t *testing.T) {
	pool := newConnectionPool(4, time.Second, time.Second)
	pool.updateEngine("old", "a", true)
	pool.updateEngine("new", "a", true)
	assert.False(t, pool.mayStartAttempt("old", "a"), "the new engine has its address")
	pool.updateEngine("old", "a", false)
	pool.drainEngine("old")
	assert.True(t, pool.mayStartAttempt("new", "a"))
	assert.False(t, pool.mayStartAttempt("old", "a"))
	assert.True(t, pool.belongsToOtherEngine("a", "old"))
	pool.removeEngine("old")
	assert.True(t, pool.mayStartAttempt("new", "a"))
	pool.drainEngine("new")
	pool.updateEngine("third", "a", true)
	assert.True(t, pool.mayStartAttempt("third", "a"), "a ready engine takes the address over")
	assert.False(t, pool.mayStartAttempt("new", "a"))
}
