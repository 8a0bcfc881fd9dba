package upstream

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

// startAbortDelay is how long a start may stay without a response after its statement has ended. An engine that has the start answers it
// once it has the cancellation; otherwise the network may hold the start up, and it must not come there 0.1 s after its client left.
const startAbortDelay = 50 * time.Millisecond

// sendStart sends the statement, once, and reads the response. sent is false where the start cannot have reached the
// engine complete, so that the engine cannot run it.
func (a *Attempt) sendStart() (received response, sent bool, err error) {
	a.startConn.Store(a.conn)
	defer a.finishStart()
	if !a.markStarted() {
		return response{}, false, nil
	}
	timeLeft := time.Until(a.Deadline) // only now: markStarted may have waited
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

// resetByRouter reports whether a start without a response failed because the router gave it up: the engine may yet read it. A connection
// that the engine has broken is not read any more.
func resetByRouter(err error) bool { return isTimeout(err) || errors.Is(err, net.ErrClosed) }

func (a *Attempt) formatStart(timeLeft time.Duration) []byte {
	return formatRequest(http.MethodPost, startPath, a.conn.address, a.Text,
		headerField{headerStatementID, string(a.Statement)},
		headerField{headerWorkload, a.Workload},
		headerField{headerTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10)},
		headerField{"Content-Length", strconv.Itoa(len(a.Text))})
}

// abortStart resets the connection that carries the start, if that has no response, so that the kernel and the network do not go on
// delivering it. It is called from another goroutine than run's, which gets net.ErrClosed.
func (a *Attempt) abortStart() {
	conn := a.startConn.Swap(nil)
	if conn == nil {
		return
	}
	conn.resetOnClose()
	conn.socket.Close()
}

// startIsOver reports whether nothing of the start is under way, nor will be: it has its response, or will not be sent. startConn is
// set before the phase is, and reset once there is a response.
func (a *Attempt) startIsOver() bool {
	switch a.phase.Load() {
	case phaseCancelledUnsent:
		return true
	case phaseStarted:
		return a.startConn.Load() == nil
	}
	return false
}

// finishStart keeps abortStart from the connection, which may serve other attempts from now on. If abortStart came first, the connection
// is not used again.
func (a *Attempt) finishStart() {
	if a.startConn.Swap(nil) == nil && a.conn != nil {
		a.abortConnection()
	}
}

// markStarted makes an attempt a started one, unless it was cancelled, it is too late to start it, or its engine is
// draining, removed or elsewhere by now. The engine may run it from here on. The time of the last request is stored
// before the phase, since a concurrent cancellation that finds the attempt started computes the engine's retention from it.
func (a *Attempt) markStarted() bool {
	if a.client.AwaitDiscovery != nil {
		a.client.AwaitDiscovery()
	}
	a.lastRequest.store(a.client.clockOrigin, time.Now())
	if !a.client.pool.mayStartAttempt(a.Engine, a.address) || a.startDeadlinePassed() {
		return false
	}
	if !a.phase.CompareAndSwap(phasePending, phaseStarted) {
		return false
	}
	return a.ctx.Err() == nil // otherwise onContextDone may have found it pending, and reports no end
}

// startDeadlinePassed reports whether the attempt must not be started any more.
func (a *Attempt) startDeadlinePassed() bool {
	return !a.StartBefore.IsZero() && !time.Now().Before(a.StartBefore)
}
