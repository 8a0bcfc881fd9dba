package faultlab

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options define which programs run a scenario, and with which environment and log folder.
type Options struct {
	RouterProgram  string             // path of the built router
	ControlProgram string             // path of the built control service; required by scenarios with a control group
	Dir            string             // for the logs of the processes; empty: a temporary folder that is removed after the run
	Progress       func(part float64) // called with the completed share of the run, from 0 to 1; may be nil
	Env            map[string]string  // additional environment of the routers
}

// progressInterval is the time between two calls of Options.Progress.
const progressInterval = 100 * time.Millisecond

// Run runs a scenario and returns its history in order of time. All processes and goroutines that it starts have ended when it
// returns. It fails if the scenario is invalid, a process does not start, or the context is done.
func Run(ctx context.Context, s *Scenario, o Options) (*History, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	dir, removeDir, err := logDir(o.Dir)
	if err != nil {
		return nil, err
	}
	defer removeDir()
	f := newFleet(s, o, dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	if err := f.run(ctx); err != nil {
		return nil, err
	}
	f.clients.Wait()
	return f.finishHistory()
}

// logDir creates the folder for logs: the named one, or a temporary one that remove deletes.
func logDir(named string) (dir string, remove func(), err error) {
	if named != "" {
		return named, func() {}, os.MkdirAll(named, 0o755)
	}
	dir, err = os.MkdirTemp("", "bankledge-faultlab")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// run sends the traffic and injects the faults. Clients may still wait for their answers after it returns.
func (f *fleet) run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.generateTraffic(groupCtx, ctx) })
	group.Go(func() error { return f.proposeVersions(groupCtx) })
	for _, fault := range f.scenario.Faults {
		group.Go(func() error { return f.runFault(groupCtx, fault) })
	}
	if f.options.Progress != nil {
		defer inBackground(ctx, f.reportProgress)()
	}
	stopRecording := inBackground(ctx, f.recordVersions)
	err := group.Wait()
	stopRecording()
	return err
}

// inBackground starts a task and returns a function that cancels it and waits until it has ended.
func inBackground(ctx context.Context, task func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		task(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (f *fleet) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.options.Progress(min(1, time.Since(f.began).Seconds()/f.scenario.Seconds))
		}
	}
}

// finishHistory returns the recorded events in order of time, with the versions that the control group wrote.
func (f *fleet) finishHistory() (*History, error) {
	h := &History{Scenario: f.scenario}
	if err := f.collectVersions(h); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Events = f.events
	h.Sort()
	return h, nil
}
