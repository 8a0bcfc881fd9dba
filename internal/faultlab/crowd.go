package faultlab

import (
	"context"
	"net"
	"sync"
	"time"

	"bankledge/internal/fakes"
)

const (
	crowdReconnectPause = 300 * time.Millisecond // of an idle client whose connection was closed
	crowdDialTimeout    = time.Second
)

// crowd connects idle clients to routers, so many to each: every second one asks once whether the router is ready, the others send nothing.
// One whose connection is closed comes again.
func (f *fleet) crowd(ctx context.Context, fault Fault) (repair func() error) {
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for _, i := range fault.Routers {
		r := f.routers[i]
		for n := range int(fault.Amount) {
			clients.Go(func() { r.rest(ctx, n%2 == 0) })
		}
	}
	return func() error {
		cancel()
		clients.Wait()
		return nil
	}
}

// rest keeps one idle connection to the router until the context is done.
func (r *router) rest(ctx context.Context, asks bool) {
	for ctx.Err() == nil {
		r.restOnce(ctx, asks)
		select {
		case <-ctx.Done():
		case <-time.After(crowdReconnectPause):
		}
	}
}

// restOnce connects and rests until the connection ends.
func (r *router) restOnce(ctx context.Context, asks bool) {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, crowdDialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if asks {
		conn.Write(fakes.ReadinessQuery())
	}
	buffer := make([]byte, 256)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
