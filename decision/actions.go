package decision

import "time"

// Action is a request of the module to its host.
type Action interface{ action() }

// StartAttempt starts the next attempt of a statement. Its AttemptID is the number of earlier attempts of the
// statement.
type StartAttempt struct {
	Statement StatementID
	Engine    EngineID
	Timeout   time.Duration // of the attempt; 0: only the statement's deadline applies
	// StartBefore is the time by which the attempt has to be sent, on the module's clock; 0: no limit. A host that
	// cannot send the attempt by then must not send it, and reports it as NotSent.
	StartBefore time.Duration
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	Statement StatementID
	Attempt   AttemptID
	Reason    Reason
}

// Reject ends a statement and tells the client that a retry is harmless.
type Reject struct {
	Statement  StatementID
	RetryAfter time.Duration // 0: not set
	Reason     Reason
}

// Abort ends a statement that may have run: unlike Reject, it does not tell the client that a retry is harmless.
type Abort struct {
	Statement StatementID
	Reason    Reason
}

// SetResources sets the memory grant and the priority of a statement's next attempts.
type SetResources struct {
	Statement     StatementID
	MemoryGrantMB int64 // 0: the engine chooses
	Priority      int   // from 0 to 3 (highest); also applies to attempts in flight
}

// HealthCheck requests a health check of an engine, and its load report.
type HealthCheck struct{ Engine EngineID }

// CloseIdleConnections closes the idle connections to an engine.
type CloseIdleConnections struct{ Engine EngineID }

// SetTimer requests a TimerFired event.
type SetTimer struct {
	Token string
	At    time.Duration
}

// WatchEndpoints starts or stops the delivery of changes to the endpoint list.
type WatchEndpoints struct{ Enabled bool }

// FetchEndpoints requests the complete endpoint list once.
type FetchEndpoints struct{}

// SendToPeers sends a short message to one router, or to all others.
type SendToPeers struct {
	All  bool
	To   RouterID
	Data []byte
}

// Log writes a line to the operators' log.
type Log struct{ Text string }

// Crash reports that the module failed.
type Crash struct{ Text string }

func (StartAttempt) action()         {}
func (CancelAttempt) action()        {}
func (Reject) action()               {}
func (Abort) action()                {}
func (SetResources) action()         {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (SetTimer) action()             {}
func (WatchEndpoints) action()       {}
func (FetchEndpoints) action()       {}
func (SendToPeers) action()          {}
func (Log) action()                  {}
func (Crash) action()                {}
