package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
)

// A cancelled statement must be released at once. Its deadline timer used to keep it in memory until the deadline, so
// clients that send and cancel at once, with the longest timeout, could use any amount of memory.
func TestCancelledStatementsAreReleased(t *testing.T) {
	const statements = 100_000
	const maxBytesEach = 40 // far below the size of a statement
	h := newHarness(t)
	h.at(0, ready("a"))
	used := func() int64 {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		return int64(memory.HeapAlloc)
	}
	before := used()
	now := time.Duration(0)
	for i := range statements {
		now += 10 * time.Microsecond
		id := decision.StatementID(fmt.Sprintf("%016x", i))
		h.at(now, write(id))
		h.at(now, decision.ClientCancelled{Statement: id}, end(id, 0, "a", decision.Cancelled))
	}
	assert.Empty(t, h.module.statements)
	grown := used() - before
	assert.Less(t, grown, int64(statements*maxBytesEach))
	t.Logf("%d bytes more for each of %d statements", grown/statements, statements)
	runtime.KeepAlive(h)
}
