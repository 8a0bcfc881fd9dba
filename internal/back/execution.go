package back

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"bankledge/decision"
	"bankledge/internal/http1"
)

// execution is one statement on one engine: started once, then polled until its end, then its pages.
type execution struct {
	back *Back
	Order
	path   string
	sent   time.Time
	asked  time.Time // when the engine was last asked for it, at the latest
	report *decision.Report
}

// run brings an execution to its outcome. A result is whole or there is none.
func (x *execution) run(ctx context.Context) (decision.Outcome, []byte) {
	left := time.Until(x.Until)
	if left < time.Millisecond || ctx.Err() != nil {
		return decision.NeverSent, nil
	}
	c, err := x.back.pool.get(ctx, x.Engine, false)
	switch {
	case ctx.Err() != nil || errors.Is(err, errNoSlot) || errors.Is(err, errNoEngine):
		if c != nil {
			x.back.pool.put(c)
		}
		return decision.NeverSent, nil
	case err != nil: // refused, or not up in time: it proves that nothing ran
		return decision.NotConnected, nil
	}
	if left = time.Until(x.Until); left < time.Millisecond {
		x.back.pool.put(c)
		return decision.NeverSent, nil
	}
	start := message("POST", "/x", c.address, x.Text, fieldID, string(x.Statement), fieldWorkload, x.Workload,
		fieldLimit, millis(left), "Content-Length", strconv.Itoa(len(x.Text)))
	head, body, whole, err := x.ask(ctx, c, start)
	if !whole { // part of it cannot run
		return decision.NotConnected, nil
	}
	// What was started is never started again here: a broken connection is followed by polls on others.
	for {
		if err == nil {
			said := read(head)
			if said.over {
				if x.report = said.report; said.outcome != decision.Completed {
					return said.outcome, nil
				}
				return x.collect(ctx, body, said.pages)
			}
			if said.note != nil {
				said.note.Statement, said.note.Execution, said.note.Engine = x.Statement, x.Execution, x.Engine
				x.back.listener.Noted(*said.note)
			}
		}
		if !errors.Is(err, http1.ErrMalformed) {
			head, body, err = x.poll(ctx, "/0")
		}
		switch {
		case errors.Is(err, http1.ErrMalformed): // garbage: it may have run, and runs no longer
			x.giveUp()
			return decision.Errored, nil
		case errors.Is(err, errProcessGone):
			return decision.Reset, nil
		case err != nil && ctx.Err() != nil:
			x.giveUp()
			return decision.Cancelled, nil
		case err != nil && !time.Now().Before(x.Until):
			x.giveUp()
			return decision.TimedOut, nil
		}
	}
}

// ask makes one call on a connection, bounded by the poll's time and the execution's, and gives the
// connection back.
func (x *execution) ask(ctx context.Context, c *conn, call []byte) (http1.Head, []byte, bool, error) {
	until := time.Now().Add(pollHeld + pollSlack)
	if x.Until.Before(until) {
		until = x.Until
	}
	x.asked = time.Now()
	head, body, whole, err := c.do(ctx, until, call)
	if err != nil || head.Close {
		x.back.pool.drop(c)
	} else {
		x.back.pool.put(c)
	}
	return head, body, whole, err
}

var errProcessGone = errors.New("the engine's process is gone")

// poll asks for news or a page until there is an answer: on another connection when one breaks or hangs.
func (x *execution) poll(ctx context.Context, what string) (head http1.Head, body []byte, err error) {
	for fresh := false; ctx.Err() == nil && time.Now().Before(x.Until); fresh = true {
		var c *conn
		if c, err = x.back.pool.get(ctx, x.Engine, fresh); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) { // nobody listens: what ran there is gone
				return head, nil, errProcessGone
			}
			x.pause(ctx)
			continue
		}
		if head, body, _, err = x.ask(ctx, c, message("GET", x.path+what, c.address, nil)); err == nil {
			return head, body, nil
		}
		if errors.Is(err, http1.ErrMalformed) {
			return head, nil, err
		}
		if fresh {
			x.pause(ctx)
		}
	}
	return head, nil, errors.Join(err, context.DeadlineExceeded)
}

func (x *execution) pause(ctx context.Context) {
	select {
	case <-time.After(askAgain):
	case <-ctx.Done():
	}
}

// collect fetches all further pages and puts the rows together, unchanged and in order.
func (x *execution) collect(ctx context.Context, first []byte, pages int) (decision.Outcome, []byte) {
	result := first
	for page := 0; ; page++ {
		if n := len(result); n > mostResult || n > 0 && result[n-1] != '\n' {
			return decision.Errored, nil
		}
		if page+1 == pages {
			return decision.Completed, result
		}
		number := strconv.Itoa(page + 1)
		head, body, err := x.poll(ctx, "/"+number)
		switch {
		case errors.Is(err, errProcessGone):
			return decision.Reset, nil
		case err != nil && ctx.Err() != nil:
			return decision.Cancelled, nil // it is over at the engine
		case errors.Is(err, http1.ErrMalformed):
			return decision.Errored, nil
		case err != nil:
			return decision.TimedOut, nil
		case head.Status != 200 || head.Get(fieldPage) != number:
			return decision.Errored, nil
		}
		result = append(result, body...)
	}
}

// giveUp makes sure that the execution is out no longer: the engine has heard so, its process is gone, or
// it must have dropped what it was not asked for.
func (x *execution) giveUp() {
	ctx, cancel := context.WithDeadline(x.back.ctx, x.asked.Add(pollHeld+forgets+forgetOff))
	defer cancel()
	for ctx.Err() == nil {
		c, err := x.back.pool.get(ctx, x.Engine, false)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			until := time.Now().Add(pollHeld + pollSlack)
			head, _, _, err := c.do(ctx, until, message("DELETE", x.path, c.address, nil))
			if err != nil || head.Close {
				x.back.pool.drop(c)
			} else {
				x.back.pool.put(c)
			}
			if err == nil {
				return
			}
		}
		x.pause(ctx)
	}
}
