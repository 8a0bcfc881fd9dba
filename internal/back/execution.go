package back

import (
	"context"
	"errors"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/http1"
)

// Execution is one statement on one engine: started once, then polled until its end, then its pages. It
// holds one connection while it is out.
type Execution struct {
	back *Back
	Order
	path   string
	sent   time.Time
	ctx    context.Context // ends when it is revoked or given up
	cancel context.CancelFunc
	stage  atomic.Int32 // waiting, then started or revoked
	asked  atomic.Int64 // Unix nanoseconds when the engine was last asked for it, at the latest
	ended  sync.Once
	conn   *conn // the one it holds, if any; the running goroutine's
	report *decision.Report
}

const (
	waiting int32 = iota
	started
	revoked
)

// Revoke keeps an execution from being started, if it has not been; nothing of it goes out after this call.
// It tells whether it did.
func (x *Execution) Revoke() bool {
	if !x.stage.CompareAndSwap(waiting, revoked) {
		return false
	}
	x.cancel() // ends the wait for a connection
	return true
}

// GiveUp waits for an execution no longer. Its end is told when it is out no longer, which takes a call to
// the engine, unless another end comes first.
func (x *Execution) GiveUp() {
	if !x.Revoke() {
		x.cancel()
	}
}

// lapsed makes sure that an execution that was given up, or whose time is up, is out no longer, and tells so.
// It goes beside the poll that is under way, whose connection is kept for later use.
func (x *Execution) lapsed() {
	if x.stage.Load() != started || x.back.ctx.Err() != nil {
		return
	}
	outcome := decision.Cancelled
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		outcome = decision.TimedOut
	}
	x.back.running.Go(func() {
		x.callOff()
		x.end(outcome, nil, nil)
	})
}

// end tells the listener how the execution ended, once.
func (x *Execution) end(outcome decision.Outcome, report *decision.Report, result []byte) {
	x.ended.Do(func() {
		x.back.listener.Ended(decision.ExecutionEnded{Statement: x.Statement, Execution: x.Order.Execution,
			Engine: x.Engine, Outcome: outcome, Took: time.Since(x.sent), Report: report}, result)
	})
}

var (
	errProcessGone = errors.New("the engine's process is gone")
	errLapsed      = errors.New("the execution was given up, or its time is up")
	errNoPage      = errors.New("a page of the result cannot be had")
)

// run brings an execution to its outcome. A result is whole or there is none. The end of one that lapses while
// it is out is not known here: lapsed tells it.
func (x *Execution) run() (outcome decision.Outcome, result []byte, known bool) {
	defer func() {
		if p := recover(); p != nil { // ends this execution alone
			x.back.log.Error("an execution broke down", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			x.release(false)
			x.callOff()
			outcome, result, known = decision.Errored, nil, true
		}
	}()
	c, err := x.back.pool.get(x.ctx, x.Engine, false)
	if err != nil {
		if x.ctx.Err() != nil || !time.Now().Before(x.Until) || errors.Is(err, errNoSlot) || errors.Is(err, errNoEngine) {
			return decision.NeverSent, nil, true // says nothing of the engine
		}
		return decision.NotConnected, nil, true // refused, or not up in time: it proves that nothing ran
	}
	x.conn = c
	defer func() { x.release(x.conn != nil) }()
	left := time.Until(x.Until)
	if left < time.Millisecond || !x.stage.CompareAndSwap(waiting, started) || x.ctx.Err() != nil {
		return decision.NeverSent, nil, true // the last: lapsed may have looked before it was started
	}
	head, body, whole, err := x.ask(message("POST", "/x", c.address, x.Text, fieldID, string(x.Statement),
		fieldWorkload, x.Workload, fieldLimit, millis(left), "Content-Length", strconv.Itoa(len(x.Text))))
	if !whole { // part of it cannot run
		return decision.NotConnected, nil, true
	}
	// What was started is never started again here: a broken connection is followed by polls on others.
	for {
		if err == nil {
			said := read(head)
			if said.over && said.outcome == decision.Completed {
				body, err = x.collect(body, said.pages)
			}
			if said.over && err == nil {
				x.report = said.report
				return said.outcome, body, true
			}
			if said.note != nil {
				said.note.Statement, said.note.Execution, said.note.Engine = x.Statement, x.Order.Execution, x.Engine
				x.back.listener.Noted(*said.note)
			}
		}
		if err == nil || !isFinal(err) {
			head, body, err = x.poll("/0")
		}
		switch {
		case errors.Is(err, errLapsed):
			return 0, nil, false
		case errors.Is(err, errProcessGone):
			return decision.Reset, nil, true
		case err != nil: // garbage, or pages that are not to be had: it may have run, and runs no longer
			x.callOff()
			return decision.Errored, nil, true
		}
	}
}

// isFinal tells errors after which nothing is asked again from those of one connection.
func isFinal(err error) bool {
	return errors.Is(err, errLapsed) || errors.Is(err, errProcessGone) || errors.Is(err, errNoPage) || errors.Is(err, http1.ErrMalformed)
}

// ask makes one call on the connection that the execution holds, bounded by the poll's time.
func (x *Execution) ask(call []byte) (http1.Head, []byte, bool, error) {
	now := time.Now()
	x.asked.Store(now.UnixNano())
	head, body, whole, err := x.conn.do(now.Add(pollHeld+pollSlack), call)
	if err != nil || head.Close {
		x.release(false)
	}
	return head, body, whole, err
}

// release gives the connection back: the one place where an execution does.
func (x *Execution) release(usable bool) {
	switch {
	case x.conn == nil:
	case usable:
		x.back.pool.put(x.conn)
	default:
		x.back.pool.drop(x.conn)
	}
	x.conn = nil
}

// poll asks for news or a page until there is an answer: on another connection when one breaks or hangs.
func (x *Execution) poll(what string) (head http1.Head, body []byte, err error) {
	for fresh := false; ; fresh = true {
		if x.ctx.Err() != nil {
			return head, nil, errLapsed
		}
		if x.conn == nil {
			c, err := x.back.pool.get(x.ctx, x.Engine, fresh)
			if errors.Is(err, syscall.ECONNREFUSED) { // nobody listens: what ran there is gone
				return head, nil, errProcessGone
			}
			if err != nil {
				x.pause()
				continue
			}
			x.conn = c
		}
		head, body, _, err = x.ask(message("GET", x.path+what, x.conn.address, nil))
		if err == nil || errors.Is(err, http1.ErrMalformed) {
			return head, body, err
		}
		if fresh {
			x.pause()
		}
	}
}

func (x *Execution) pause() {
	select {
	case <-time.After(askAgain):
	case <-x.ctx.Done():
	}
}

// collect fetches all further pages and puts the rows together, unchanged and in order.
func (x *Execution) collect(result []byte, pages int) ([]byte, error) {
	for page := 0; ; page++ {
		if n := len(result); n > mostResult || n > 0 && result[n-1] != '\n' {
			return nil, errNoPage
		}
		if page+1 == pages {
			return result, nil
		}
		number := strconv.Itoa(page + 1)
		head, body, err := x.poll("/" + number)
		if err != nil {
			return nil, err
		}
		if head.Status != 200 || head.Get(fieldPage) != number {
			return nil, errNoPage
		}
		result = append(result, body...)
	}
}

// callOff makes sure that the execution is out no longer: the engine has heard so, its process is gone, or
// it must have dropped what it was not asked for.
func (x *Execution) callOff() {
	asked := time.Unix(0, x.asked.Load())
	ctx, cancel := context.WithDeadline(x.back.ctx, asked.Add(pollHeld+forgets+forgetOff))
	defer cancel()
	for ctx.Err() == nil {
		c, err := x.back.pool.get(ctx, x.Engine, false)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			head, _, _, err := c.do(time.Now().Add(pollHeld+pollSlack), message("DELETE", x.path, c.address, nil))
			if err != nil || head.Close {
				x.back.pool.drop(c)
			} else {
				x.back.pool.put(c)
			}
			if err == nil {
				return
			}
		}
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
		}
	}
}
