package main

// Source files that the edits of leaseMutants change.
const (
	clientRenewals      = "internal/lease/client_renewal.go"
	clientVersions      = "internal/lease/client_versions.go"
	clientCore          = "internal/lease/client.go"
	coordinatorCore     = "internal/lease/coordinator.go"
	coordinatorRenewals = "internal/lease/coordinator_renewal.go"
	coordinatorQueue    = "internal/lease/coordinator_proposals.go"
	leaseDurations      = "internal/lease/durations.go"
	versionRegister     = "internal/configregister/register.go"
	replicaCore         = "internal/replica/replica.go"
	replicaLog          = "internal/replica/log.go"
)

// leaseMutants lists the guards of the control group's and the lease client's state machines; each mutant lacks one of them.
var leaseMutants = []struct {
	name  string
	edits []edit
}{
	{
		name: "a term is counted from when its answer comes",
		edits: []edit{
			{
				file: clientRenewals,
				old:  "	if !remembered {\n",
				new:  "	sentAt = now\n	if !remembered {\n",
			},
		},
	},
	{
		name: "a router's clock is trusted",
		edits: []edit{
			{
				file: leaseDurations,
				old:  "return time.Duration(float64(d.LeaseDuration) * (1 - d.MaxClockDrift))",
				new:  "return time.Duration(float64(d.LeaseDuration) * (1 + d.MaxClockDrift))",
			},
		},
	},
	{
		name: "the group takes terms to be shorter",
		edits: []edit{
			{
				file: leaseDurations,
				old:  "return time.Duration(float64(d.LeaseDuration) * (1 + d.MaxClockDrift))",
				new:  "return d.LeaseDuration / 2",
			},
		},
	},
	{
		name: "the group counts a term from long before",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "max(session.Expiry, r.receivedAt+c.durations.CoordinatorLease())",
				new:  "max(session.Expiry, r.receivedAt+c.durations.CoordinatorLease()-c.durations.LeaseDuration/2)",
			},
		},
	},
	{
		name: "what loosens takes force on arrival",
		edits: []edit{
			{
				file: clientVersions,
				old:  "	if c.activated != nil {\n		restrict(c.activated.Rules)",
				new:  "	if c.activated != nil && c.pending == nil {\n		restrict(c.activated.Rules)",
			},
		},
	},
	{
		name: "a version is settled while terms run that do not know it",
		edits: []edit{
			{
				file: coordinatorCore,
				old:  "		if s.leased(now) && s.KnownVersion < c.newest {\n			return nil\n		}\n	}\n	c.proposedActivation",
				new:  "	}\n	c.proposedActivation",
			},
			{
				file: coordinatorCore,
				old:  "	for _, s := range c.sessions {\n	}\n	c.proposedActivation",
				new:  "	c.proposedActivation",
			},
		},
	},
	{
		name: "a new leader does not wait",
		edits: []edit{
			{
				file: coordinatorCore,
				old:  "now + c.durations.CoordinatorLease(),",
				new:  "now,",
			},
		},
	},
	{
		name: "a term is granted without proof that the process leads",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "	return []CoordinatorAction{ConfirmLeadership{c.confirmationToken}}",
				new:  "	return c.receiveConfirmation(now, c.confirmationToken)",
			},
		},
	},
	{
		name: "a term is granted to who does not know the newest version",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "	if renewal.KnownVersion == 0 || renewal.KnownVersion < c.newest {\n",
				new:  "	if renewal.KnownVersion > 0 {\n		reply.Newest = renewal.KnownVersion\n	} else {\n",
			},
		},
	},
	{
		name: "the term is not looked at after a pause",
		edits: []edit{
			{
				file: clientCore,
				old:  "if c.leaseExpiry == 0 || now < c.leaseExpiry {",
				new:  "if c.leaseExpiry == 0 || now < c.leaseExpiry+time.Second {",
			},
		},
	},
	{
		name: "nothing is saved before it is acknowledged",
		edits: []edit{
			{
				file: replicaLog,
				old:  "	if effects.MustSync {\n",
				new:  "	if effects.MustSync && effects.Snapshot != nil {\n",
			},
		},
	},
	{
		name: "a vote is not kept",
		edits: []edit{
			{
				file: "internal/consensus/effects.go",
				old:  "			HardState: n.ready.HardState,\n",
				new:  "",
			},
		},
	},
	{
		name: "a version is written before the one before it is in force",
		edits: []edit{
			{
				file: versionRegister,
				old:  "if r.NewestNumber() > r.Activated {",
				new:  "if false {",
			},
			{
				file: coordinatorQueue,
				old:  "len(c.appendedProposals) > 0 || c.newest > c.activated || c.lineage",
				new:  "len(c.appendedProposals) > 0 || c.lineage",
			},
		},
	},
	{
		name: "a version is taken though the one before it is missing",
		edits: []edit{
			{
				file: clientVersions,
				old:  "	case v.Number > newest.Number+1 && v.Number > activated:\n",
				new:  "	case false:\n",
			},
		},
	},
	{
		name: "terms are kept by name, not by process",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "c.session(renewal.Incarnation)",
				new:  "c.session(renewal.Name)",
			},
		},
	},
	{
		name: "a proposal that comes twice counts twice",
		edits: []edit{
			{
				file: versionRegister,
				old:  "return entry.ID != \"\" && o.ID == entry.ID",
				new:  "return false && o.ID == entry.ID",
			},
		},
	},
	{
		name: "a version is told of before it is synced",
		edits: []edit{
			{
				file: replicaCore,
				old:  "	return publishLast(actions)\n",
				new:  "	return actions\n",
			},
		},
	},
	{
		name: "any proof that the process led will do",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "	if token != c.confirmationToken {\n",
				new:  "	if token > c.confirmationToken {\n",
			},
			{
				file: coordinatorRenewals,
				old:  "	if len(c.confirming) > 0 && now < c.confirmationSentAt+c.durations.ReplyTimeout {\n",
				new:  "	if false {\n",
			},
		},
	},
}
