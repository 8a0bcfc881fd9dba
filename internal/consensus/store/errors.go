package store

import (
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// panicLogger is Pebble's logger. It drops all messages except a fatal error, on which it panics; recoverError returns that panic as an error
// of the call.
type panicLogger struct{}

func (panicLogger) Infof(string, ...any)  {}
func (panicLogger) Errorf(string, ...any) {}

func (panicLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// recoverError converts a panic of Pebble to an error. Each exported function that may panic defers it.
func recoverError(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("store: %v", cause)
	}
}

// wrapCorruption adds ErrCorrupted to an error by which Pebble reports damaged data.
func wrapCorruption(err error) error {
	if pebble.IsCorruptionError(err) {
		return fmt.Errorf("%w: %w", ErrCorrupted, err)
	}
	return err
}
