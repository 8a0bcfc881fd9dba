package controlserver

// The events in the log of bankledge-control.
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
