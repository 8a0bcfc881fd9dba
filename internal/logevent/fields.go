package logevent

import (
	"net"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
)

// The keys of the fields that several events share.
const (
	KeyRequestID = "request_id"
	KeyAttempt   = "attempt"
	KeyEndpoint  = "endpoint"
	KeyWorkload  = "workload"
	KeyReason    = "reason"
	KeyOutcome   = "outcome"
	KeyDuration  = "duration_ms"
	KeyMessage   = "message"
	KeyPanic     = "panic"
	KeyStack     = "stack"
	KeyListen    = "listen"
	KeyClient    = "client"
)

// RequestID returns a field with the id that the client gave its request.
func RequestID(id decision.StatementID) zap.Field { return zap.String(KeyRequestID, string(id)) }

// Attempt returns a field with the number of an attempt within its request, counted from 0.
func Attempt(number decision.AttemptID) zap.Field { return zap.Int(KeyAttempt, int(number)) }

// Endpoint returns a field with the id of an engine.
func Endpoint(engine decision.EngineID) zap.Field { return zap.String(KeyEndpoint, string(engine)) }

// Workload returns a field with the name of a workload.
func Workload(name string) zap.Field { return zap.String(KeyWorkload, name) }

// Reason returns a field with the reason for an action or event.
func Reason[T ~string](reason T) zap.Field { return zap.String(KeyReason, string(reason)) }

// Client returns a field with the remote address of a client connection.
func Client(address net.Addr) zap.Field { return zap.Stringer(KeyClient, address) }

// Outcome returns a field with the outcome of an attempt.
func Outcome(outcome decision.Outcome) zap.Field { return zap.Stringer(KeyOutcome, outcome) }

// Duration returns a field with the duration of what the event reports, in milliseconds.
func Duration(d time.Duration) zap.Field { return Milliseconds(KeyDuration, d) }

// Milliseconds returns a field with a duration in milliseconds under the given key, which ends in _ms.
func Milliseconds(key string, d time.Duration) zap.Field {
	return zap.Float64(key, float64(d)/float64(time.Millisecond))
}

// Message returns a field with a text that another component wrote, such as the decision module.
func Message(text string) zap.Field { return zap.String(KeyMessage, text) }

// Panic returns a field with the value of a recovered panic.
func Panic(value any) zap.Field { return zap.Any(KeyPanic, value) }

// Stack returns a field with the stack trace of the calling goroutine.
func Stack() zap.Field { return zap.ByteString(KeyStack, debug.Stack()) }
