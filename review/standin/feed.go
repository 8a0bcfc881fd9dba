//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an engine in the control feed's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// feed is the control feed: it stores the events and sends each connection those after its Last-Event-ID, and a comment each second.
type feed struct {
	address string
	mu      sync.Mutex
	events  []json.RawMessage
	changed chan struct{}
	server  *http.Server
	log     *record
}

func newFeed(log *record, members ...member) *feed {
	f := &feed{address: freeAddress(), changed: make(chan struct{}), log: log}
	f.publish(true, members...)
	f.open()
	return f
}

// open makes the feed reachable.
func (f *feed) open() {
	listener, err := net.Listen("tcp", f.address)
	must(err)
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go f.server.Serve(listener)
}

// close makes the feed unreachable: open connections are closed, new ones are refused.
func (f *feed) close() { f.server.Close() }

func (f *feed) first() json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[0]
}

// publish puts an event into the feed.
func (f *feed) publish(complete bool, members ...member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	raw, err := json.Marshal(map[string]any{"n": n, "members": map[string]any{"revision": n, "complete": complete, "members": members}})
	must(err)
	f.events = append(f.events, raw)
	close(f.changed)
	f.changed = make(chan struct{})
	f.log.line("feed: event %s", raw)
}

func (f *feed) after(last int) ([]json.RawMessage, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[min(last, len(f.events)):], f.changed
}

func (f *feed) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	fmt.Fprint(w, ":\n\n")
	for {
		events, changed := f.after(last)
		for _, raw := range events {
			last++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, raw)
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-comment.C:
			fmt.Fprint(w, ":\n\n")
		case <-r.Context().Done():
			return
		}
	}
}
