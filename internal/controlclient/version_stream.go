package controlclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/configversion"
	"bankledge/internal/controlapi"
	"bankledge/internal/http1"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
	"bankledge/internal/sse"
)

const (
	// streamIdleTimeout is how long a stream may deliver no data before it is treated as broken. The group sends a comment each second.
	streamIdleTimeout = 2500 * time.Millisecond

	// maxEventBytes bounds an event, which holds at most a version of the maximum size and the other fields.
	maxEventBytes = configversion.MaxEncodedBytes + 4<<10
)

// followStream follows the stream of versions until it ends, and then delivers lease.StreamLost unless ctx has been cancelled.
func (t *Transport) followStream(ctx context.Context, reopening lease.ReopenStream) {
	address := t.address(reopening.AddressIndex)
	err := t.readStream(ctx, address, reopening.AfterVersion)
	if ctx.Err() != nil {
		return
	}
	t.log.Debug(logevent.VersionStreamEnded, zap.String("address", address), zap.Error(err))
	t.deliver(lease.StreamLost{})
}

// readStream opens the stream of the versions after the given one and delivers its events. It never returns nil.
func (t *Transport) readStream(ctx context.Context, address string, after uint64) error {
	conn, err := dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(streamIdleTimeout))
	const format = "GET " + controlapi.VersionStreamPath + " HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\n" + controlapi.LastEventIDHeader + ": %d\r\n\r\n"
	if _, err := fmt.Fprintf(conn, format, address, after); err != nil {
		return err
	}
	reader := http1.NewReader(idleTimeoutConn{conn})
	header, err := reader.ReadHeader()
	if err != nil {
		return err
	}
	if header.Status != http.StatusOK {
		return &statusError{status: header.Status}
	}
	handler := sse.Handler{OnEvent: func(event sse.Event) error { return t.deliverEvent(ctx, event) }}
	return sse.Read(reader.BodyReader(header), maxEventBytes, handler)
}

// deliverEvent delivers an event of the stream. An event that can't be decoded is delivered as lease.InvalidVersionReceived and ends the
// stream; the group sends it again on the next stream.
func (t *Transport) deliverEvent(ctx context.Context, event sse.Event) error {
	clientEvent, err := decodeVersionEvent([]byte(event.Data))
	if ctx.Err() != nil {
		return io.EOF
	}
	if err != nil {
		t.deliver(lease.InvalidVersionReceived{Err: err})
		return err
	}
	t.deliver(clientEvent)
	return nil
}

// decodeVersionEvent decodes a controlapi.VersionEvent and validates its version.
func decodeVersionEvent(data []byte) (lease.ClientEvent, error) {
	var event struct {
		Lineage   string          `json:"lineage"`
		Activated uint64          `json:"settled"`
		Version   json.RawMessage `json:"version"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, err
	}
	if len(event.Version) == 0 {
		return lease.VersionActivated{Lineage: event.Lineage, Number: event.Activated}, nil
	}
	version, err := configversion.Decode(event.Version)
	if err != nil {
		return nil, err
	}
	return lease.VersionReceived{Version: version, Activated: event.Activated}, nil
}

// idleTimeoutConn is a connection whose reads fail if no data is received for streamIdleTimeout.
type idleTimeoutConn struct{ net.Conn }

func (c idleTimeoutConn) Read(p []byte) (int, error) {
	c.SetReadDeadline(time.Now().Add(streamIdleTimeout))
	return c.Conn.Read(p)
}
