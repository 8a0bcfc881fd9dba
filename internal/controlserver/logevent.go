package controlserver

// Messages of the log lines of bankledge-control, which log consumers match.
const (
	eventServing               = "serving"
	eventStopped               = "stopped"
	eventReplicaRoleChanged    = "replica role changed"
	eventMembershipChanged     = "group membership changed"
	eventVersionCommitted      = "configuration version committed"
	eventVersionActivated      = "configuration version activated"
	eventStorageFailed         = "storage failed, this process serves no more"
	eventReplicatedLogPanicked = "replicated log panicked, this process serves no more"
)
