package faultlab

import (
	"fmt"
	"time"

	"bankledge/internal/fakes"
)

// workload is one kind of statement that the clients send.
type workload struct {
	name             string
	share            float64 // of all statements
	meanWork         float64 // seconds on one thread
	threads          int
	priorityWeight   float64
	latencyObjective time.Duration
	timeout          time.Duration // of the client
	nonIdempotent    bool
}

// workloads are those of fakes.Settings. Durations are shorter than in a real fleet, so that a run takes seconds.
var workloads = []workload{
	{name: "lookup", share: 0.80, meanWork: 0.02, threads: 1, priorityWeight: 1, latencyObjective: 800 * time.Millisecond, timeout: 2 * time.Second},
	{name: "report", share: 0.15, meanWork: 0.25, threads: 2, priorityWeight: 7.5, latencyObjective: 1600 * time.Millisecond, timeout: 4 * time.Second},
	{name: "price-load", share: 0.05, meanWork: 0.3, threads: 2, priorityWeight: 10, latencyObjective: 2 * time.Second, timeout: 5 * time.Second, nonIdempotent: true},
}

// workloadNamed returns the workload with a name, or nil if there is none.
func workloadNamed(name string) *workload {
	for i := range workloads {
		if workloads[i].name == name {
			return &workloads[i]
		}
	}
	return nil
}

// Limits of the processes and the machines of the fleet.
const (
	engineCores    = 4.0
	routerMemoryMB = 192
	routerSockets  = 1024
)

// engineSlowStart is the slow start of engines that join during a run. The routers' settings and the proposed rules use the same values.
var engineSlowStart = fakes.SlowStart{InitialShare: 0.31, MaxLoadFactor: 4, WarmUpTime: 5 * time.Second, Window: time.Second}

// fleetSettings returns the settings of one router as JSON. The rules are those of the users' fleet, with durations a third as long.
func fleetSettings(s *Scenario, router int) string {
	routers := s.ConfiguredRouters
	if routers == 0 {
		routers = s.Routers
	}
	values := []any{}
	for _, w := range workloads {
		values = append(values, s.scaledTimeout(w.latencyObjective).Microseconds(), s.scaledTimeout(w.timeout).Microseconds())
	}
	values = append(values, engineCores, engineSlowStart.InitialShare, engineSlowStart.WarmUpTime.Microseconds(),
		engineSlowStart.MaxLoadFactor, engineSlowStart.Window.Microseconds(), router, routers)
	return fmt.Sprintf(`{"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":5000,"connectTimeout":250000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":%d,"aimStretch":2,"deadline":%d,"gain":1},
		{"name":"report","idempotency":"idempotent","objective":%d,"aimStretch":2,"deadline":%d,"gain":7.5,"lateShare":0.3},
		{"name":"price-load","idempotency":"at_most_once","objective":%d,"aimStretch":2,"deadline":%d,"gain":10,"lateShare":0.6}],
	"discovery":"pushed","extra":{"cpuOfKind":[%v],"ramOfKindMb":[32000],"threadsByClass":[1,2,2],"waitsForLoads":[false,false,false],
		"writesTables":[false,false,false],"tellsEvery":300000,"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},
	"guarantees":{"drainGrace":1000000,"coldShare":%v,"warmAfter":%d,"overloadFactor":%v,"fall":%d},
	"machineTypes":["k"],"tick":1000,"zone":"z","me":%d,"replicasOfMe":%d}`, values...)
}
