package faultlab

import (
	"context"
	"net"
	"sync"
	"time"

	"bankledge/internal/fakes"
)

const (
	idleClientReconnectPause = 300 * time.Millisecond // before an idle client whose connection was closed reconnects
	idleClientDialTimeout    = time.Second
)

// connectIdleClients connects fault.Amount idle clients to each router of a fault. Every second client sends one readiness query, the
// others send nothing. A client whose connection is closed reconnects.
func (f *fleet) connectIdleClients(ctx context.Context, fault Fault) (repair func() error) {
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for _, i := range fault.Routers {
		r := f.routers[i]
		for n := range int(fault.Amount) {
			clients.Go(func() { r.keepIdleConnection(ctx, n%2 == 0) })
		}
	}
	return func() error {
		cancel()
		clients.Wait()
		return nil
	}
}

// keepIdleConnection keeps one idle connection to the router until the context is done.
func (r *router) keepIdleConnection(ctx context.Context, sendQuery bool) {
	for ctx.Err() == nil {
		r.holdIdleConnection(ctx, sendQuery)
		select {
		case <-ctx.Done():
		case <-time.After(idleClientReconnectPause):
		}
	}
}

// holdIdleConnection connects and keeps the connection idle until it is closed or the context is done.
func (r *router) holdIdleConnection(ctx context.Context, sendQuery bool) {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, idleClientDialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if sendQuery {
		conn.Write(fakes.ReadinessQuery())
	}
	buffer := make([]byte, 256)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
