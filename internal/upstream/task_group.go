package upstream

import "sync"

// taskGroup runs tasks in goroutines until it is closed. Its methods are safe for concurrent use, unlike calls of sync.WaitGroup.Go that
// are concurrent with Wait while the group may be empty.
type taskGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs a task in a goroutine, unless the group is closed, and reports whether it does.
func (g *taskGroup) start(task func()) (started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(task)
	return true
}

// close prevents further tasks from being started and waits for the running ones.
func (g *taskGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
