package faultlab

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options say with which programs a schedule is played.
type Options struct {
	RouterProgram  string             // path of the built router
	ControlProgram string             // path of the built control service; empty: schedules with a control group cannot be played
	Dir            string             // for the logs of the processes; empty: a temporary one that is removed
	Progress       func(part float64) // called with the share of the play that is over, from 0 to 1; nil: nobody listens
	Env            map[string]string  // additional environment of the routers
}

// progressInterval is the time between two calls of Options.Progress.
const progressInterval = 100 * time.Millisecond

// Run plays a schedule and returns its history in order of time. Everything that it starts has ended when it returns. The error
// is that of an invalid schedule, of a process that does not start, or of the context.
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

// logDir makes the folder for logs: the one named, or a temporary one that remove deletes.
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

// run sends the traffic and injects the faults. Clients may still wait for their answers when it returns.
func (f *fleet) run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.generateTraffic(groupCtx, ctx) })
	group.Go(func() error { return f.operate(groupCtx) })
	for _, fault := range f.schedule.Faults {
		group.Go(func() error { return f.playFault(groupCtx, fault) })
	}
	if f.options.Progress != nil {
		defer inBackground(ctx, f.reportProgress)()
	}
	stopRecording := inBackground(ctx, f.recordVersions)
	err := group.Wait()
	stopRecording()
	return err
}

// inBackground starts a task, and returns what cancels it and waits until it has ended.
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
			f.options.Progress(min(1, time.Since(f.began).Seconds()/f.schedule.Seconds))
		}
	}
}

// finishHistory returns what was recorded, with the versions that the control group wrote.
func (f *fleet) finishHistory() (*History, error) {
	h := &History{Scenario: f.schedule}
	if err := f.collectVersions(h); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Events = f.events
	h.Sort()
	return h, nil
}
