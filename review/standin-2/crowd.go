//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Figures of the case crowded-feed.
const (
	replacementAfter = 4 * time.Second       // without an event, the router opens a second connection to the feed (docs/lifecycles.md)
	drainAfterThat   = 40 * time.Millisecond // while the router waits for that connection
	crowdDialTimeout = 300 * time.Millisecond
	maxCrowd         = 8
)

func init() { cases["crowded-feed"] = crowdedFeedCase }

// crowdedFeedCase has the control feed accept no new connections for some seconds, as when many routers connect to it at once. The connection
// that the router has open goes on delivering comments and events.
func crowdedFeedCase(w *world) (broken int, err error) {
	f, err := w.startCrowdableFeed()
	if err != nil {
		return 0, err
	}
	d, err := startDrainWorld(w, f, usualTraffic)
	if err != nil {
		return 0, err
	}
	for i := range 3 {
		time.Sleep(2 * time.Second)
		told := f.publish(d.engines[len(d.engines)-1].member("active")) // changes nothing
		if w.trouble {
			if err := f.crowd(w); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(told.Add(replacementAfter + drainAfterThat)))
		broken += d.drain(d.engines[i], 0, time.Second)
		if w.trouble {
			f.disperse()
		}
	}
	d.stopTraffic()
	return broken, nil
}

// startCrowdableFeed starts a control feed whose listener lets one connection wait to be accepted.
func (w *world) startCrowdableFeed() (*feed, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "feed")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	w.listeners = append(w.listeners, l)
	if err := syscall.Listen(fd, 0); err != nil { // net.FileListener has allowed more
		return nil, err
	}
	f := newFeed(w, l, "\n", 0)
	f.mayAccept = make(chan struct{}, 1)
	f.mayAccept <- struct{}{}
	go f.accept()
	return f, nil
}

// crowd fills the listener's queue, so that further connections are not established.
func (f *feed) crowd(w *world) error {
	<-f.mayAccept
	for range maxCrowd {
		conn, err := net.DialTimeout("tcp", f.address(), crowdDialTimeout)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			w.note("feed: crowded, %d connections wait", len(f.waiting))
			return nil
		}
		if err != nil {
			return err
		}
		f.waiting = append(f.waiting, conn)
	}
	return fmt.Errorf("%d connections do not crowd the feed", maxCrowd)
}

// disperse lets the feed accept connections again.
func (f *feed) disperse() {
	for _, conn := range f.waiting {
		conn.Close()
	}
	f.waiting = nil
	f.mayAccept <- struct{}{}
	f.w.note("feed: no longer crowded")
}
