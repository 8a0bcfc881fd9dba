package faultlab

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	chunkSize       = 16 << 10
	maxQueuedChunks = 64 // read but not yet delivered, in one direction of a connection
)

// direction relays one direction of a connection.
type direction struct {
	link        *Link
	from, to    net.Conn
	impairment  *Impairment // points to a field of the link, guarded by its lock
	onDelivered func([]byte)
	senderReset atomic.Bool // the sender reset the connection: undelivered data is dropped
}

// chunk is the data returned by one read.
type chunk struct {
	bytes  []byte
	readAt time.Time
}

// run relays data until the sender ends, the link is closed, or the receiver is unreachable.
func (d *direction) run() {
	queue := make(chan chunk, maxQueuedChunks)
	stopped := make(chan struct{})
	go d.read(queue, stopped)
	defer func() { // drops undelivered chunks
		close(stopped)
		for range queue {
			d.link.inFlight.Add(-1)
		}
	}()
	for c := range queue {
		passed := d.awaitRelease(c.readAt) && !d.senderReset.Load() && d.write(c.bytes)
		d.link.inFlight.Add(-1)
		if d.senderReset.Load() {
			resetConnection(d.to)
			return
		}
		if !passed {
			break
		}
	}
	if t, ok := d.to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// read queues data until the sender ends or run has stopped. It closes the queue.
func (d *direction) read(queue chan<- chunk, stopped <-chan struct{}) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkSize)
		n, err := d.from.Read(buffer)
		if n > 0 {
			d.link.inFlight.Add(1)
			select {
			case queue <- chunk{bytes: buffer[:n], readAt: time.Now()}:
			case <-stopped:
				d.link.inFlight.Add(-1)
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			d.senderReset.Store(true)
			d.link.resets.Add(1)
		}
		if err != nil {
			return
		}
	}
}

// write delivers a chunk, immediately or throttled. It returns false if the receiver accepts no more data.
func (d *direction) write(bytes []byte) bool {
	for len(bytes) > 0 {
		step := len(bytes)
		if d.throttled() {
			step = 1
		}
		if step == 1 && len(bytes) > 1 {
			time.Sleep(throttleInterval)
		}
		if _, err := d.to.Write(bytes[:step]); err != nil {
			d.from.Close()
			return false
		}
		if d.onDelivered != nil {
			d.onDelivered(bytes[:step])
		}
		bytes = bytes[step:]
	}
	return true
}

func (d *direction) throttled() bool {
	d.link.mu.Lock()
	defer d.link.mu.Unlock()
	return d.impairment.Throttled
}

// awaitRelease waits until the impairment lets a chunk pass. It returns false if the link is closed.
func (d *direction) awaitRelease(readAt time.Time) bool {
	for {
		d.link.mu.Lock()
		impairment := *d.impairment
		changed := d.link.changed
		closed := d.link.closed
		d.link.mu.Unlock()
		wait := time.Until(readAt.Add(impairment.Delay))
		switch {
		case closed:
			return false
		case !impairment.Blocked && wait <= 0:
			return true
		case impairment.Blocked:
			<-changed
		default:
			select {
			case <-changed:
			case <-time.After(wait):
			}
		}
	}
}
