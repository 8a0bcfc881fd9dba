package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

const (
	feedKeepAlive   = time.Second
	maxQueuedEvents = 10
	maxQueuedIDs    = 100
)

// ControlFeed is a control feed that sends the events that a test puts into Events.
type ControlFeed struct {
	Server       *httptest.Server
	Events       chan string // sent unchanged; "" closes the connection
	LastEventIDs chan string // header Last-Event-ID of each connection
	closed       chan struct{}
}

// NewControlFeed starts a feed. While there are no events, it sends a comment each second. Close stops it.
func NewControlFeed() *ControlFeed {
	f := &ControlFeed{
		Events:       make(chan string, maxQueuedEvents),
		LastEventIDs: make(chan string, maxQueuedIDs),
		closed:       make(chan struct{}),
	}
	f.Server = httptest.NewServer(http.HandlerFunc(f.serve))
	return f
}

func (f *ControlFeed) serve(w http.ResponseWriter, r *http.Request) {
	f.LastEventIDs <- r.Header.Get("Last-Event-ID")
	for {
		event := ":\n"
		select {
		case event = <-f.Events:
		case <-time.After(feedKeepAlive):
		case <-r.Context().Done():
			return
		case <-f.closed:
			return
		}
		if event == "" {
			return
		}
		io.WriteString(w, event)
		w.(http.Flusher).Flush()
	}
}

// Close stops the feed and closes its connections, also those that a router opens in the meantime.
func (f *ControlFeed) Close() {
	close(f.closed)
	f.Server.CloseClientConnections()
	f.Server.Close()
}

// Member returns the JSON text of an engine in the events of the control feed.
func Member(id, address, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","phase":%q,"size":8}`, id, address, phase)
}
