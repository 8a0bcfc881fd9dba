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
	body       []byte
	extraBytes bool // more has come than belongs to it
}

// doubtful tells whether an answer without an end may be an earlier one's second, which came late: no news sooner than an engine holds such an
// answer, or the same note once more. Then what was asked for is still to come on that connection, and would be taken for the answer to the
// next call there, whosever that is.
func (x *Attempt) mayBeStale(said answer) bool {
	note, before := said.Field(headerProgressKind)+" "+said.Field(headerProgressValue), x.lastProgress
	x.lastProgress = note
	return (note == " " || note == before) && x.sinceLastRequest() < pollHoldTime/4
}

// isOver tells errors after which nothing is asked again.
func isFinal(err error) bool {
	return errors.Is(err, errAttemptStopped) || errors.Is(err, errExpiredAtEngine) || errors.Is(err, errUnknownEngine) || errors.Is(err, errResultUnavailable)
}

// ask makes one call on the connection that the execution holds, and waits so long for its answer.
func (x *Attempt) roundTrip(within time.Duration, call []byte) (said answer, whole bool, err error) {
	now := time.Now()
	x.lastRequest.store(x.client.clockOrigin, now)
	said.Header, said.body, whole, err = x.conn.roundTrip(now.Add(within), call)
	if err != nil {
		x.abortConnection()
		return said, whole, err
	}
	x.conn.startUnanswered.Store(false)
	found := x.conn.inspect()
	said.extraBytes = found == stateUnexpectedData
	if found != stateQuiet || said.Close || saysNeverRan(said.Header) { // a late second copy of that would be believed of another execution
		x.releaseConnection(false)
	}
	return said, whole, nil
}

// isNews tells whether an answer is one that the protocol has for a start or for /0.
func isStatusAnswer(a answer) bool {
	switch a.Status {
	case 200:
		return readStatus(a.Header).outcome == decision.Completed && endsWithCompleteRow(a.body)
	case 202, 500, 503, 504:
		return true
	}
	return false
}

// wholeRows tells whether a page ends with a whole row.
func endsWithCompleteRow(page []byte) bool { return len(page) == 0 || page[len(page)-1] == '\n' }

// fits tells why an answer is of no use: it is none that is awaited, or more came than belongs to it. In the
// latter case its length may be wrong, so its rows count once they have come the same a second time.
func checkAnswer(said answer, awaited func(answer) bool, before *answer) error {
	switch {
	case !awaited(said):
		return errUnusableAnswer
	case said.extraBytes && said.Status == 200 && (before == nil || !bytes.Equal(before.body, said.body)):
		return errUnusableAnswer
	}
	return nil
}

// release gives the connection back: the one place where an execution does.
func (x *Attempt) releaseConnection(usable bool) {
	switch {
	case x.conn == nil:
	case usable:
		x.client.pool.release(x.conn)
	default:
		x.client.pool.close(x.conn)
	}
	x.conn = nil
}

// abort resets the connection, on which a call has no answer: what of it is still on its way must not come to the engine later.
func (x *Attempt) abortConnection() {
	x.client.pool.abort(x.conn)
	x.lastAbort.store(x.client.clockOrigin, time.Now())
	x.conn = nil
}

// fetch asks for news or a page until there is an answer of use: on another connection when one breaks, hangs
// or brings what cannot be used.
func (x *Attempt) fetchAnswer(what string, within time.Duration, awaited func(answer) bool) (answer, error) {
	var before *answer
	for tries, fresh := 0, false; ; tries++ {
		if tries > 1 {
			x.waitRetryDelay()
		}
		if x.ctx.Err() != nil {
			return answer{}, errAttemptStopped
		}
		if x.conn != nil && x.conn.inspect() != stateQuiet {
			x.releaseConnection(false)
		}
		if x.conn == nil {
			c, err := x.client.pool.acquire(x.ctx, x.Engine, x.address, fresh)
			if errors.Is(err, syscall.ECONNREFUSED) && !time.Now().Before(x.expiresAtEngine()) {
				return answer{}, errExpiredAtEngine // not before: an engine on its way out listens no more and runs on
			}
			if errors.Is(err, errUnknownEngine) {
				return answer{}, err
			}
			if err != nil {
				x.waitRetryDelay()
				continue
			}
			x.conn = c
		}
		said, _, err := x.roundTrip(within, formatRequest("GET", x.resourcePath+what, x.conn.address, nil))
		if err == nil {
			if err = checkAnswer(said, awaited, before); err == nil {
				return said, nil
			}
			x.releaseConnection(false)
			if awaited(said) {
				before = &said
			}
		}
		x.client.log.Debug("asked for again", zap.String("statement", string(x.Statement)), zap.String("what", what), zap.Error(err),
			zap.Int("status", said.Status), zap.Bool("more", said.extraBytes), zap.Int("bytes", len(said.body)))
		fresh = !errors.Is(err, errUnusableAnswer) && !errors.Is(err, http1.ErrMalformed)
		if fresh {
			continue
		}
		if x.unusableAnswers++; x.unusableAnswers > maxUnusableAnswers {
			return answer{}, errResultUnavailable
		}
	}
}

func (x *Attempt) waitRetryDelay() {
	select {
	case <-time.After(retryDelay):
	case <-x.ctx.Done():
	}
}

// collect fetches all further pages and puts the rows together, unchanged and in order.
func (x *Attempt) fetchRemainingPages(result []byte, pages int) ([]byte, error) {
	for page := 1; page < pages && len(result) <= maxResultBytes; page++ {
		number := strconv.Itoa(page)
		said, err := x.fetchAnswer("/"+number, responseMargin, func(a answer) bool {
			return a.Status == 200 && a.Field(headerPageNumber) == number && endsWithCompleteRow(a.body) || a.Status == 500
		})
		if err != nil {
			return nil, err
		}
		if said.Status != 200 {
			return nil, errResultUnavailable // the engine knows it no longer
		}
		result = append(result, said.body...)
	}
	if len(result) > maxResultBytes {
		return nil, errResultUnavailable
	}
	return result, nil
}
