package faultlab

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"bankledge/internal/controlclient"
	"bankledge/internal/fakes"
	"bankledge/internal/faultinject"
	"bankledge/internal/logevent"
)

// unusedAddress is the target of a router's client link until its process has logged its listen address.
const unusedAddress = "127.0.0.1:1"

// router is a process of the real router, with all links to it and from it.
type router struct {
	fleet      *fleet
	index      int
	host       *faultinject.Host // simulated host, kept across restarts of the process; nil: the machine itself
	clientLink *Link
	feed       *controlFeed
	feedLink   *Link

	mu          sync.Mutex
	engineLinks map[string]*Link // by id of the engine
	process     *process         // nil before the first start
	processes   []*process       // all processes that were started: overlapping outages may start several
	address     string           // listen address of the process
	starts      int
	clients     []*fakes.Client
	inFlight    map[*fakes.Client]int // statements of each connection
}

// newRouter creates a router's links and control feed. It does not start the process.
func (f *fleet) newRouter(index int) (*router, error) {
	r := &router{fleet: f, index: index, engineLinks: map[string]*Link{}, inFlight: map[*fakes.Client]int{}}
	var err error
	if f.hostLibrary != "" {
		r.host, err = faultinject.NewHost(f.hostLibrary, f.dir, fmt.Sprintf("router-%d", index))
		if err != nil {
			return nil, err
		}
	}
	r.clientLink, err = NewLink(unusedAddress)
	if err != nil {
		return nil, err
	}
	r.feed = newControlFeed()
	r.feedLink, err = NewLink(r.feed.server.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	r.feedLink.OnDelivered = r.feed.deliveries(r.recordNotification)
	for _, e := range f.engines {
		if err := r.connect(e); err != nil {
			return nil, err
		}
	}
	r.publish(f.engines, stateActive)
	return r, nil
}

func (r *router) recordNotification(n notification) {
	for _, id := range n.engines {
		r.fleet.record(Event{Kind: EndpointNotified, Router: r.index, Engine: id, Text: n.state})
	}
}

// connect creates the link to an engine.
func (r *router) connect(e *engine) error {
	link, err := NewLink(e.model.Server.Listener.Addr().String())
	if err != nil {
		return err
	}
	link.OnConnect = func(source string) {
		r.fleet.sources.Store(source, r.index)
		r.fleet.record(Event{Kind: EngineConnected, Router: r.index, Engine: e.id})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engineLinks[e.id] = link
	return nil
}

// linkTo returns the link to an engine, or nil if there is none yet.
func (r *router) linkTo(engine string) *Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engineLinks[engine]
}

// publish sends the state of engines on the router's control feed, with the addresses of this router's links.
func (r *router) publish(engines []*engine, state string) {
	n := notification{state: state}
	var members []string
	for _, e := range engines {
		startedAt := int64(0)
		if e.model.SlowStart.WarmUpTime > 0 {
			startedAt = time.Now().UnixMilli()
		}
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","phase":%q,"size":%v,"up_since_ms":%d}`,
			e.id, r.linkTo(e.id).Address(), state, engineCores, startedAt))
		n.engines = append(n.engines, e.id)
	}
	r.feed.add(members, n)
}

// start starts the process and waits until it is ready.
func (r *router) start(ctx context.Context) error {
	r.mu.Lock()
	r.starts++
	start := r.starts
	r.mu.Unlock()
	cmd, err := r.command(start)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("router %d", r.index)
	logFile := filepath.Join(r.fleet.dir, fmt.Sprintf("router-%d-%d.log", r.index, start))
	started, err := startProcess(name, cmd, logFile, r.observeLog)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.process = started
	r.processes = append(r.processes, started)
	r.mu.Unlock()
	address, err := started.awaitServing(ctx)
	if err != nil {
		return err
	}
	r.clientLink.SetTarget(address)
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	if start > 1 && r.fleet.scenario.EarlyReloads {
		if err := started.reloadBeforeReady(); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	r.fleet.record(Event{Kind: RouterUp, Router: r.index})
	return nil
}

// awaitReady polls the router's readiness over the client protocol until the router is ready.
func (r *router) awaitReady() error {
	c, err := fakes.Dial(r.clientLink.Address())
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.AwaitReady(startTimeout); err != nil {
		return fmt.Errorf("router %d: %w", r.index, err)
	}
	return nil
}

// command writes the router's configuration files and returns the command for its nth start.
func (r *router) command(start int) (*exec.Cmd, error) {
	config, err := r.writeConfig(start)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(r.fleet.options.RouterProgram, "serve")
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "GOMAXPROCS=1")
	if len(r.fleet.members) > 0 {
		control, err := r.writeControlConfig()
		if err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, "LB_CONTROL="+control)
	}
	if r.host != nil {
		cmd.Env = append(cmd.Env, r.host.Environment(true)...)
	}
	for name, value := range r.fleet.options.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	return cmd, nil
}

// writeConfig writes the router's configuration, including all events that the control feed has published so far.
func (r *router) writeConfig(start int) (path string, err error) {
	events, last := r.feed.published()
	seed := r.fleet.scenario.Seed*1000 + uint64(r.index*20+start)
	config := fmt.Appendf(nil, `{"name":"r%d","listen":"127.0.0.1:0","seed":"%016x","feed":%q,"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"known":{"n":%d,"events":[%s]},"settings":%s}`, r.index, seed, r.feedLink.Address(), routerMemoryMB, cmp.Or(r.fleet.scenario.Descriptors, routerSockets),
		last, events, fleetSettings(r.fleet.scenario, r.index))
	path = filepath.Join(r.fleet.dir, fmt.Sprintf("router-%d.json", r.index))
	return path, os.WriteFile(path, config, 0o600)
}

// writeControlConfig writes the configuration of the control client. Its addresses are those of this router's own links to the group.
func (r *router) writeControlConfig() (path string, err error) {
	config := controlclient.Config{
		LeaseMillis:         GroupDurations.LeaseDuration.Milliseconds(),
		RenewIntervalMillis: GroupDurations.RenewInterval.Milliseconds(),
		ReplyTimeoutMillis:  GroupDurations.ReplyTimeout.Milliseconds(),
		MaxBatchMillis:      GroupDurations.MaxBatch.Milliseconds(),
		MaxPauseMillis:      GroupDurations.MaxPause.Milliseconds(),
		MaxClockDrift:       GroupDurations.MaxClockDrift,
		MaxRemovedShare:     1,
	}
	for _, m := range r.fleet.members {
		config.Addresses = append(config.Addresses, m.routerLinks[r.index].Address())
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path = filepath.Join(r.fleet.dir, fmt.Sprintf("control-%d.json", r.index))
	return path, os.WriteFile(path, raw, 0o600)
}

// observeLog records the events of a line of the router's log that the auditors need.
func (r *router) observeLog(line []byte) {
	r.recordActiveRules(line)
	violated := bytes.Contains(line, []byte(logevent.InvariantViolated))
	panicked := bytes.Contains(line, []byte(`"`+logevent.KeyPanic+`"`)) || bytes.HasPrefix(line, []byte("panic:"))
	if violated || panicked {
		r.fleet.record(Event{Kind: InvariantViolated, Router: r.index, Text: string(line)})
	}
}

// Texts of RouterDown and RouterUp events: how the router went down. Histories store them.
const (
	downTerminated = "term"
	downKilled     = "kill"
	downStopped    = "stop"
)

func (r *router) kill() error {
	r.fleet.record(Event{Kind: RouterDown, Router: r.index, Text: downKilled})
	return r.signal(syscall.SIGKILL)
}

func (r *router) terminate() error {
	r.fleet.record(Event{Kind: RouterDown, Router: r.index, Text: downTerminated})
	return r.signal(syscall.SIGTERM)
}

// stop suspends the process until resume.
func (r *router) stop() error {
	r.fleet.record(Event{Kind: RouterDown, Router: r.index, Text: downStopped})
	return r.signal(syscall.SIGSTOP)
}

// resume resumes the process that stop has suspended. It signals all processes, because an overlapping outage may have started another
// process since.
func (r *router) resume() error {
	r.mu.Lock()
	processes := slices.Clone(r.processes)
	r.mu.Unlock()
	var errs []error
	for _, p := range processes {
		errs = append(errs, p.signal(syscall.SIGCONT))
	}
	r.fleet.record(Event{Kind: RouterUp, Router: r.index, Text: downStopped})
	return errors.Join(errs...)
}

func (r *router) signal(s os.Signal) error {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	return p.signal(s)
}

func (r *router) close() {
	r.mu.Lock()
	processes := r.processes
	clients := r.clients
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, c := range clients {
		c.Close()
	}
	r.clientLink.Close()
	r.feedLink.Close()
	r.feed.close()
	for _, l := range r.engineLinks {
		l.Close()
	}
	if r.host != nil {
		r.host.Close()
	}
}
