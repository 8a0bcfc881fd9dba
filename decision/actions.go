package decision

import "time"

// Action is something that the module asks its host to do.
type Action interface{ action() }

// StartAttempt starts the next attempt of a statement. Its AttemptID is the number of attempts before it.
type StartAttempt struct {
	Statement StatementID
	Engine    EngineID
	Timeout   time.Duration // of the attempt; 0: the statement's deadline alone
	// StartBefore is the time by which the attempt has to be sent, on the module's clock; 0: at any time. A host that is
	// later must not send it, and reports it as NotSent.
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
	RetryAfter time.Duration // 0: none is named
	Reason     Reason
}

// Abort ends a statement and promises nothing: it may have run.
type Abort struct {
	Statement StatementID
	Reason    Reason
}

// SetResources names the memory grant and the priority of a statement's next attempts.
type SetResources struct {
	Statement     StatementID
	MemoryGrantMB int64 // 0: the engine chooses
	Priority      int   // from 0 to 3, the highest; applies to attempts in flight, too
}

// HealthCheck asks an engine for a sign of life, and for its load report.
type HealthCheck struct{ Engine EngineID }

// CloseIdleConnections closes the idle connections to an engine.
type CloseIdleConnections struct{ Engine EngineID }

// SetTimer asks for a TimerFired.
type SetTimer struct {
	Token string
	At    time.Duration
}

// WatchEndpoints asks for changes to the endpoint list from now on, or for no more of them.
type WatchEndpoints struct{ Enabled bool }

// FetchEndpoints asks once for the complete endpoint list.
type FetchEndpoints struct{}

// SendToPeers sends a few bytes to one router, or to all others.
type SendToPeers struct {
	All  bool
	To   RouterID
	Data []byte
}

// Log records a line for the operators.
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
