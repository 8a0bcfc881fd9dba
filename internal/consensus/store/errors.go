package store

import (
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// fatalLogger drops Pebble's messages about its files. A fatal error of Pebble becomes a panic, which recoverError turns into
// an error of the call.
type fatalLogger struct{}

func (fatalLogger) Infof(string, ...any)  {}
func (fatalLogger) Errorf(string, ...any) {}

func (fatalLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// recoverError turns a panic of Pebble into an error. It is deferred by each exported call.
func recoverError(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("store: %v", cause)
	}
}

// corruption adds ErrCorrupted to an error by which Pebble reports damaged data.
func corruption(err error) error {
	if pebble.IsCorruptionError(err) {
		return fmt.Errorf("%w: %w", ErrCorrupted, err)
	}
	return err
}
