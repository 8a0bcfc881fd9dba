package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/http1"
	"bankledge/internal/logevent"
)

const (
	pollSuffix = "/0" // of an attempt's path

	// pollHoldTime is how long an engine holds a poll when there is no progress to report.
	pollHoldTime = 250 * time.Millisecond
	// pageTimeout is the time for the response to a request that the engine does not hold, such as a page's.
	pageTimeout = 300 * time.Millisecond
	// pollTimeout is the time for the response to a request that the engine may hold.
	pollTimeout = pollHoldTime + pageTimeout
	// retryDelay lies between repeats of a poll, a page or a cancellation.
	retryDelay = 50 * time.Millisecond
	// minPollHoldTime: a response without progress that arrives sooner may be the duplicate of an earlier one, since the
	// engine would have delayed it.
	minPollHoldTime = pollHoldTime / 4

	progressSeparator = " " // between the kind and the value of a progress report

	// maxUnusableAnswers is how many responses of one attempt may be unusable before its outcome is an error.
	maxUnusableAnswers = 16
)

var (
	errAttemptStopped    = errors.New("the attempt was cancelled or its deadline has passed")
	errExpiredAtEngine   = errors.New("connection refused, and the engine has dropped the attempt")
	errUnusableAnswer    = errors.New("unusable response")
	errResultUnavailable = errors.New("the result is not available")
)

// isFinal reports whether nothing more is requested after an error.
func isFinal(err error) bool {
	return errors.Is(err, errAttemptStopped) || errors.Is(err, errExpiredAtEngine) ||
		errors.Is(err, errUnknownEngine) || errors.Is(err, errResultUnavailable)
}

// pollUntilEnd takes the response to the start, or the error in its place, and polls until the end. A started attempt
// is not started again here: the engine keeps a completed one and its pages, so that what broke or was spoilt on its
// way is requested again.
func (a *Attempt) pollUntilEnd(received response, err error) (end attemptEnd, known bool) {
	for {
		if err == nil {
			var ended bool
			end, known, ended = a.handleStatus(received)
			if ended {
				return end, known
			}
		} else {
			if isFinal(err) {
				return a.endFromError(err)
			}
			a.client.log.Debug(logevent.UpstreamResponseUnusable, logevent.RequestID(a.Statement), zap.Error(err))
		}
		received, err = a.fetch(pollSuffix, pollTimeout, isStatusResponse)
		startArrived := err == nil && received.Status != http.StatusInternalServerError // a 500 may overtake the start
		if startArrived && !isClosed(a.startResolved) {
			close(a.startResolved)
		}
	}
}

// handleStatus acts on a response to the start or to a poll. ended is false where polling goes on.
func (a *Attempt) handleStatus(received response) (end attemptEnd, known, ended bool) {
	status := readStatus(received.Header)
	switch {
	case status.ended:
		end, known = a.endFromStatus(status, received)
		return end, known, true
	case a.mayBeStale(received):
		a.releaseConnection(false)
		a.waitRetryDelay()
	case status.progress != nil:
		status.progress.Statement = a.Statement
		status.progress.Attempt = a.AttemptRequest.Attempt
		status.progress.Engine = a.Engine
		a.reportProgress(*status.progress)
	}
	return attemptEnd{}, false, false
}

func (a *Attempt) endFromStatus(status attemptStatus, received response) (end attemptEnd, known bool) {
	if status.outcome == decision.Completed {
		result, err := a.fetchRemainingPages(received.body, status.pageCount)
		if err != nil {
			return a.endFromError(err)
		}
		received.body = result
	}
	return a.endFromResponse(status, received)
}

// mayBeStale reports whether a response without an end may be a late duplicate of an earlier one: it brings no progress
// sooner than an engine would have released the poll, or the same progress again. Then the response to the poll is
// still to come on this connection, and would be taken for the response to the next request there, whichever attempt
// sends that.
func (a *Attempt) mayBeStale(received response) bool {
	progress := received.Field(headerProgressKind) + progressSeparator + received.Field(headerProgressValue)
	isNew := progress != progressSeparator && progress != a.lastProgress
	a.lastProgress = progress
	return !isNew && a.sinceLastRequest() < minPollHoldTime
}

// fetch requests status or a page until there is a usable response: on another connection when one breaks, hangs or
// brings an unusable response.
func (a *Attempt) fetch(suffix string, timeout time.Duration, isExpected func(response) bool) (response, error) {
	var previous *response // the last unusable one that was of the expected kind
	forceNew := false
	for tries := 0; ; tries++ {
		if tries > 1 {
			a.waitRetryDelay()
		}
		if a.ctx.Err() != nil {
			return response{}, errAttemptStopped
		}
		if err := a.ensureConnection(forceNew); err != nil {
			if isFinal(err) {
				return response{}, err
			}
			a.waitRetryDelay()
			continue
		}
		received, err := a.roundTrip(timeout, formatRequest(http.MethodGet, a.resourcePath+suffix, a.conn.address, nil))
		if err == nil {
			err = checkResponse(received, isExpected, previous)
			if err == nil {
				return received, nil
			}
			a.releaseConnection(false)
			if isExpected(received) {
				previous = &received
			}
		}
		a.client.log.Debug(logevent.UpstreamCallRetried, logevent.RequestID(a.Statement), zap.String("path_suffix", suffix), zap.Error(err),
			zap.Int("status", received.Status), zap.Bool("extra_bytes", received.extraBytes), zap.Int("body_bytes", len(received.body)))
		unusable := errors.Is(err, errUnusableAnswer) || errors.Is(err, http1.ErrMalformed)
		forceNew = !unusable
		if !unusable {
			continue
		}
		a.unusableAnswers++
		if a.unusableAnswers > maxUnusableAnswers {
			return response{}, errResultUnavailable
		}
	}
}

// ensureConnection makes sure that the attempt has a connection without unexpected data on it. A refused connection
// proves nothing before the engine has dropped the attempt: a draining engine does not listen any more and runs on.
func (a *Attempt) ensureConnection(forceNew bool) error {
	if a.conn != nil && a.conn.inspect() != stateQuiet {
		a.releaseConnection(false)
	}
	if a.conn != nil {
		return nil
	}
	conn, err := a.client.pool.acquire(a.ctx, a.Engine, a.address, forceNew)
	if errors.Is(err, syscall.ECONNREFUSED) && !time.Now().Before(a.expiresAtEngine()) {
		return errExpiredAtEngine
	}
	if err != nil {
		return err
	}
	a.conn = conn
	return nil
}

// roundTrip sends a request on the attempt's connection and closes the connection where it must not be used again.
func (a *Attempt) roundTrip(timeout time.Duration, request []byte) (response, error) {
	now := time.Now()
	a.lastRequest.store(a.client.clockOrigin, now)
	received, err := a.conn.roundTrip(now.Add(timeout), request)
	if err != nil {
		a.abortConnection()
		return received, err
	}
	a.conn.startUnanswered.Store(false)
	state := a.conn.inspect()
	received.extraBytes = state == stateUnexpectedData
	if state != stateQuiet || received.Close || reportsNeverRan(received.Header) {
		// A late duplicate of "never ran" would be taken for the response to the next attempt on this connection.
		a.releaseConnection(false)
	}
	return received, nil
}

// waitRetryDelay waits for retryDelay or until the attempt is cancelled or expires.
func (a *Attempt) waitRetryDelay() {
	select {
	case <-time.After(retryDelay):
	case <-a.ctx.Done():
	}
}

// checkResponse returns errUnusableAnswer for a response of another kind than expected, and for rows with more bytes
// behind them: their length may be wrong, so they count once they have been received the same a second time.
func checkResponse(received response, isExpected func(response) bool, previous *response) error {
	if !isExpected(received) {
		return errUnusableAnswer
	}
	if !received.extraBytes || received.Status != http.StatusOK {
		return nil
	}
	if previous == nil || !bytes.Equal(previous.body, received.body) {
		return errUnusableAnswer
	}
	return nil
}

// isStatusResponse reports whether a response is one that the protocol has for a start or a poll.
func isStatusResponse(received response) bool {
	switch received.Status {
	case http.StatusOK:
		return readStatus(received.Header).outcome == decision.Completed && endsWithCompleteRow(received.body)
	case http.StatusAccepted, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
