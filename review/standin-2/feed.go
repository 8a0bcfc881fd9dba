//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// keepAlive is the time between two comments of the control feed.
const keepAlive = time.Second

// feed is a stand-in of the control feed.
type feed struct {
	w          *world
	l          net.Listener
	lineEnd    string        // ends each line of the events: LF, CR or CR LF
	beforeHead time.Duration // until the header of the answer to each call

	mayAccept chan struct{} // holds an element while new connections are accepted; nil: always
	waiting   []net.Conn    // connections that crowd the feed

	mu      sync.Mutex
	events  []string // data of the events from number 2 on
	changed chan struct{}
}

func (w *world) startFeed(lineEnd string, beforeHead time.Duration) (*feed, error) {
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	f := newFeed(w, l, lineEnd, beforeHead)
	go f.accept()
	return f, nil
}

func newFeed(w *world, l net.Listener, lineEnd string, beforeHead time.Duration) *feed {
	return &feed{w: w, l: l, lineEnd: lineEnd, beforeHead: beforeHead, changed: make(chan struct{})}
}

func (f *feed) address() string { return f.l.Addr().String() }

func (f *feed) accept() {
	for {
		conn, err := f.l.Accept()
		if err != nil {
			return
		}
		if f.mayAccept != nil {
			may := <-f.mayAccept
			f.mayAccept <- may
		}
		go f.serve(conn)
	}
}

func (f *feed) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	f.w.note("feed: a call with Last-Event-ID %d", last)
	time.Sleep(f.beforeHead)
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:"+f.lineEnd); err != nil {
		return
	}
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		events, changed := f.events, f.changed
		f.mu.Unlock()
		for number := max(last+1, 2); number < 2+len(events); number++ {
			if _, err := fmt.Fprintf(conn, "id: %d%sdata: %s%s%s", number, f.lineEnd, events[number-2], f.lineEnd, f.lineEnd); err != nil {
				return
			}
			f.w.note("feed: event %d sent", number)
			last = number
		}
		select {
		case <-changed:
		case <-ticker.C:
			if _, err := fmt.Fprint(conn, ":"+f.lineEnd); err != nil {
				return
			}
		}
	}
}

// publish adds an event that changes some engines, and returns when it was told.
func (f *feed) publish(members ...map[string]any) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := 2 + len(f.events)
	data, _ := json.Marshal(map[string]any{"n": number,
		"members": map[string]any{"revision": number, "complete": false, "members": members}})
	f.events = append(f.events, string(data))
	close(f.changed)
	f.changed = make(chan struct{})
	now := time.Now()
	f.w.noteAt(now, "feed: told event %d: %s", number, data)
	return now
}
