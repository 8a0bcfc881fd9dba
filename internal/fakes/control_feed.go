package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// ControlFeed is a control feed.
type ControlFeed struct {
	Server       *httptest.Server
	Events       chan string // to be told, as they are; "" ends the connection
	LastEventIDs chan string // Last-Event-ID of each connection
	ended        chan struct{}
}

// NewControlFeed starts one; it tells nothing but a comment each second until it is given events. Close ends it.
func NewControlFeed() *ControlFeed {
	f := &ControlFeed{Events: make(chan string, 10), LastEventIDs: make(chan string, 100), ended: make(chan struct{})}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.LastEventIDs <- r.Header.Get("Last-Event-ID")
		for {
			event := ":\n"
			select {
			case event = <-f.Events:
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			case <-f.ended:
				return
			}
			if event == "" {
				return
			}
			io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
	}))
	return f
}

// Close ends the feed and its connections, also one that a router makes anew meanwhile.
func (f *ControlFeed) Close() {
	close(f.ended)
	f.Server.CloseClientConnections()
	f.Server.Close()
}

// Member is an engine as the control feed's events tell of it.
func Member(id, address, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","phase":%q,"size":8}`, id, address, phase)
}

// Settings are a router's for engines of eight cores, with the workloads lookup, report and price-load of the mix.
const Settings = `{"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":20000,"connectTimeout":250000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":800000,"aimStretch":2,"deadline":4000000,"gain":1},
		{"name":"report","idempotency":"idempotent","objective":3000000,"aimStretch":2.5,"deadline":15000000,"gain":7.5,"lateShare":0.3},
		{"name":"price-load","idempotency":"at_most_once","objective":3000000,"aimStretch":2.5,"deadline":25000000,"gain":10,"lateShare":0.6}],
	"discovery":"pushed","extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2,2],"waitsForLoads":[true,false,false],
		"writesTables":[false,false,true],"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},"guarantees":{"drainGrace":1000000},
	"machineTypes":["k"],"tick":1000,"zone":"z"}`

// Config is a router's configuration.
func Config(feed, settings string, memoryMB, sockets int, members ...string) []byte {
	quoted, _ := json.Marshal(feed)
	return fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","feed":%s,
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[%s]}}]},
		"settings":%s}`, quoted, memoryMB, sockets, strings.Join(members, ","), settings)
}
