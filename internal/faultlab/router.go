package faultlab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bankledge/internal/controlclient"
	"bankledge/internal/fakes"
	"bankledge/internal/faultinject"
	"bankledge/internal/logevent"
)

// router is a process of the real router, with all links that lead to and from it.
type router struct {
	f        *field
	n        int
	host     *faultinject.Host // nil: the machine's own; it outlives the process, as a host does
	door     *Link             // from clients
	feed     *feed
	feedLink *Link

	mu      sync.Mutex
	links   map[string]*Link // to engines, by id
	cmd     *exec.Cmd
	ended   chan struct{}
	starts  int
	clients []*fakes.Client
	open    map[*fakes.Client]int // statements of each
}

func (f *field) newRouter(n int) (*router, error) {
	r := &router{f: f, n: n, links: map[string]*Link{}, open: map[*fakes.Client]int{}}
	var err error
	if f.library != "" {
		if r.host, err = faultinject.NewHost(f.library, f.dir, fmt.Sprintf("router-%d", n)); err != nil {
			return nil, err
		}
	}
	if r.door, err = NewLink("127.0.0.1:1"); err != nil {
		return nil, err
	}
	r.feed = newFeed()
	if r.feedLink, err = NewLink(r.feed.server.Listener.Addr().String()); err != nil {
		return nil, err
	}
	r.feedLink.OnDelivered = r.feed.heard(func(e told) {
		for _, id := range e.engines {
			f.note(Event{Kind: EndpointNotified, Router: n, Engine: id, Text: e.phase})
		}
	})
	for _, e := range f.engines {
		if err := r.join(e); err != nil {
			return nil, err
		}
	}
	r.tell(f.engines, "active")
	return r, nil
}

// join makes the link to an engine.
func (r *router) join(e *engine) error {
	l, err := NewLink(e.model.Server.Listener.Addr().String())
	if err != nil {
		return err
	}
	l.OnConnect = func(source string) {
		r.f.sources.Store(source, r.n)
		r.f.note(Event{Kind: EngineConnected, Router: r.n, Engine: e.id})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[e.id] = l
	return nil
}

func (r *router) linkTo(engine string) *Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[engine]
}

// tell has the router's control feed tell of engines.
func (r *router) tell(list []*engine, phase string) {
	var members, ids []string
	for _, e := range list {
		since := int64(0)
		if e.model.SlowStart.WarmUpTime > 0 {
			since = time.Now().UnixMilli()
		}
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","phase":%q,"size":%v,"up_since_ms":%d}`,
			e.id, r.linkTo(e.id).Address(), phase, engineCores, since))
		ids = append(ids, e.id)
	}
	r.feed.add(members, told{ids, phase})
}

// start starts the process and waits until it is ready.
func (r *router) start(ctx context.Context) error {
	r.mu.Lock()
	r.starts++
	start := r.starts
	r.mu.Unlock()
	known, last := r.feed.known()
	config := fmt.Appendf(nil, `{"name":"r%d","listen":"127.0.0.1:0","seed":"%016x","feed":%q,"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"known":{"n":%d,"events":[%s]},"settings":%s}`, r.n, r.f.s.Seed*1000+uint64(r.n*20+start), r.feedLink.Address(), memoryMB, sockets, last, known, fleetSettings(r.f.s, r.n))
	file := filepath.Join(r.f.dir, fmt.Sprintf("router-%d.json", r.n))
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	log, err := os.Create(r.f.logFile(r.n, start))
	if err != nil {
		return err
	}
	cmd := exec.Command(r.f.o.RouterProgram, "serve")
	cmd.Env = append(os.Environ(), "LB_CONFIG="+file, "GOMAXPROCS=1")
	if len(r.f.members) > 0 {
		control, err := r.controlFile()
		if err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "LB_CONTROL="+control)
	}
	if r.host != nil {
		cmd.Env = append(cmd.Env, r.host.Environment(true)...)
	}
	for k, v := range r.f.o.Env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended, address := make(chan struct{}), make(chan string, 1)
	r.mu.Lock()
	r.cmd, r.ended = cmd, ended
	r.mu.Unlock()
	go func() {
		defer close(ended)
		defer log.Close()
		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			log.Write(append(lines.Bytes(), '\n'))
			r.acts(lines.Bytes())
			r.confesses(lines.Bytes())
			var line struct{ Msg, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == logevent.Serving {
				address <- line.Listen
			}
		}
		cmd.Wait()
	}()
	select {
	case to := <-address:
		r.door.SetTarget(to)
	case <-ended:
		return fmt.Errorf("router %d does not start: see %s", r.n, log.Name())
	case <-time.After(readyIn):
		return fmt.Errorf("router %d does not serve within %v", r.n, readyIn)
	case <-ctx.Done():
		return ctx.Err()
	}
	c, err := fakes.Dial(r.door.Address())
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.AwaitReady(readyIn); err != nil {
		return fmt.Errorf("router %d: %w", r.n, err)
	}
	r.f.note(Event{Kind: RouterUp, Router: r.n})
	return nil
}

// confesses notes what the router's own checks have found: a rule that it would have broken, or a panic.
func (r *router) confesses(line []byte) {
	if bytes.Contains(line, []byte(logevent.InvariantViolated)) || bytes.Contains(line, []byte(`"panic"`)) || bytes.HasPrefix(line, []byte("panic:")) {
		r.f.note(Event{Kind: InvariantViolated, Router: r.n, Text: string(line)})
	}
}

// controlFile writes where the control group is: by links of this router's own.
func (r *router) controlFile() (string, error) {
	s := GroupDurations
	file := controlclient.Config{LeaseMillis: s.LeaseDuration.Milliseconds(), RenewIntervalMillis: s.RenewInterval.Milliseconds(), ReplyTimeoutMillis: s.ReplyTimeout.Milliseconds(), MaxBatchMillis: s.MaxBatch.Milliseconds(),
		MaxPauseMillis: s.MaxPause.Milliseconds(), MaxClockDrift: s.MaxClockDrift, MaxRemovedShare: 1}
	for _, m := range r.f.members {
		file.Addresses = append(file.Addresses, m.routers[r.n].Address())
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.f.dir, fmt.Sprintf("control-%d.json", r.n))
	return path, os.WriteFile(path, raw, 0o600)
}

// end kills the process, or tells it to end.
func (r *router) end(kill bool) error {
	sign, text := os.Signal(syscall.SIGTERM), "term"
	if kill {
		sign, text = syscall.SIGKILL, "kill"
	}
	r.f.note(Event{Kind: RouterDown, Router: r.n, Text: text})
	return r.signal(sign)
}

func (r *router) stop() error {
	r.f.note(Event{Kind: RouterDown, Router: r.n, Text: "stop"})
	return r.signal(syscall.SIGSTOP)
}

func (r *router) wake() error {
	err := r.signal(syscall.SIGCONT)
	r.f.note(Event{Kind: RouterUp, Router: r.n, Text: "stop"})
	return err
}

func (r *router) signal(s os.Signal) error {
	r.mu.Lock()
	cmd := r.cmd
	r.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

func (r *router) close() {
	r.mu.Lock()
	cmd, ended, clients := r.cmd, r.ended, r.clients
	r.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-ended
	}
	for _, c := range clients {
		c.Close()
	}
	r.door.Close()
	r.feedLink.Close()
	r.feed.close()
	for _, l := range r.links {
		l.Close()
	}
	if r.host != nil {
		r.host.Close()
	}
}

const perClient = 24 // statements open on a connection

// errLeft: the client has said that it waits no more.
var errLeft = errors.New("the client left")

// send sends a statement on a connection with room for it, and waits for its answer so long, or until it leaves.
func (r *router) send(ctx context.Context, within, leave time.Duration, fields map[string]string, text string) fakes.Answer {
	c, err := r.client()
	if err != nil {
		return fakes.Answer{Err: err}
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.open[c]--
	}()
	var leaves <-chan time.Time
	if leave > 0 {
		leaves = time.After(leave)
	}
	stream, answer := c.Open(fields, text)
	select {
	case a := <-answer:
		return a
	case <-leaves:
		c.Cancel(stream)
		return fakes.Answer{Err: errLeft}
	case <-time.After(within):
		return fakes.Answer{Err: errors.New("no answer")}
	case <-ctx.Done():
		return fakes.Answer{Err: ctx.Err()}
	}
}

func (r *router) client() (*fakes.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 0; i < len(r.clients); i++ {
		c := r.clients[i]
		if c.Ended() {
			r.clients = append(r.clients[:i], r.clients[i+1:]...)
			i--
			continue
		}
		if r.open[c] < perClient {
			r.open[c]++
			return c, nil
		}
	}
	c, err := fakes.Dial(r.door.Address())
	if err != nil {
		return nil, err
	}
	c.OnDuplicate = func(uint32) { r.f.note(Event{Kind: DuplicateAnswer, Router: r.n}) }
	r.clients = append(r.clients, c)
	r.open[c] = 1
	return c, nil
}

// ---- The control feed ----

// told is what an event tells.
type told struct {
	engines []string
	phase   string
}

// feed is a router's control feed: it tells the same list as all others, with the addresses of this router's links.
type feed struct {
	server  *httptest.Server
	mu      sync.Mutex
	events  []string // from number 1
	tells   []told
	changed chan struct{}
	ended   chan struct{}
}

func newFeed() *feed {
	f := &feed{changed: make(chan struct{}), ended: make(chan struct{})}
	f.server = httptest.NewServer(f)
	return f
}

func (f *feed) close() {
	close(f.ended)
	f.server.CloseClientConnections()
	f.server.Close()
}

func (f *feed) add(members []string, t told) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	f.events = append(f.events, fmt.Sprintf(`{"n":%d,"members":{"revision":%d,"complete":%v,"members":[%s]}}`, n, n, n == 1, strings.Join(members, ",")))
	f.tells = append(f.tells, t)
	close(f.changed)
	f.changed = make(chan struct{})
}

// known is what a starting router's configuration holds.
func (f *feed) known() (events string, last int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.events, ","), len(f.events)
}

// ServeHTTP tells events from the one asked for, and a comment each second.
func (f *feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		f.mu.Lock()
		changed, fresh := f.changed, f.events[min(max(0, last), len(f.events)):]
		f.mu.Unlock()
		for _, e := range fresh {
			last++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, e)
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-tick.C:
			fmt.Fprint(w, ":\n")
		case <-f.ended:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// heard finds in what passes the link which events have come to the router whole.
func (f *feed) heard(tell func(told)) func([]byte) {
	var mu sync.Mutex
	var line []byte
	id := 0
	return func(b []byte) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range b {
			if c != '\n' {
				line = append(line, c)
				continue
			}
			if n, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
				id, _ = strconv.Atoi(string(n))
			} else if len(line) == 0 && id > 0 {
				f.mu.Lock()
				e := f.tells[id-1]
				f.mu.Unlock()
				tell(e)
				id = 0
			}
			line = line[:0]
		}
	}
}
