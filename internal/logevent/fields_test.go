package logevent

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bankledge/decision"
)

// Each field has one key, type and unit.
func TestFields(t *testing.T) {
	for _, c := range []struct {
		field zap.Field
		key   string
		want  any
	}{
		{RequestID("9b1f"), "request_id", "9b1f"},
		{Attempt(2), "attempt", int64(2)},
		{Endpoint("e1"), "endpoint", "e1"},
		{Workload("lookup"), "workload", "lookup"},
		{Reason("too late"), "reason", "too late"},
		{Outcome(decision.Completed), "outcome", "completed"},
		{Duration(1500 * time.Microsecond), "duration_ms", 1.5},
		{Milliseconds("left_ms", time.Second), "left_ms", 1000.0},
		{Client(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}), "client", "127.0.0.1:9"},
		{Message("text"), "message", "text"},
		{Panic("value"), "panic", "value"},
	} {
		t.Run(c.key, func(t *testing.T) {
			encoder := zapcore.NewMapObjectEncoder()
			c.field.AddTo(encoder)
			assert.Equal(t, map[string]any{c.key: c.want}, encoder.Fields)
		})
	}
}

// Creating a field allocates no memory, since most lines below the log level are not written.
func TestFieldsDoNotAllocate(t *testing.T) {
	var field zap.Field
	allocations := testing.AllocsPerRun(100, func() {
		field = RequestID("9b1f")
		field = Attempt(2)
		field = Duration(time.Second)
	})
	assert.Zero(t, allocations)
	assert.Equal(t, KeyDuration, field.Key)
}
