package upstream

import (
	"bytes"
	"errors"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/http1"
)

// answer is an engine's answer to one call.
type answer struct {
	http1.Header
	body []byte
	more bool // more has come than belongs to it
}

// doubtful tells whether an answer without an end may be an earlier one's second, which came late: no news sooner than an engine holds such an
// answer, or the same note once more. Then what was asked for is still to come on that connection, and would be taken for the answer to the
// next call there, whosever that is.
func (x *Attempt) doubtful(said answer) bool {
	note, before := said.Field(fieldNote)+" "+said.Field(fieldValue), x.noted
	x.noted = note
	return (note == " " || note == before) && x.unaskedFor() < pollHeld/4
}

// isOver tells errors after which nothing is asked again.
func isOver(err error) bool {
	return errors.Is(err, errLapsed) || errors.Is(err, errForgotten) || errors.Is(err, errNoEngine) || errors.Is(err, errNoPage)
}

// ask makes one call on the connection that the execution holds, and waits so long for its answer.
func (x *Attempt) ask(within time.Duration, call []byte) (said answer, whole bool, err error) {
	now := time.Now()
	x.asked.set(x.back.origin, now)
	said.Header, said.body, whole, err = x.conn.do(now.Add(within), call)
	if err != nil {
		x.abort()
		return said, whole, err
	}
	x.conn.starting.Store(false)
	found := x.conn.look()
	said.more = found == noisy
	if found != quiet || said.Close || neverRan(said.Header) { // a late second copy of that would be believed of another execution
		x.release(false)
	}
	return said, whole, nil
}

// isNews tells whether an answer is one that the protocol has for a start or for /0.
func isNews(a answer) bool {
	switch a.Status {
	case 200:
		return read(a.Header).outcome == decision.Completed && wholeRows(a.body)
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
func (x *Attempt) release(usable bool) {
	switch {
	case x.conn == nil:
	case usable:
		x.back.pool.put(x.conn)
	default:
		x.back.pool.drop(x.conn)
	}
	x.conn = nil
}

// abort resets the connection, on which a call has no answer: what of it is still on its way must not come to the engine later.
func (x *Attempt) abort() {
	x.back.pool.abort(x.conn)
	x.aborted.set(x.back.origin, time.Now())
	x.conn = nil
}

// fetch asks for news or a page until there is an answer of use: on another connection when one breaks, hangs
// or brings what cannot be used.
func (x *Attempt) fetch(what string, within time.Duration, awaited func(answer) bool) (answer, error) {
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

func (x *Attempt) pause() {
	select {
	case <-time.After(askAgain):
	case <-x.ctx.Done():
	}
}

// collect fetches all further pages and puts the rows together, unchanged and in order.
func (x *Attempt) collect(result []byte, pages int) ([]byte, error) {
	for page := 1; page < pages && len(result) <= mostResult; page++ {
		number := strconv.Itoa(page)
		said, err := x.fetch("/"+number, pollSlack, func(a answer) bool {
			return a.Status == 200 && a.Field(fieldPage) == number && wholeRows(a.body) || a.Status == 500
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
