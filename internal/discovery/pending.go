package discovery

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// initialLineTimeout is the time without a line on a new connection after which another one is opened as well. It increases by half
	// with each further connection, up to silenceTimeout.
	initialLineTimeout = 1250 * time.Millisecond
	// maxPending is the number of connections that may wait for their first line at the same time.
	maxPending = 3
	// The oldest of maxPending connections is kept for minOldestWait. The time doubles, up to maxOldestWait, each time that it has passed,
	// so that a feed is read even if it takes long to respond.
	minOldestWait = 10 * time.Second
	maxOldestWait = time.Minute
)

// streamRequest is a request for the events after the last handled one.
type streamRequest struct {
	address     string
	lastEventID int64
}

// openFunc opens a stream. It returns when the first line has arrived, the stream has failed or ctx is done.
type openFunc func(ctx context.Context, request streamRequest) (*openedStream, error)

// pendingStream is a stream whose first line has not arrived yet, or whose result was not taken yet.
type pendingStream struct {
	openedAt time.Time
	cancel   context.CancelFunc
	opened   *openedStream // once the first line has arrived
	err      error         // once it has failed
}

// pendingStreams opens streams until one of them delivers a line. A stream without a line does not delay the next one, and the next one
// does not end the one before, since the feed may take long to respond. Only one goroutine may use it.
type pendingStreams struct {
	open             openFunc
	onOpened         func()        // called by another goroutine when takeOpened will return a stream
	changed          chan struct{} // receives an element when a stream was opened or has failed
	nextOpenAt       time.Time     // when the next stream is opened
	emptyConnections int           // consecutive connections without a line when the next one was opened
	oldestWait       time.Duration
	retry            backoff
	goroutines       sync.WaitGroup

	mu      sync.Mutex
	pending []*pendingStream // oldest first
}

// newPendingStreams returns a pendingStreams that opens streams with open.
func newPendingStreams(open openFunc, onOpened func()) *pendingStreams {
	return &pendingStreams{open: open, onOpened: onOpened, changed: make(chan struct{}, 1)}
}

// firstLineTimeout returns how long the first line of a new connection is waited for before another one is opened. It is short at first,
// so that several connections can fail one after another within maxNotificationDelay, and increases, so that a slow feed receives fewer
// requests.
func (p *pendingStreams) firstLineTimeout() time.Duration {
	timeout := initialLineTimeout
	for range p.emptyConnections {
		timeout = min(silenceTimeout, timeout*3/2)
	}
	return timeout
}

// openIfDue opens a stream if it is time for one. If it does, it returns how many streams have been waiting for their first line.
func (p *pendingStreams) openIfDue(ctx context.Context, now time.Time, request streamRequest) (waitingStreams int) {
	if now.Before(p.nextOpenAt) {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	waitingStreams = len(p.pending)
	if waitingStreams > 0 {
		p.emptyConnections++
	}
	p.makeRoom(now)
	p.nextOpenAt = now.Add(p.firstLineTimeout())
	openCtx, cancel := context.WithCancel(ctx)
	waiting := &pendingStream{openedAt: now, cancel: cancel}
	p.pending = append(p.pending, waiting)
	p.goroutines.Go(func() {
		opened, err := p.open(openCtx, request)
		p.record(waiting, opened, err)
	})
	return waitingStreams
}

// makeRoom closes a stream if maxPending are waiting: the oldest if oldestWait has passed, the second oldest otherwise. The caller must
// hold mu.
func (p *pendingStreams) makeRoom(now time.Time) {
	if len(p.pending) < maxPending {
		return
	}
	closing := 1
	p.oldestWait = max(p.oldestWait, minOldestWait)
	if now.Sub(p.pending[0].openedAt) > p.oldestWait {
		closing = 0
		p.oldestWait = min(2*p.oldestWait, maxOldestWait)
	}
	p.closeAt(closing)
}

// record records the result of opening a stream. If the stream was closed in the meantime, its connection is closed.
func (p *pendingStreams) record(waiting *pendingStream, opened *openedStream, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.pending, waiting) {
		opened.close()
		return
	}
	waiting.opened = opened
	waiting.err = err
	select {
	case p.changed <- struct{}{}:
	default:
	}
	if err == nil {
		p.onOpened()
	}
}

// takeOpened returns a stream whose first line has arrived, and closes all others. If there is none, it returns the error of a stream that
// has failed; the next stream is opened after the backoff, which it returns too.
func (p *pendingStreams) takeOpened(now time.Time) (opened *openedStream, retryDelay time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, waiting := range p.pending {
		if waiting.opened != nil {
			opened = waiting.opened
			waiting.opened = nil
			p.closeAll()
			return opened, 0, nil
		}
	}
	for i, waiting := range p.pending {
		if waiting.err != nil {
			p.closeAt(i)
			return nil, p.scheduleRetry(now), waiting.err
		}
	}
	return nil, 0, nil
}

// scheduleRetry has the next stream opened after the backoff, or sooner if that was planned. It returns the backoff.
func (p *pendingStreams) scheduleRetry(now time.Time) (delay time.Duration) {
	delay = p.retry.delay
	p.retry.increase()
	p.nextOpenAt = now.Add(delay)
	return delay
}

// closeAt closes a pending stream. The caller must hold mu.
func (p *pendingStreams) closeAt(i int) {
	p.pending[i].cancel()
	p.pending[i].opened.close()
	p.pending = slices.Delete(p.pending, i, i+1)
}

// closeAll closes all pending streams. The next one may be opened at once, with the shortest timeout. The caller must hold mu.
func (p *pendingStreams) closeAll() {
	for len(p.pending) > 0 {
		p.closeAt(0)
	}
	p.emptyConnections = 0
	p.oldestWait = 0
	p.nextOpenAt = time.Time{}
}

// restart closes all pending streams and forgets what was learnt about the feed, since its address has changed.
func (p *pendingStreams) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
	p.retry.reset()
}

// stop closes all pending streams and waits for their goroutines.
func (p *pendingStreams) stop() {
	p.restart()
	p.goroutines.Wait()
}
