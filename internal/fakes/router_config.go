package fakes

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Settings are the settings of a router for engines with eight cores, with the workloads lookup, report and price-load of the mix.
const Settings = `{"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":20000,"connectTimeout":250000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":800000,"aimStretch":2,"deadline":4000000,"gain":1},
		{"name":"report","idempotency":"idempotent","objective":3000000,"aimStretch":2.5,"deadline":15000000,"gain":7.5,"lateShare":0.3},
		{"name":"price-load","idempotency":"at_most_once","objective":3000000,"aimStretch":2.5,"deadline":25000000,"gain":10,"lateShare":0.6}],
	"discovery":"pushed","extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2,2],"waitsForLoads":[true,false,false],
		"writesTables":[false,false,true],"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},"guarantees":{"drainGrace":1000000},
	"machineTypes":["k"],"tick":1000,"zone":"z"}`

// Config returns the configuration of a router. It lists the members in the first event of the control feed, which the router knows from
// the start. memoryMB and sockets are the limits of the router's process.
func Config(feed, settings string, memoryMB, sockets int, members ...string) []byte {
	quotedFeed, _ := json.Marshal(feed) // encoding a string cannot fail
	return fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","feed":%s,
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[%s]}}]},
		"settings":%s}`, quotedFeed, memoryMB, sockets, strings.Join(members, ","), settings)
}
