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

	"bankledge/internal/controlapi"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

const (
	maxRenewalBytes   = 4 << 10
	maxStreams        = 4096
	keepAliveInterval = time.Second     // of a stream: a router takes a silent one for dead
	streamWriteLimit  = 5 * time.Second // for a router that reads nothing
	keepAliveComment  = ":\n\n"
)

// handleRenewal answers a router's renewal of its lease.
func (s *Server) handleRenewal(w http.ResponseWriter, r *http.Request) {
	var renewal lease.Renewal
	if err := readJSON(w, r, maxRenewalBytes, &renewal); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.durations.LeaseDuration) // nobody waits longer
	defer cancel()
	answer, err := s.mailbox.call(ctx, func(callID uint64) replica.Event {
		return replica.LeaseRequest{Event: lease.RenewalReceived{CallID: callID, Renewal: renewal}}
	})
	reply, ok := answer.(lease.SendReply)
	if err != nil || !ok {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, reply.Reply)
}

// handleVersionStream sends versions as they are committed and activated, and a comment each second.
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
		controller.SetWriteDeadline(time.Now().Add(streamWriteLimit))
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

// lastEventID is the number of the newest version that the follower knows, 0 if it names none.
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

// awaitEvents returns the next events of a stream, or a comment once keepAlive ticks; "" when ctx ends.
func (s *Server) awaitEvents(ctx context.Context, cursor *streamCursor, keepAlive <-chan time.Time) string {
	for {
		changed := s.state.nextChange()
		if text := cursor.advance(s.state.load()); text != "" {
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

// streamCursor is what one follower of the stream has been sent.
type streamCursor struct {
	known     uint64 // number of the newest version
	activated uint64
}

// advance returns the events that bring the follower up to the view, "" if there are none.
func (c *streamCursor) advance(view *stateView) string {
	var text strings.Builder
	for _, version := range view.register.UpdatesAfter(c.known) {
		c.known = version.Number
		c.activated = view.register.Activated
		text.WriteString(formatEvent(version.Number, controlapi.VersionEvent{Lineage: view.register.Lineage, Activated: view.register.Activated, Version: version}))
	}
	if view.register.Activated > c.activated {
		c.activated = view.register.Activated
		text.WriteString(formatEvent(0, controlapi.VersionEvent{Lineage: view.register.Lineage, Activated: view.register.Activated}))
	}
	return text.String()
}

// formatEvent writes a server-sent event; an id of 0 is left out.
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
