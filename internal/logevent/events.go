// Package logevent defines the log of the router program in one place: the name of each event, which is a constant text, and the
// fields that several events share, each with one key, one type and one unit. Dashboards and the fault lab read both, and
// docs/oncall.md lists them.
package logevent

// Events of the router process.
const (
	SettingsLoaded        = "settings loaded"
	Serving               = "serving"
	Stopped               = "stopped"
	ShutdownStarted       = "graceful shutdown started"
	ConfigurationReloaded = "configuration reloaded"
	ConfigurationRejected = "configuration rejected, the old one stays in force"
	WallClockStepped      = "wall clock stepped"
)

// Metrics, which are logged at a fixed interval.
const (
	Metrics               = "metrics"
	ClassificationMetrics = "classification metrics"
)

// Events of a request.
const (
	RequestAdmitted     = "request admitted"
	RequestInvalid      = "request invalid"
	RequestReclassified = "request reclassified"
	RequestAnswered     = "request answered"
	RequestCancelled    = "request cancelled by its client"
	RequestUnanswered   = "request left without an answer" // a defect of the decision module
)

// Events of an attempt, which is one run of a request at an engine.
const (
	UpstreamAttemptStarted        = "upstream attempt started"
	UpstreamAttemptNotStarted     = "upstream attempt of a finished request not started" // a defect of the decision module
	UpstreamAttemptCancelled      = "upstream attempt cancelled"
	UpstreamAttemptResultRecorded = "upstream attempt result recorded"
	UpstreamAttemptEnded          = "upstream attempt ended"
	UpstreamAttemptPanicked       = "upstream attempt panicked"
	UpstreamAttemptNotConnected   = "upstream attempt has no connection"
	UpstreamRequestRetried        = "upstream call retried"
	UpstreamResponseUnusable      = "upstream response unusable"
	UpstreamCancelAnswered        = "upstream cancel answered"
)

// Events of client connections.
const (
	ClientConnectionClosed   = "client connection closed"
	ClientConnectionPanicked = "client connection panicked"
	ClientAcceptFailed       = "client connection not accepted"
	SlowClientDisconnected   = "slow client disconnected"
)

// Events of the control feed, from which the router receives the endpoint list.
const (
	EndpointListChanged       = "endpoint list changed"
	ControlFeedAddressChanged = "control feed address changed"
	ControlFeedLost           = "control feed connection lost"
	ControlFeedSlow           = "control feed has not responded yet"
	ControlFeedEventSkipped   = "control feed event skipped"
)

// Events of the control group, from which the router receives the configuration versions.
const (
	ActiveRulesChanged   = "active rules changed"
	ControlClientMessage = "control client message"
	LeaseRenewalFailed   = "lease renewal failed"
	VersionStreamEnded   = "configuration version stream ended"
)

// Events of the decision module and of the run-time checks of invariants.
const (
	DecisionModulePanicked = "decision module panicked"
	DecisionModuleMessage  = "decision module message"
	DecisionModuleFailed   = "decision module failed"
	ActionUnsupported      = "decision action unsupported"
	InvariantViolated      = "invariant violated"
)
