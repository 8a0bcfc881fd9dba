package back

import (
	"bytes"
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
	path    string
	address string // of the engine, when it was sent
	sent    time.Time
	ctx     context.Context // ends when it is revoked or given up
	cancel  context.CancelFunc
	stage   atomic.Int32 // waiting, then started or revoked
	asked   atomic.Int64 // Unix nanoseconds when the engine was last asked for it, at the latest
	ended   sync.Once
	heard   chan struct{} // closed once the start has come to the engine or never will: nothing of it is on its way
	over    chan struct{} // closed once an answer has proven that it runs no longer
	conn    *conn         // the one it holds, if any; the running goroutine's
	spoilt  int           // answers that could not be used
	noted   string        // the last note, as it came
	report  *decision.Report
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

// begin marks an execution as started, unless it was revoked or given up, it is too late to begin, or its engine has been told to take
// nothing new. From
// here on the engine may run it: when it was last asked for it is known before anyone can find it started, since
// whoever calls it off counts from there.
func (x *Execution) begin() bool {
	if x.back.Hear != nil {
		x.back.Hear()
	}
	x.asked.Store(time.Now().UnixNano())
	return x.back.pool.mayBegin(x.Engine, x.address) && !x.tooLate() && x.stage.CompareAndSwap(waiting, started) &&
		x.ctx.Err() == nil // lapsed may have looked before it was started
}

// tooLate tells whether it must not begin any more.
func (x *Execution) tooLate() bool { return !x.Before.IsZero() && !time.Now().Before(x.Before) }

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
		x.back.pool.letGo(x.Engine)
		x.back.listener.Ended(decision.ExecutionEnded{Statement: x.Statement, Execution: x.Order.Execution,
			Engine: x.Engine, Outcome: outcome, Took: time.Since(x.sent), Report: report}, result)
	})
}

var (
	errForgotten = errors.New("nobody listens, and the engine has dropped what it was not asked for")
	errLapsed    = errors.New("the execution was given up, or its time is up")
	errSpoilt    = errors.New("an answer that cannot be used")
	errNoPage    = errors.New("a page of the result cannot be had")
)

// answer is an engine's answer to one call.
type answer struct {
	http1.Head
	body []byte
	more bool // more has come than belongs to it
}

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
	wait := x.ctx // for a connection: no longer than it may still begin
	if !x.Before.IsZero() {
		by, done := context.WithDeadline(x.ctx, x.Before)
		defer done()
		wait = by
	}
	c, err := x.back.pool.get(wait, x.Engine, x.address, false)
	if err != nil {
		if wait.Err() != nil || x.tooLate() || !time.Now().Before(x.Until) || errors.Is(err, errNoSlot) || errors.Is(err, errNoEngine) ||
			errors.Is(err, syscall.ECONNRESET) {
			return decision.NeverSent, nil, true // says nothing of the engine
		}
		return decision.NotConnected, nil, true // refused, or not up in time: it proves that nothing ran
	}
	x.conn = c
	defer func() { x.release(x.conn != nil) }()
	left := time.Until(x.Until)
	if left < time.Millisecond || !x.begin() {
		return decision.NeverSent, nil, true
	}
	said, whole, err := x.ask(pollHeld+pollSlack, message("POST", "/x", c.address, x.Text, fieldID, string(x.Statement),
		fieldWorkload, x.Workload, fieldLimit, millis(left), "Content-Length", strconv.Itoa(len(x.Text))))
	if !whole { // part of it cannot run; one broken connection says nothing of the engine
		return decision.NeverSent, nil, true
	}
	if !isTimeout(err) { // answered; or what was not read before the connection broke never will be
		close(x.heard)
	}
	// What was started is never started again here: the engine keeps a good end and its pages, so what broke
	// or was spoilt on its way is asked for again.
	if err == nil {
		err = fits(said, isNews, nil)
	}
	for {
		if err != nil && isOver(err) {
			break
		}
		if err != nil {
			x.back.log.Debug("an answer was of no use", zap.String("statement", string(x.Statement)), zap.Error(err))
		} else if heard := read(said.Head); heard.over {
			if heard.outcome == decision.Completed {
				said.body, err = x.collect(said.body, heard.pages)
			}
			if err != nil {
				break
			}
			x.report = heard.report
			if heard.outcome == decision.Errored {
				proven := said.Status == 500 && isClosed(x.heard)
				switch {
				case x.ctx.Err() == nil && !proven: // an end that the protocol does not have, or the start is yet to come
					x.callOff()
				case x.ctx.Err() != nil: // what is given up ends so as well, which speaks against nobody
					if proven {
						close(x.over)
					}
					return 0, nil, false
				}
			}
			return heard.outcome, said.body, true
		} else if x.doubtful(said) {
			x.release(false)
			x.pause()
		} else if heard.note != nil {
			heard.note.Statement, heard.note.Execution, heard.note.Engine = x.Statement, x.Order.Execution, x.Engine
			x.back.listener.Noted(*heard.note)
		}
		if said, err = x.fetch("/0", pollHeld+pollSlack, isNews); err == nil && said.Status != 500 && !isClosed(x.heard) {
			close(x.heard)
		}
	}
	switch {
	case errors.Is(err, errLapsed):
		return 0, nil, false
	case errors.Is(err, errForgotten):
		return decision.Reset, nil, true
	case errors.Is(err, errNoEngine): // another engine has the address
		x.callOff()
		return decision.Reset, nil, true
	}
	x.callOff() // nothing of use is to be had: it may have run, and runs no longer
	return decision.Errored, nil, true
}

// doubtful tells whether an answer without an end may be an earlier one's second, which came late: no news sooner than an engine holds such an
// answer, or the same note once more. Then what was asked for is still to come on that connection, and would be taken for the answer to the
// next call there, whosever that is.
func (x *Execution) doubtful(said answer) bool {
	note, before := said.Get(fieldNote)+" "+said.Get(fieldValue), x.noted
	x.noted = note
	return (note == " " || note == before) && time.Since(time.Unix(0, x.asked.Load())) < pollHeld/4
}

// isOver tells errors after which nothing is asked again.
func isOver(err error) bool {
	return errors.Is(err, errLapsed) || errors.Is(err, errForgotten) || errors.Is(err, errNoEngine) || errors.Is(err, errNoPage)
}

// ask makes one call on the connection that the execution holds, and waits so long for its answer.
func (x *Execution) ask(within time.Duration, call []byte) (said answer, whole bool, err error) {
	now := time.Now()
	x.asked.Store(now.UnixNano())
	said.Head, said.body, whole, err = x.conn.do(now.Add(within), call)
	found := ended
	if err == nil {
		found = x.conn.look()
	}
	said.more = found == noisy
	if found != quiet || said.Close {
		x.release(false)
	}
	return said, whole, err
}

// isNews tells whether an answer is one that the protocol has for a start or for /0.
func isNews(a answer) bool {
	switch a.Status {
	case 200:
		return read(a.Head).outcome == decision.Completed && wholeRows(a.body)
	case 202, 500, 503, 504:
		return true
	}
	return false
}

// wholeRows tells whether a page ends with a whole row.
func wholeRows(page []byte) bool { return len(page) == 0 || page[len(page)-1] == '\n' }

// fits tells why an answer is of no use: it is none that is awaited, or more came than belongs to it. In the
// latter case its length may be wrong, so its rows count once they have come the same a second time.
func fits(said answer, awaited func(answer) bool, before *answer) error {
	switch {
	case !awaited(said):
		return errSpoilt
	case said.more && said.Status == 200 && (before == nil || !bytes.Equal(before.body, said.body)):
		return errSpoilt
	}
	return nil
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

// fetch asks for news or a page until there is an answer of use: on another connection when one breaks, hangs
// or brings what cannot be used.
func (x *Execution) fetch(what string, within time.Duration, awaited func(answer) bool) (answer, error) {
	var before *answer
	for tries, fresh := 0, false; ; tries++ {
		if tries > 1 {
			x.pause()
		}
		if x.ctx.Err() != nil {
			return answer{}, errLapsed
		}
		if x.conn != nil && x.conn.look() != quiet {
			x.release(false)
		}
		if x.conn == nil {
			c, err := x.back.pool.get(x.ctx, x.Engine, x.address, fresh)
			if errors.Is(err, syscall.ECONNREFUSED) && !time.Now().Before(x.dropped()) {
				return answer{}, errForgotten // not before: an engine on its way out listens no more and runs on
			}
			if errors.Is(err, errNoEngine) {
				return answer{}, err
			}
			if err != nil {
				x.pause()
				continue
			}
			x.conn = c
		}
		said, _, err := x.ask(within, message("GET", x.path+what, x.conn.address, nil))
		if err == nil {
			if err = fits(said, awaited, before); err == nil {
				return said, nil
			}
			x.release(false)
			if awaited(said) {
				before = &said
			}
		}
		x.back.log.Debug("asked for again", zap.String("statement", string(x.Statement)), zap.String("what", what), zap.Error(err),
			zap.Int("status", said.Status), zap.Bool("more", said.more), zap.Int("bytes", len(said.body)))
		fresh = !errors.Is(err, errSpoilt) && !errors.Is(err, http1.ErrMalformed)
		if fresh {
			continue
		}
		if x.spoilt++; x.spoilt > mostSpoilt {
			return answer{}, errNoPage
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
	for page := 1; page < pages && len(result) <= mostResult; page++ {
		number := strconv.Itoa(page)
		said, err := x.fetch("/"+number, pollSlack, func(a answer) bool {
			return a.Status == 200 && a.Get(fieldPage) == number && wholeRows(a.body) || a.Status == 500
		})
		if err != nil {
			return nil, err
		}
		if said.Status != 200 {
			return nil, errNoPage // the engine knows it no longer
		}
		result = append(result, said.body...)
	}
	if len(result) > mostResult {
		return nil, errNoPage
	}
	return result, nil
}

// dropped is when the engine has dropped the execution at the latest, if it is not asked for it again.
func (x *Execution) dropped() time.Time {
	return time.Unix(0, x.asked.Load()).Add(pollHeld + forgets + forgetOff)
}

// callOff makes sure that the execution is out no longer. There are three proofs: the engine has answered that it
// gave it up, after it had answered its start (a start that is still on its way would begin it anew); its end was
// read; or the engine must have dropped what it was not asked for. That nobody listens there proves nothing: an
// engine on its way out takes no new connections and runs on. It hears of it on one that it has taken, such as the poll's.
func (x *Execution) callOff() {
	ctx, cancel := context.WithDeadline(x.back.ctx, x.dropped())
	defer cancel()
	for ctx.Err() == nil {
		answered := isClosed(x.heard)
		if x.delete(ctx) {
			if answered {
				return
			}
			select { // again, behind the answer to the start
			case <-x.heard:
				continue
			case <-x.over:
			case <-ctx.Done():
			}
			return
		}
		select {
		case <-time.After(askAgain):
		case <-x.over:
			return
		case <-ctx.Done():
		}
	}
}

// delete tells the engine that the execution is given up, and whether it has answered so.
func (x *Execution) delete(ctx context.Context) bool {
	c, err := x.back.pool.get(ctx, x.Engine, x.address, false)
	if err != nil {
		return false
	}
	head, _, _, err := c.do(time.Now().Add(pollHeld+pollSlack), message("DELETE", x.path, c.address, nil))
	x.back.log.Debug("called off", zap.String("statement", string(x.Statement)), zap.String("engine", string(x.Engine)),
		zap.Duration("after", time.Since(x.sent)), zap.Int("status", head.Status), zap.Error(err))
	if err != nil || head.Close || c.look() != quiet {
		x.back.pool.drop(c)
	} else {
		x.back.pool.put(c)
	}
	return err == nil && (head.Status == 204 || head.Status == 500) // 500: it is known there no longer
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
