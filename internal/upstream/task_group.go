package upstream

import "sync"

// taskGroup runs tasks in goroutines until it is closed. Its methods are safe for concurrent use, which sync.WaitGroup's Go beside Wait is
// not while the group may be empty.
type taskGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs a task, unless the group is closed. It returns whether it does.
func (g *taskGroup) start(task func()) (started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(task)
	return true
}

// close has the group start no more tasks, and waits for those that run.
func (g *taskGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
