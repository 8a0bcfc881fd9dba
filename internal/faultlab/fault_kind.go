package faultlab

import "slices"

// FaultKind names a kind of fault, as schedules and histories have it.
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

// faultSpec says which fields a kind of fault needs, and what it does.
type faultSpec struct {
	routers   bool
	engines   bool
	members   bool
	amount    bool
	signed    bool    // the amount may be negative
	maxAmount float64 // 0: defaultMaxAmount
	lasting   bool    // it needs a duration
	help      string
}

const defaultMaxAmount = 100

var faultKinds = map[FaultKind]faultSpec{
	"cut":                  {routers: true, engines: true, lasting: true, help: "links of routers to engines pass nothing, both ways"},
	"cut-there":            {routers: true, engines: true, lasting: true, help: "the same from routers to engines only"},
	"cut-back":             {routers: true, engines: true, lasting: true, help: "the same from engines to routers only"},
	"delay":                {routers: true, engines: true, amount: true, lasting: true, help: "answers of engines to routers come so many seconds late"},
	"slow":                 {routers: true, engines: true, lasting: true, help: "answers of engines come a byte a tick"},
	faultResetLinks:        {routers: true, engines: true, help: "all connections of routers to engines are reset"},
	faultRefuseConnections: {engines: true, lasting: true, help: "engines refuse new connections and run on"},
	faultBlockFeed:         {routers: true, lasting: true, help: "the control feed passes nothing"},
	faultKillRouters:       {routers: true, lasting: true, help: "routers are killed, and started again after the time"},
	faultStopRouters:       {routers: true, lasting: true, help: "routers are stopped, and woken after the time"},
	faultTerminateRouters:  {routers: true, lasting: true, help: "routers end by SIGTERM, and are started again after the time"},
	faultReplaceEngines:    {engines: true, lasting: true, help: "engines drain, leave after the time, and new cold ones take their place"},
	faultLoseEngines:       {engines: true, lasting: true, help: "engines die, and come back cold under new ids after the time"},
	faultSlowEngines:       {engines: true, amount: true, lasting: true, help: "engines take so many times as long"},
	faultFailingEngines:    {engines: true, lasting: true, help: "engines end all with an error"},
	"group-cut":            {routers: true, members: true, lasting: true, help: "links of routers to processes of the control group pass nothing, both ways"},
	"group-cut-there":      {routers: true, members: true, lasting: true, help: "the same from routers to the group only"},
	"group-cut-back":       {routers: true, members: true, lasting: true, help: "the same from the group to routers only"},
	"group-delay":          {routers: true, members: true, amount: true, lasting: true, help: "what the group says to routers comes so many seconds late"},
	faultResetGroupLinks:   {routers: true, members: true, help: "all connections of routers to the group are reset"},
	faultPartitionMembers:  {members: true, lasting: true, help: "processes of the group are cut off from the others"},
	faultKillMembers:       {members: true, lasting: true, help: "processes of the group are killed, and started again after the time"},
	faultStopMembers:       {members: true, lasting: true, help: "processes of the group are stopped, and woken after the time"},
	faultLoseMembers:       {members: true, help: "processes of the group are killed, and never come back"},
	faultSurge:             {amount: true, lasting: true, help: "so many times the traffic"},
	faultStepClock:         {routers: true, amount: true, signed: true, maxAmount: 7200, help: "the wall clock of routers' hosts steps by so many seconds, and back after the time, if there is one"},
	faultFailAccept:        {routers: true, amount: true, lasting: true, help: "one in so many of routers' calls to accept fails: ECONNABORTED, EMFILE, ENFILE or ENOBUFS"},
	faultFailConnect:       {routers: true, amount: true, lasting: true, help: "one in so many of routers' calls to connect fails: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH or ETIMEDOUT"},
	faultFailSocket:        {routers: true, amount: true, lasting: true, help: "one in so many of routers' calls to socket fails: EMFILE, ENFILE or ENOBUFS"},
	faultRetireRouters:     {routers: true, amount: true, help: "routers end by a series of so many signals, SIGTERM first, are killed as soon as the protocol allows, and started again at once"},
	faultIdleClients:       {routers: true, amount: true, maxAmount: 1000, lasting: true, help: "so many idle clients rest on connections of each router"},
	faultReloadRouters:     {routers: true, help: "routers read their configuration again (SIGHUP)"},
}

// FaultKinds lists the kinds of faults and what they do, a line each, in order.
func FaultKinds() (lines []string) {
	for kind, spec := range faultKinds {
		lines = append(lines, string(kind)+": "+spec.help)
	}
	slices.Sort(lines)
	return lines
}
