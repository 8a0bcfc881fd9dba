package controlserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/controlapi"
)

const (
	maxStreams         = 4096
	keepAliveInterval  = time.Second     // routers treat a stream without any data as broken
	streamWriteTimeout = 5 * time.Second // disconnects a router that does not read
	keepAliveComment   = ":\n\n"
)

// handleVersionStream streams versions as server-sent events when they are committed and activated, and a comment after each
// keepAliveInterval.
func (s *Server) handleVersionStream(w http.ResponseWriter, r *http.Request) {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > maxStreams {
		http.Error(w, "too many streams", http.StatusServiceUnavailable)
		return
	}
	known, err := lastEventID(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	cursor := streamCursor{known: known}
	text := keepAliveComment
	for text != "" {
		controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		text = s.awaitEvents(r.Context(), &cursor, keepAlive.C)
	}
}

var errInvalidLastEventID = errors.New(controlapi.LastEventIDHeader + ": not a number")

// lastEventID returns the number of the newest version that the follower knows, or 0 if the request has no such header.
func lastEventID(r *http.Request) (uint64, error) {
	text := r.Header.Get(controlapi.LastEventIDHeader)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errInvalidLastEventID
	}
	return number, nil
}

// awaitEvents waits for the next events of a stream and returns them encoded. It returns a comment if keepAlive ticks first, and "" if ctx
// ends first.
func (s *Server) awaitEvents(ctx context.Context, cursor *streamCursor, keepAlive <-chan time.Time) string {
	for {
		changed := s.state.nextChange()
		if text := cursor.advance(s.state.load().register); text != "" {
			return text
		}
		select {
		case <-changed:
		case <-keepAlive:
			return keepAliveComment
		case <-ctx.Done():
			return ""
		}
	}
}

// streamCursor records what one follower of the stream already has.
type streamCursor struct {
	known     uint64 // number of the newest version
	activated uint64 // number of the newest activated version
}

// advance returns the encoded events that bring the follower up to date with the register, or "" if there are none.
func (c *streamCursor) advance(register *configregister.Register) string {
	var text strings.Builder
	for _, version := range register.UpdatesAfter(c.known) {
		c.known = version.Number
		c.activated = register.Activated
		text.WriteString(formatEvent(version.Number, versionEvent(register, version)))
	}
	if register.Activated > c.activated {
		c.activated = register.Activated
		text.WriteString(formatEvent(0, versionEvent(register, nil)))
	}
	return text.String()
}

// versionEvent returns the event of a version, or, if version is nil, that of an activation.
func versionEvent(register *configregister.Register, version *configversion.Version) controlapi.VersionEvent {
	return controlapi.VersionEvent{Lineage: register.Lineage, Activated: register.Activated, Version: version}
}

// formatEvent encodes a server-sent event. It omits an id of 0.
func formatEvent(id uint64, event controlapi.VersionEvent) string {
	raw, err := json.Marshal(event)
	if err != nil {
		return keepAliveComment
	}
	text := "data: " + string(raw) + "\n\n"
	if id > 0 {
		text = fmt.Sprintf("id: %d\n%s", id, text)
	}
	return text
}
