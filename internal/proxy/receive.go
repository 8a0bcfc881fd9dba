package proxy

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
)

// client is the part of a client connection that the router uses. No call blocks.
type client interface {
	// Answer queues the final answer of a stream. It reports whether reading from the client stops because the client does not read its
	// answers.
	Answer(stream uint32, code downstream.Code, body []byte) (stalled bool)
	// CloseStream closes a stream without an answer after its client has cancelled the request.
	CloseStream(stream uint32)
	// Waits reports whether the client still waits for the answer of a stream.
	Waits(stream uint32) bool
	// HasUnreadInput reports whether the client has sent input that was not read yet.
	HasUnreadInput() bool
	// ReserveText reserves memory for the text of a request. It reports whether enough was free.
	ReserveText(n int) (reserved bool)
	// ReleaseText releases reserved memory.
	ReleaseText(n int)
}

// HandleStatement handles a complete request on the goroutine that reads its connection. It rejects an invalid request at once and posts
// a valid one to the event loop, in the order of receipt. It reports whether the request was valid, also where a valid request is
// rejected because no memory is left for its text.
func (r *Router) HandleStatement(c *downstream.Conn, stream uint32, fields downstream.Fields, text []byte) bool {
	receivedAt := r.clockOrigin.Add(r.pauses.earliestArrival(r.now()))
	r.metrics.received.Add(1)
	req, arrived, err := r.admit(c, fields, text, receivedAt)
	if err != nil {
		r.metrics.invalid.Add(1)
		r.log.Debug(logevent.RequestInvalid, zap.Error(err), zap.Any("fields", fields), zap.Int("bytes", len(text)))
		c.Answer(stream, downstream.CodeRejected, []byte(err.Error()))
		return errors.Is(err, errNoMemory)
	}
	req.stream = stream
	r.log.Debug(logevent.RequestAdmitted, logevent.RequestID(req.id), logevent.Workload(req.workload), zap.Uint32("stream", stream),
		zap.Bool("resent", arrived.ClientRetry), logevent.Milliseconds("budget_ms", arrived.TimeBudget),
		logevent.Milliseconds("waited_ms", time.Since(receivedAt)))
	r.metrics.open.Add(1)
	r.loop.post(input{message: &requestArrived{event: arrived, request: req}})
	return true
}

// HandleCancel handles the client's cancellation of the requests that are open on these streams.
func (r *Router) HandleCancel(c *downstream.Conn, streams []uint32) {
	for _, stream := range streams {
		r.loop.post(input{message: requestCancelled{client: c, stream: stream}})
	}
}

// HandleBackpressure is called when a client no longer reads its answers fast enough, and when it has caught up.
func (r *Router) HandleBackpressure(c *downstream.Conn, stalled bool) {
	r.loop.post(input{message: backpressureChanged{client: c, stalled: stalled}})
}

// AbortOpenStatements has the event loop abort the open requests of a connection that is about to be closed because its client reads its
// answers too slowly.
func (r *Router) AbortOpenStatements(c *downstream.Conn, reason string) {
	r.loop.post(input{message: slowClientDisconnected{client: c, reason: reason}})
}

// Ready reports whether clients may send requests to the router.
func (r *Router) Ready() bool { return r.reachable.Load() && !r.draining.Load() }

// requestArrived is an admitted request.
type requestArrived struct {
	event   decision.StatementArrived
	request *request
}

func (m *requestArrived) apply(l *eventLoop, now time.Duration) decision.Event {
	if l.requests.isIDInUse(m.request.id) { // an engine may hold another request of this id; this one never ran
		l.reply(m.request, downstream.CodeRejected, []byte("id is in use"), reasonIDInUse)
		return nil
	}
	if l.rejectFrom > 0 && now >= l.rejectFrom {
		l.reply(m.request, downstream.CodeRejected, nil, decision.ReasonShutdown)
		return nil
	}
	l.requests.add(m.request)
	l.classify(m.request, &m.event, now)
	m.event.TimeBudget = m.request.deadline.Sub(l.router.clockOrigin) - now // less the time since the request was received
	return m.event
}

// requestCancelled is a client's cancellation of the request that is open on a stream.
type requestCancelled struct {
	client client
	stream uint32
}

func (m requestCancelled) apply(l *eventLoop, _ time.Duration) decision.Event {
	req := l.requests.onStream(m.client, m.stream)
	if req == nil {
		return nil
	}
	l.finishUnanswered(req)
	return decision.ClientCancelled{Statement: req.id}
}

// backpressureChanged is a client's change between reading its answers and not reading them.
type backpressureChanged struct {
	client  client
	stalled bool
}

func (m backpressureChanged) apply(l *eventLoop, _ time.Duration) decision.Event {
	return decision.ClientReadStateChanged{Statements: l.requests.openRequestIDs(m.client), Reading: !m.stalled}
}

// slowClientDisconnected is the disconnection of a client that reads its answers too slowly.
type slowClientDisconnected struct {
	client client
	reason string
}

// apply aborts all open requests of the client at once, since they may have run and their results can no longer be delivered. It returns
// the event that reports the disconnection to the module.
func (m slowClientDisconnected) apply(l *eventLoop, _ time.Duration) decision.Event {
	ids := l.requests.openRequestIDs(m.client)
	for _, id := range ids {
		l.reply(l.requests.find(id), downstream.CodeAborted, []byte(m.reason), reasonSlowClient)
	}
	return decision.ClientReadStateChanged{Statements: ids, Disconnected: true}
}
