package main

import (
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines = 1024                   // further lines are dropped
	flushTimeout   = 200 * time.Millisecond // limit of the wait for the queued lines at the end of the process
)

// asyncWriter writes log lines to standard error from its own goroutine. If nobody reads standard error, log lines are
// dropped and the router is not blocked.
type asyncWriter struct {
	lines chan []byte // a nil line ends the goroutine
	done  chan struct{}
	once  sync.Once
}

func newAsyncWriter() *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Sync does nothing: the writer's goroutine writes each queued line without buffering.
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

// close ends the writer and waits up to flushTimeout until the queued lines are written.
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

// newLog returns the program's logger and a function that writes the queued lines before the process exits.
func newLog(level zapcore.Level) (log *zap.Logger, flush func()) {
	writer := newAsyncWriter()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, level))
	return log, writer.close
}
