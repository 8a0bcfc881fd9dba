package controlclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/configversion"
	"bankledge/internal/http1"
	"bankledge/internal/lease"
	"bankledge/internal/sse"
)

const (
	connectIn = 500 * time.Millisecond
	silence   = 2500 * time.Millisecond // a comment comes each second: a stream so long silent is dead
	mostReply = 4 << 10
	mostCalls = 4 // renewals that may wait for late answers at once
	queued    = 16
)

// Link carries out what the router's side asks for. Do never waits; what comes of it is posted.
type Transport struct {
	Addresses     []string
	ReplyDeadline time.Duration // that an answer to a renewal may take and still count
	Deliver       func(lease.ClientEvent)
	Log           *zap.Logger

	asks   chan lease.SendRenewal
	follow chan lease.ReopenStream
	calls  sync.WaitGroup
	idle   chan net.Conn // a connection for the next renewal
}

// NewLink returns a link. Run has to be called.
func NewTransport(addresses []string, spans lease.Durations, post func(lease.ClientEvent), log *zap.Logger) *Transport {
	return &Transport{Addresses: addresses, ReplyDeadline: spans.ClientLease(), Deliver: post, Log: log, asks: make(chan lease.SendRenewal, queued), follow: make(chan lease.ReopenStream, 1), idle: make(chan net.Conn, 1)}
}

// Do takes something to do.
func (l *Transport) Execute(a lease.ClientAction) {
	switch a := a.(type) {
	case lease.SendRenewal:
		select {
		case l.asks <- a:
		default: // those before it have not been sent yet: it is as if it had been lost
		}
	case lease.ReopenStream:
		select { // the last one counts
		case <-l.follow:
		default:
		}
		select {
		case l.follow <- a:
		default:
		}
	case lease.LogMessage:
		l.Log.Warn("control", zap.String("says", a.Text))
	}
}

// Run serves until ctx ends.
func (l *Transport) Run(ctx context.Context) error {
	defer l.calls.Wait()
	leave := context.CancelFunc(func() {})
	defer func() { leave() }()
	slots := make(chan struct{}, mostCalls)
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-l.asks:
			select {
			case slots <- struct{}{}:
				l.calls.Go(func() {
					defer func() { <-slots }()
					l.renew(ctx, ask)
				})
			default:
				l.Deliver(lease.RenewalFailed{Seq: ask.Renewal.Seq})
			}
		case f := <-l.follow:
			leave()
			stay, cancel := context.WithCancel(ctx)
			leave = cancel
			l.calls.Go(func() { l.stream(stay, f) })
		}
	}
}

// renew sends a renewal and posts what comes of it.
func (l *Transport) renew(ctx context.Context, ask lease.SendRenewal) {
	reply, err := l.call(ctx, ask)
	if err != nil {
		l.Log.Debug("a renewal has no answer", zap.Uint64("seq", ask.Renewal.Seq), zap.Error(err))
		l.Deliver(lease.RenewalFailed{Seq: ask.Renewal.Seq})
		return
	}
	l.Deliver(lease.ReplyReceived{Reply: reply})
}

func (l *Transport) call(ctx context.Context, ask lease.SendRenewal) (reply lease.Reply, err error) {
	address := l.Addresses[ask.AddressIndex%len(l.Addresses)]
	body, err := json.Marshal(ask.Renewal)
	if err != nil {
		return reply, err
	}
	until := time.Now().Add(l.ReplyDeadline)
	conn, err := l.connect(ctx, address)
	if err != nil {
		return reply, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	kept := false
	defer func() {
		stop()
		if !kept {
			conn.Close()
		}
	}()
	conn.SetDeadline(until)
	if _, err := conn.Write(fmt.Appendf(nil, "POST /v1/term HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", address, len(body), body)); err != nil {
		return reply, err
	}
	reader := http1.NewReader(conn)
	head, said, err := reader.ReadResponse(mostReply)
	switch {
	case err != nil:
		return reply, err
	case head.Status != 200:
		return reply, fmt.Errorf("the group answered %d", head.Status)
	}
	if err := json.Unmarshal(said, &reply); err != nil {
		return reply, err
	}
	if reply.Seq != ask.Renewal.Seq {
		return reply, errors.New("the answer to another renewal")
	}
	if !head.Close && !reader.Buffered() && ctx.Err() == nil {
		conn.SetDeadline(time.Time{})
		select {
		case l.idle <- conn:
			kept = true
		default:
		}
	}
	return reply, nil
}

// connect takes the connection that rests, if it leads to this address and nothing lies on it, or makes one.
func (l *Transport) connect(ctx context.Context, address string) (net.Conn, error) {
	select {
	case c := <-l.idle:
		if c.RemoteAddr().String() == address && quiet(c) {
			return c, nil
		}
		c.Close()
	default:
	}
	dial, cancel := context.WithTimeout(ctx, connectIn)
	defer cancel()
	return (&net.Dialer{}).DialContext(dial, "tcp", address)
}

// quiet tells whether a connection that rests is still open and has nothing on it.
func quiet(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	n, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return n == 0 && errors.As(err, &timeout) && timeout.Timeout()
}

// Close gives back the connection that rests; it is called after Run.
func (l *Transport) Close() {
	select {
	case c := <-l.idle:
		c.Close()
	default:
	}
}

// stream follows the versions until it ends, and posts that it has.
func (l *Transport) stream(ctx context.Context, f lease.ReopenStream) {
	address := l.Addresses[f.AddressIndex%len(l.Addresses)]
	err := l.once(ctx, address, f.AfterVersion)
	if ctx.Err() == nil {
		l.Log.Debug("the stream of versions has ended", zap.String("address", address), zap.Error(err))
		l.Deliver(lease.StreamLost{})
	}
}

func (l *Transport) once(ctx context.Context, address string, after uint64) error {
	dial, cancel := context.WithTimeout(ctx, connectIn)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dial, "tcp", address)
	if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	raw.SetDeadline(time.Now().Add(silence))
	if _, err := fmt.Fprintf(raw, "GET /v1/versions/events HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %s\r\n\r\n", address, strconv.FormatUint(after, 10)); err != nil {
		return err
	}
	reader := http1.NewReader(alive{raw})
	head, err := reader.ReadHeader()
	if err != nil {
		return err
	}
	if head.Status != 200 {
		return fmt.Errorf("the group answered %d", head.Status)
	}
	return sse.Read(reader.BodyReader(head), configversion.MaxEncodedBytes+mostReply, sse.Handler{OnEvent: func(e sse.Event) error { return l.news(ctx, e) }})
}

// news posts an event of the stream. What can't be read is said, and ends the stream: it comes again on the next one.
func (l *Transport) news(ctx context.Context, e sse.Event) error {
	var n struct {
		Lineage string          `json:"lineage"`
		Settled uint64          `json:"settled"`
		Version json.RawMessage `json:"version"`
	}
	err := json.Unmarshal([]byte(e.Data), &n)
	var v *configversion.Version
	if err == nil && len(n.Version) > 0 {
		v, err = configversion.Decode(n.Version)
	}
	switch {
	case ctx.Err() != nil:
		return io.EOF
	case err != nil:
		l.Deliver(lease.InvalidVersionReceived{Err: err})
		return err
	case v != nil:
		l.Deliver(lease.VersionReceived{Version: v, Activated: n.Settled})
	default:
		l.Deliver(lease.VersionActivated{Lineage: n.Lineage, Number: n.Settled})
	}
	return nil
}

// alive takes every byte as a sign of life.
type alive struct{ net.Conn }

func (a alive) Read(p []byte) (int, error) {
	a.SetReadDeadline(time.Now().Add(silence))
	return a.Conn.Read(p)
}
