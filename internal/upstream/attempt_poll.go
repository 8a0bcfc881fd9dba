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
	pollSuffix = "/0" // appended to the attempt's path in a poll

	// pollHoldTime is how long an engine holds a poll while it has no progress to report.
	pollHoldTime = 250 * time.Millisecond
	// pageTimeout limits the wait for the response to a request that the engine does not hold, such as one for a page.
	pageTimeout = 300 * time.Millisecond
	// pollTimeout limits the wait for the response to a request that the engine may hold.
	pollTimeout = pollHoldTime + pageTimeout
	// retryDelay is the delay before a poll, a page request or a cancellation is repeated.
	retryDelay = 50 * time.Millisecond
	// minPollHoldTime is the time before which a response without new progress may be a duplicate of an earlier one: the
	// engine would have held the poll for longer.
	minPollHoldTime = pollHoldTime / 4

	progressSeparator = " " // between the kind and the value of a progress report

	// maxUnusableResponses is how many unusable responses an attempt may receive before its outcome becomes an error.
	maxUnusableResponses = 16
)

var (
	errAttemptStopped    = errors.New("the attempt was cancelled or its deadline has passed")
	errExpiredAtEngine   = errors.New("connection refused after the engine has dropped the attempt")
	errUnusableResponse  = errors.New("response does not match the request or is followed by extra bytes")
	errResultUnavailable = errors.New("complete result could not be fetched")
)

// isFinal reports whether an error ends the polling: nothing more is requested after it.
func isFinal(err error) bool {
	return errors.Is(err, errAttemptStopped) || errors.Is(err, errExpiredAtEngine) ||
		errors.Is(err, errUnknownEngine) || errors.Is(err, errResultUnavailable)
}

// pollUntilEnd handles the response to the start, or the error that replaced it, and polls until the attempt ends. It never
// sends the start again. The engine keeps a completed attempt and its pages, so a response that was lost or corrupted is
// requested again.
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
		startArrived := err == nil && received.Status != http.StatusInternalServerError // a 500 may be sent before the start arrives
		if startArrived && !isClosed(a.startResolved) {
			close(a.startResolved)
		}
	}
}

// handleStatus handles a response to the start or to a poll. ended is false if polling continues.
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

// mayBeStale reports whether a response without an end may be a late duplicate of an earlier one: it contains no progress,
// or the same progress as before, and arrived sooner than an engine would have answered the poll. In that case the actual
// response to the poll has yet to arrive on this connection, and would be mistaken for the response to the next request,
// which may belong to another attempt.
func (a *Attempt) mayBeStale(received response) bool {
	progress := received.Field(headerProgressKind) + progressSeparator + received.Field(headerProgressValue)
	isNew := progress != progressSeparator && progress != a.lastProgress
	a.lastProgress = progress
	return !isNew && a.sinceLastRequest() < minPollHoldTime
}

// fetch requests the status or a page until it receives a usable response. It switches to another connection when one
// breaks, hangs or delivers an unusable response.
func (a *Attempt) fetch(suffix string, timeout time.Duration, isExpected func(response) bool) (response, error) {
	var previous *response // the last response of the expected kind that was unusable
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
		a.client.log.Debug(logevent.UpstreamRequestRetried, logevent.RequestID(a.Statement), zap.String("path_suffix", suffix), zap.Error(err),
			zap.Int("status", received.Status), zap.Bool("extra_bytes", received.extraBytes), zap.Int("body_bytes", len(received.body)))
		unusable := errors.Is(err, errUnusableResponse) || errors.Is(err, http1.ErrMalformed)
		forceNew = !unusable
		if !unusable {
			continue
		}
		a.unusableResponses++
		if a.unusableResponses > maxUnusableResponses {
			return response{}, errResultUnavailable
		}
	}
}

// ensureConnection makes sure that the attempt has a connection without unexpected data on it. A refused connection counts
// as the attempt's end only once the engine has dropped the attempt: a draining engine no longer listens but continues to
// run attempts.
func (a *Attempt) ensureConnection(forceNew bool) error {
	if a.conn != nil && a.conn.inspect() != stateOpen {
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

// roundTrip sends a request on the attempt's connection, and closes the connection if it must not be used again.
func (a *Attempt) roundTrip(timeout time.Duration, sent request) (response, error) {
	now := time.Now()
	a.lastRequest.store(a.client.clockOrigin, now)
	received, err := a.conn.roundTrip(now.Add(timeout), sent)
	if err != nil {
		a.abortConnection()
		return received, err
	}
	a.conn.startUnanswered.Store(false)
	state := a.conn.inspect()
	received.extraBytes = state == stateUnexpectedData
	if state != stateOpen || received.Close || reportsNeverRan(received.Header) {
		// A late duplicate of a "never ran" response would be mistaken for the response to the next attempt's start on
		// this connection.
		a.releaseConnection(false)
	}
	return received, nil
}

// waitRetryDelay waits for retryDelay, or until the attempt is cancelled or its deadline has passed.
func (a *Attempt) waitRetryDelay() {
	select {
	case <-time.After(retryDelay):
	case <-a.ctx.Done():
	}
}

// checkResponse returns errUnusableResponse for a response that is not of the expected kind, and for rows that are followed
// by extra bytes: their length may be wrong, so they are accepted only once they have been received identically twice.
func checkResponse(received response, isExpected func(response) bool, previous *response) error {
	if !isExpected(received) {
		return errUnusableResponse
	}
	if !received.extraBytes || received.Status != http.StatusOK {
		return nil
	}
	if previous == nil || !bytes.Equal(previous.body, received.body) {
		return errUnusableResponse
	}
	return nil
}

// isStatusResponse reports whether the protocol defines a response as one to a start or a poll.
func isStatusResponse(received response) bool {
	switch received.Status {
	case http.StatusOK:
		return readStatus(received.Header).outcome == decision.Completed && endsWithCompleteRow(received.body)
	case http.StatusAccepted, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
