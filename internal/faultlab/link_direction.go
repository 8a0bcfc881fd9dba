package faultlab

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	chunkSize   = 16 << 10
	chunksAhead = 64 // read ahead of what has passed, in one direction of a connection
)

// direction carries the bytes of one direction of a relayed connection.
type direction struct {
	link        *Link
	from, to    net.Conn
	impairment  *Impairment // a field of the link, read with its lock held
	onDelivered func([]byte)
	senderReset atomic.Bool // what the sender sent and has not passed never will
}

// chunk is what one read has returned.
type chunk struct {
	bytes  []byte
	readAt time.Time
}

// run carries bytes until the sender has ended, the link is closed, or the receiver is gone.
func (d *direction) run() {
	queue := make(chan chunk, chunksAhead)
	stopped := make(chan struct{})
	go d.read(queue, stopped)
	defer func() { // what has not passed never will
		close(stopped)
		for range queue {
			d.link.inFlight.Add(-1)
		}
	}()
	for c := range queue {
		passed := d.awaitTurn(c.readAt) && !d.senderReset.Load() && d.write(c.bytes)
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

// read reads ahead, until the sender has ended or nothing more is to pass. It closes the queue.
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

// write passes a chunk on, at once or throttled. It returns false where nothing more can pass.
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

// awaitTurn waits until a chunk may pass. It returns false when the link is closed.
func (d *direction) awaitTurn(readAt time.Time) bool {
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
