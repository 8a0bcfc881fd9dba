package upstream

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

// startAbortDelay is how long a start may remain without a response after its statement has ended. An engine that has received the start
// answers it once it receives the cancellation. Otherwise the network may be delaying the start, and the start must not reach the engine
// 0.1 s or more after its client has left.
const startAbortDelay = 50 * time.Millisecond

// sendStart sends the statement, once, and reads the response. sent is false if the complete start cannot have reached
// the engine, so that the engine cannot run the attempt.
func (a *Attempt) sendStart() (received response, sent bool, err error) {
	a.startConn.Store(a.conn)
	defer a.finishStart()
	if !a.markStarted() {
		return response{}, false, nil
	}
	timeLeft := time.Until(a.Deadline) // computed after markStarted, which may have waited
	if timeLeft < minTimeLeft {
		return response{}, false, nil
	}
	a.conn.startUnanswered.Store(true)
	received, err = a.roundTrip(pollTimeout, a.formatStart(timeLeft))
	if !received.requestWritten {
		return received, false, err
	}
	a.startWritten.Store(true)
	if err == nil || !resetByRouter(err) {
		close(a.startResolved)
	}
	if err == nil {
		err = checkResponse(received, isStatusResponse, nil)
	}
	return received, true, err
}

// resetByRouter reports whether a start without a response failed because the router aborted it: the engine may still read it. The engine
// no longer reads from a connection that it has closed itself.
func resetByRouter(err error) bool { return isTimeout(err) || errors.Is(err, net.ErrClosed) }

func (a *Attempt) formatStart(timeLeft time.Duration) request {
	return formatRequest(http.MethodPost, startPath, a.conn.address, a.Text,
		headerField{headerStatementID, string(a.Statement)},
		headerField{headerWorkload, a.Workload},
		headerField{headerTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10)},
		headerField{"Content-Length", strconv.Itoa(len(a.Text))})
}

// abortStart resets the connection that carries the start, if the start has no response yet, so that the kernel stops delivering it. It is
// not called by the goroutine that executes run; that goroutine receives net.ErrClosed from the connection.
func (a *Attempt) abortStart() {
	conn := a.startConn.Swap(nil)
	if conn == nil {
		return
	}
	conn.resetOnClose()
	conn.socket.Close()
}

// startDone reports whether the start is not in flight and never will be: its response was received, or it will not be sent. startConn is
// set before the phase, and cleared once there is a response.
func (a *Attempt) startDone() bool {
	switch a.phase.Load() {
	case phaseCancelledUnsent:
		return true
	case phaseStarted:
		return a.startConn.Load() == nil
	}
	return false
}

// finishStart prevents abortStart from resetting the connection, which may serve other attempts afterwards. If abortStart was first, the
// connection is not used again.
func (a *Attempt) finishStart() {
	if a.startConn.Swap(nil) == nil && a.conn != nil {
		a.abortConnection()
	}
}

// markStarted marks the attempt as started and reports whether the start may be sent. It may not if the attempt was
// cancelled, its client has left, its start deadline has passed, or its engine is draining, was removed or has another address now. After
// markStarted the engine may run the attempt. The time of the last request is stored before the phase, since a concurrent
// cancellation that finds the attempt started computes the end of the engine's retention from it.
func (a *Attempt) markStarted() bool {
	if a.client.AwaitDiscovery != nil {
		a.client.AwaitDiscovery()
	}
	if a.ClientWaits != nil && !a.ClientWaits() {
		return false
	}
	a.lastRequest.store(a.client.clockOrigin, time.Now())
	if !a.client.pool.mayStartAttempt(a.Engine, a.address) || a.startDeadlinePassed() {
		return false
	}
	if !a.phase.CompareAndSwap(phasePending, phaseStarted) {
		return false
	}
	return a.ctx.Err() == nil // otherwise onContextDone may have found the attempt pending and reports no end
}

// startDeadlinePassed reports whether it is too late to start the attempt.
func (a *Attempt) startDeadlinePassed() bool {
	return !a.StartBefore.IsZero() && !time.Now().Before(a.StartBefore)
}
