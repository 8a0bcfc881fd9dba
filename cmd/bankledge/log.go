package main

import (
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	logLines  = 1024                   // that may wait to be written; more are dropped
	flushTime = 200 * time.Millisecond // for the last lines at the end
)

// sink writes log lines to standard error from a goroutine of its own: a log that nobody reads costs lines,
// and never holds up the router.
type sink struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
}

func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if line == nil {
			return
		}
		os.Stderr.Write(line)
	}
}

// newLog returns the program's log and what waits, for a short while, until its last lines are written.
func newLog(level zapcore.Level) (*zap.Logger, func()) {
	s := &sink{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go s.run()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, level))
	return log, func() {
		s.once.Do(func() {
			last := time.After(flushTime)
			select {
			case s.lines <- nil:
			case <-last:
			}
			select {
			case <-s.done:
			case <-last:
			}
		})
	}
}
