package faultlab

import "slices"

// FaultKind is a kind of fault. Scenarios and histories store its value.
type FaultKind string

// Kinds of faults. The faults of links are in engineLinkFaults and groupLinkFaults.
const (
	faultResetLinks        FaultKind = "reset"
	faultRefuseConnections FaultKind = "deaf"
	faultBlockFeed         FaultKind = "feed"
	faultKillRouters       FaultKind = "kill"
	faultStopRouters       FaultKind = "stop"
	faultTerminateRouters  FaultKind = "term"
	faultReloadRouters     FaultKind = "reload"
	faultRetireRouters     FaultKind = "retire"
	faultIdleClients       FaultKind = "crowd"
	faultReplaceEngines    FaultKind = "replace"
	faultLoseEngines       FaultKind = "lose"
	faultSlowEngines       FaultKind = "crawl"
	faultFailingEngines    FaultKind = "err"
	faultSurge             FaultKind = "rush"
	faultResetGroupLinks   FaultKind = "group-reset"
	faultPartitionMembers  FaultKind = "apart"
	faultKillMembers       FaultKind = "member-kill"
	faultStopMembers       FaultKind = "member-stop"
	faultLoseMembers       FaultKind = "member-lose"
	faultStepClock         FaultKind = "clock"
	faultFailAccept        FaultKind = "accept-fails"
	faultFailConnect       FaultKind = "connect-fails"
	faultFailSocket        FaultKind = "socket-fails"
)

// faultSpec defines which fields of a Fault a kind of fault requires, and describes the fault.
type faultSpec struct {
	routers   bool
	engines   bool
	members   bool
	amount    bool
	signed    bool    // the amount may be negative
	maxAmount float64 // 0: defaultMaxAmount
	duration  bool    // Fault.For must be set
	help      string
}

const defaultMaxAmount = 100

var faultKinds = map[FaultKind]faultSpec{
	"cut":                  {routers: true, engines: true, duration: true, help: "links between routers and engines are blocked in both directions"},
	"cut-there":            {routers: true, engines: true, duration: true, help: "links between routers and engines are blocked from router to engine"},
	"cut-back":             {routers: true, engines: true, duration: true, help: "links between routers and engines are blocked from engine to router"},
	"delay":                {routers: true, engines: true, amount: true, duration: true, help: "answers of engines to routers are delayed by the amount in seconds"},
	"slow":                 {routers: true, engines: true, duration: true, help: "answers of engines to routers are throttled to one byte per 20 ms"},
	faultResetLinks:        {routers: true, engines: true, help: "all connections from routers to engines are reset"},
	faultRefuseConnections: {engines: true, duration: true, help: "engines refuse new connections and keep running"},
	faultBlockFeed:         {routers: true, duration: true, help: "the control feeds of routers are blocked"},
	faultKillRouters:       {routers: true, duration: true, help: "routers are killed, and restarted after the duration"},
	faultStopRouters:       {routers: true, duration: true, help: "routers are suspended (SIGSTOP), and resumed after the duration"},
	faultTerminateRouters:  {routers: true, duration: true, help: "routers are terminated (SIGTERM), and restarted after the duration"},
	faultReplaceEngines:    {engines: true, duration: true, help: "engines drain; after the duration they are removed and cold engines replace them"},
	faultLoseEngines:       {engines: true, duration: true, help: "engines stop immediately; after the duration cold engines with new ids replace them"},
	faultSlowEngines:       {engines: true, amount: true, duration: true, help: "engines take longer by the amount as a factor"},
	faultFailingEngines:    {engines: true, duration: true, help: "all statements that start on engines end with an error"},
	"group-cut":            {routers: true, members: true, duration: true, help: "links between routers and members of the control group are blocked in both directions"},
	"group-cut-there":      {routers: true, members: true, duration: true, help: "links between routers and members of the control group are blocked from router to member"},
	"group-cut-back":       {routers: true, members: true, duration: true, help: "links between routers and members of the control group are blocked from member to router"},
	"group-delay":          {routers: true, members: true, amount: true, duration: true, help: "replies of members of the control group to routers are delayed by the amount in seconds"},
	faultResetGroupLinks:   {routers: true, members: true, help: "all connections from routers to members of the control group are reset"},
	faultPartitionMembers:  {members: true, duration: true, help: "members of the control group are partitioned from the others"},
	faultKillMembers:       {members: true, duration: true, help: "members of the control group are killed, and restarted after the duration"},
	faultStopMembers:       {members: true, duration: true, help: "members of the control group are suspended (SIGSTOP), and resumed after the duration"},
	faultLoseMembers:       {members: true, help: "members of the control group are killed and never restarted"},
	faultSurge:             {amount: true, duration: true, help: "traffic is multiplied by the amount, at most by 3"},
	faultStepClock:         {routers: true, amount: true, signed: true, maxAmount: 7200, help: "the wall clock of routers' hosts steps by the amount in seconds, and back after the duration, if one is set"},
	faultFailAccept:        {routers: true, amount: true, duration: true, help: "one in amount of the routers' calls to accept fails: ECONNABORTED, EMFILE, ENFILE or ENOBUFS"},
	faultFailConnect:       {routers: true, amount: true, duration: true, help: "one in amount of the routers' calls to connect fails: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH or ETIMEDOUT"},
	faultFailSocket:        {routers: true, amount: true, duration: true, help: "one in amount of the routers' calls to socket fails: EMFILE, ENFILE or ENOBUFS"},
	faultRetireRouters:     {routers: true, amount: true, help: "routers receive as many signals as the amount, SIGTERM first, are killed as soon as the protocol allows, and are restarted immediately"},
	faultIdleClients:       {routers: true, amount: true, maxAmount: 1000, duration: true, help: "as many idle clients as the amount keep connections to each router"},
	faultReloadRouters:     {routers: true, help: "routers reload their configuration (SIGHUP)"},
}

// FaultKinds returns one line for each kind of fault with its name and description, sorted by name.
func FaultKinds() (lines []string) {
	for kind, spec := range faultKinds {
		lines = append(lines, string(kind)+": "+spec.help)
	}
	slices.Sort(lines)
	return lines
}
