package main

import (
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines = 1024                   // more are dropped
	flushTimeout   = 200 * time.Millisecond // for the last lines at the end
)

// asyncWriter writes log lines to standard error from a goroutine of its own: a log that nobody reads costs lines,
// and never holds up the router.
type asyncWriter struct {
	lines chan []byte // nil: the end
	done  chan struct{}
	once  sync.Once
}

func newAsyncWriter() *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it where too many wait. It never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		os.Stderr.Write(line)
	}
}

// close ends the writer and waits, for a short while, until its last lines are written.
func (w *asyncWriter) close() {
	w.once.Do(func() {
		timeout := time.After(flushTimeout)
		select {
		case w.lines <- nil:
		case <-timeout:
		}
		select {
		case <-w.done:
		case <-timeout:
		}
	})
}

// newLog returns the program's log and a function that writes its last lines.
func newLog(level zapcore.Level) (log *zap.Logger, flush func()) {
	writer := newAsyncWriter()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, level))
	return log, writer.close
}
