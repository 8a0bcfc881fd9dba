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

// RequestID is the id that the client gave its request.
func RequestID(id decision.StatementID) zap.Field { return zap.String(KeyRequestID, string(id)) }

// Attempt is the number of an attempt of its request, from 0.
func Attempt(number decision.AttemptID) zap.Field { return zap.Int(KeyAttempt, int(number)) }

// Endpoint is the id of an engine.
func Endpoint(engine decision.EngineID) zap.Field { return zap.String(KeyEndpoint, string(engine)) }

// Workload is the name of a workload.
func Workload(name string) zap.Field { return zap.String(KeyWorkload, name) }

// Reason says why something was done.
func Reason[T ~string](reason T) zap.Field { return zap.String(KeyReason, string(reason)) }

// Client is the address of a client's connection.
func Client(address net.Addr) zap.Field { return zap.Stringer(KeyClient, address) }

// Outcome is how an attempt ended.
func Outcome(outcome decision.Outcome) zap.Field { return zap.Stringer(KeyOutcome, outcome) }

// Duration is how long the event took, in milliseconds.
func Duration(d time.Duration) zap.Field { return Milliseconds(KeyDuration, d) }

// Milliseconds is a duration under a key of its own, which ends in _ms.
func Milliseconds(key string, d time.Duration) zap.Field {
	return zap.Float64(key, float64(d)/float64(time.Millisecond))
}

// Message is a text that another part wrote.
func Message(text string) zap.Field { return zap.String(KeyMessage, text) }

// Panic is the value of a panic that was recovered.
func Panic(value any) zap.Field { return zap.Any(KeyPanic, value) }

// Stack is the stack of the calling goroutine.
func Stack() zap.Field { return zap.ByteString(KeyStack, debug.Stack()) }
