package faultlab

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// feedKeepAlive is the time between two comments of an idle control feed.
const feedKeepAlive = time.Second

// notification is the content of one event of a control feed.
type notification struct {
	engines []string // ids
	state   string
}

// controlFeed is a router's control feed. All feeds publish the same endpoint list, each with the addresses of its router's links.
type controlFeed struct {
	server *httptest.Server
	closed chan struct{}

	mu            sync.Mutex
	events        []string // as sent; the first one has number 1
	notifications []notification
	changed       chan struct{} // closed when an event is added
}

func newControlFeed() *controlFeed {
	f := &controlFeed{changed: make(chan struct{}), closed: make(chan struct{})}
	f.server = httptest.NewServer(f)
	return f
}

func (f *controlFeed) close() {
	close(f.closed)
	f.server.CloseClientConnections()
	f.server.Close()
}

// add publishes an event. The first event is the complete endpoint list.
func (f *controlFeed) add(members []string, n notification) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.events) + 1
	complete := number == 1
	event := fmt.Sprintf(`{"n":%d,"members":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, complete, strings.Join(members, ","))
	f.events = append(f.events, event)
	f.notifications = append(f.notifications, n)
	close(f.changed)
	f.changed = make(chan struct{})
}

// published returns all events so far, in the form of a router's configuration, and the number of the last one.
func (f *controlFeed) published() (events string, last int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.events, ","), len(f.events)
}

// after returns the events after a number, and a channel that is closed when another event is added.
func (f *controlFeed) after(last int) (events []string, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[min(max(0, last), len(f.events)):], f.changed
}

// ServeHTTP streams the events after the one that the request names, and a comment as a keep-alive when there are no events.
func (f *controlFeed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // without the header, all events are sent
	ticker := time.NewTicker(feedKeepAlive)
	defer ticker.Stop()
	for {
		events, changed := f.after(last)
		for _, event := range events {
			last++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, event)
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-ticker.C:
			fmt.Fprint(w, ":\n")
		case <-f.closed:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// deliveries returns a function that must be called with the bytes that were delivered on the router's link. It calls delivered for
// each event that the router has received completely.
func (f *controlFeed) deliveries(delivered func(notification)) func([]byte) {
	var mu sync.Mutex
	var line []byte
	id := 0
	return func(passed []byte) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range passed {
			if c != '\n' {
				line = append(line, c)
				continue
			}
			if number, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
				id, _ = strconv.Atoi(string(number)) // a number that ServeHTTP wrote
			} else if len(line) == 0 && id > 0 {
				delivered(f.notification(id))
				id = 0
			}
			line = line[:0]
		}
	}
}

func (f *controlFeed) notification(number int) notification {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notifications[number-1]
}
