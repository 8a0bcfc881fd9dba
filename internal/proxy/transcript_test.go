package proxy_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

var update = flag.Bool("update", false, "rewrite the transcripts in testdata")

// field is a name and a value in a statement frame.
type field struct{ name, value string }

// statement returns a statement frame. Each change replaces the value of a field, adds a field, or removes one (value "-").
func statement(stream uint32, workload string, changes ...field) []byte {
	fields := []field{{"c", workload}, {"i", fmt.Sprintf("%016x", 0xabc0+stream)}, {"d", "9000"}, {"t", "acme"}, {"h", "5.5"}, {"heap_mb", "8"}}
	for _, change := range changes {
		at := slices.IndexFunc(fields, func(f field) bool { return f.name == change.name })
		switch {
		case at < 0:
			fields = append(fields, change)
		case change.value == "-":
			fields = slices.Delete(fields, at, at+1)
		default:
			fields[at] = change
		}
	}
	return fakes.Frame(frameStatement, stream, encode(fields, fmt.Sprintf("select a from sales_1.b where id = %d", stream)))
}

func encode(fields []field, text string) string {
	payload := []byte{byte(len(fields))}
	for _, f := range fields {
		payload = append(append(payload, byte(len(f.name))), f.name...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(f.value))), f.value...)
	}
	return string(payload) + text
}

const (
	oneRow    = "a\tb\n"
	onePage   = "X-Batches: 1"
	report    = "X-Gauges: inflight:1;util:0.1"
	notRun    = "X-Unrun: 1"
	halfDone  = "X-How: done"
	halfValue = "X-Num: 0.5"
)

var (
	accepted = reply(202, "", halfDone, halfValue)
	complete = reply(200, oneRow, onePage, report)
)

// recordedSettings have one tenant and the workloads lookup (idempotent) and load (at most once).
const recordedSettings = `{"bounds":{"mayCancel":true,"mayProbe":false,"maxAttempts":5,"maxOpen":1000,"connectTimeout":2000000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5},
		{"name":"load","idempotency":"at_most_once","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5}],
	"discovery":"pushed","extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2],"waitsForLoads":[false,false],
		"writesTables":[false,true],"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},"guarantees":{"drainGrace":1000000},
	"machineTypes":["k"],"orgs":[{"name":"acme","quotaPerS":1000}],"tick":1000,"zone":"z"}`

// invalidFrames returns frames of every kind that the router rejects, each on its own stream except the last two.
func invalidFrames() (frames [][]byte) {
	stream := uint32(1)
	add := func(frame func(stream uint32) []byte) {
		frames = append(frames, frame(stream))
		stream++
	}
	for _, change := range []field{
		{"c", "odd"}, {"c", "-"}, {"t", "odd"}, {"t", "-"}, {"i", "-"}, {"i", "123"}, {"i", "0123456789abcd\r\n"}, {"d", "-"}, {"d", "0"}, {"d", "-1"},
		{"d", "Inf"}, {"d", "x"}, {"d", "86400001"}, {"h", "-1"}, {"h", "0"}, {"h", "x"}, {"h", "1e9"}, {"heap_mb", "NaN"}, {"heap_mb", ""},
		{"heap_mb", "128001"}, {"r", "maybe"}, {"r", "0"},
	} {
		add(func(stream uint32) []byte { return statement(stream, "lookup", change) })
	}
	fields := []field{{"c", "lookup"}, {"i", "00000000000000aa"}, {"d", "9000"}, {"t", "acme"}}
	for _, text := range []string{"", " \n", "\xff", "a\x00b"} {
		add(func(stream uint32) []byte { return fakes.Frame(frameStatement, stream, encode(fields, text)) })
	}
	for _, payload := range []string{"", "\x01", "\x01\x01c\x00\x09x", "\x02\x01c\x00\x01x\x01c\x00\x01y"} {
		add(func(stream uint32) []byte { return fakes.Frame(frameStatement, stream, payload) })
	}
	for _, kind := range []byte{0, 2, 3, 8, 77} {
		add(func(stream uint32) []byte { return fakes.Frame(kind, stream, "x") })
	}
	return append(frames, statement(0, "lookup"), statement(1, "lookup")) // invalid and reused streams
}

// exchanges are complete exchanges. Each returns the peers whose transcripts are compared, in order.
var exchanges = map[string]func(t *testing.T) []fmt.Stringer{
	"served": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete, reply(200, oneRow+oneRow, onePage), reply(200, "", onePage)}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "lookup"))
		c.exchange(statement(2, "load", field{"h", "-"}, field{"heap_mb", "-"}))
		c.exchange(statement(3, "lookup", field{"r", "1"}))
		c.exchange(fakes.Frame(frameReadyQuery, 0, "\x00"))
		return []fmt.Stringer{c, engine}
	},
	"served in pages after a wait": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted}, "GET 0": {reply(200, oneRow, "X-Batches: 3", report)},
			"GET 1": {reply(200, oneRow, "X-Batch: 1")}, "GET 2": {reply(200, "c\td\n", "X-Batch: 2")}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "load"))
		return []fmt.Stringer{c, engine}
	},
	"attempted again": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {reply(500, ""), complete, reply(503, "", notRun), complete}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "lookup"))
		c.exchange(statement(2, "load"))
		return []fmt.Stringer{c, engine}
	},
	"failed": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {reply(500, ""), accepted, reply(200, oneRow, "X-Batches: 2")}, "GET 0": {reply(500, "")},
			"GET 1": {reply(500, "")}, "DELETE": {reply(204, "")}})
		c, _ := startWithEngine(t, engine)
		for stream := range uint32(3) {
			c.exchange(statement(stream+1, "load"))
		}
		return []fmt.Stringer{c, engine}
	},
	"invalid requests": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete}})
		c, _ := startWithEngine(t, engine)
		for _, frame := range invalidFrames() {
			c.exchange(frame)
		}
		c.exchange(statement(100, "lookup"))
		c.exchange(statement(101, "lookup", field{"i", fmt.Sprintf("%016x", 0xabc0+100)})) // the id of an answered request
		c.exchange(statement(100, "lookup"))                                               // a reused stream
		c.exchange(fakes.Frame(frameReadyQuery, 7, "\x00"))
		return []fmt.Stringer{c, engine}
	},
	"framing lost": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete}})
		short, r := startWithEngine(t, engine)
		short.exchange([]byte{0, 0, 0, 4, 7, 0, 0, 0})
		short.receiveEnd()
		long := connect(t, r)
		long.exchange([]byte{0xff, 0, 0, 0, 7})
		long.receiveEnd()
		return []fmt.Stringer{short, long, engine}
	},
	"cancelled by a frame": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted, complete}, "GET 0": {hang}, "DELETE": {reply(204, "")}})
		c, _ := startWithEngine(t, engine)
		c.send(statement(1, "load"))
		engine.await(t, "GET")
		c.send(fakes.Frame(frameCancel, 1, ""))
		engine.await(t, "DELETE")
		c.exchange(statement(2, "lookup"))
		return []fmt.Stringer{c, engine}
	},
	"expired": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted}, "GET 0": {hang}, "DELETE": {reply(204, "")}})
		c, _ := startWithEngine(t, engine)
		c.exchange(statement(1, "load", field{"d", "1500"}))
		engine.await(t, "DELETE")
		return []fmt.Stringer{c, engine}
	},
	"no engine and then one by the control feed": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {complete}})
		feed, events := newFeedPeer(t)
		c := connect(t, startRouter(t, feed.address(), recordedSettings))
		c.exchange(fakes.Frame(frameReadyQuery, 0, "\x00"))
		c.exchange(statement(1, "lookup", field{"d", "300"})) // rejected, since nothing ran
		c.send(statement(2, "lookup"))
		events <- fmt.Sprintf("id: 2\ndata: {\"n\":2,\"members\":{\"members\":[%s]}}\n\n", fakes.Member("e", engine.address(), "active"))
		c.receive()
		return []fmt.Stringer{c, feed, engine}
	},
	"graceful shutdown": func(t *testing.T) []fmt.Stringer {
		engine := newEnginePeer(t, map[string][]string{"POST": {accepted, complete}, "GET 0": {hang}, "DELETE": {reply(204, "")}})
		c, r := startWithEngine(t, engine)
		c.send(statement(1, "load"))
		engine.await(t, "GET")
		r.stop()
		c.receive()
		late := connect(t, r)
		late.receive()
		late.exchange(fakes.Frame(frameReadyQuery, 0, "\x00"))
		late.exchange(statement(1, "odd"))
		late.exchange(statement(2, "lookup"))
		c.receive() // the shutdown's time is up
		<-r.ended
		c.receiveEnd()
		late.receiveEnd()
		return []fmt.Stringer{c, late, engine}
	},
}

// startWithEngine starts a router that knows one engine and is ready.
func startWithEngine(t *testing.T, engine *httpPeer) (*clientPeer, *routerUnderTest) {
	t.Helper()
	feed, _ := newFeedPeer(t)
	r := startRouter(t, feed.address(), recordedSettings, fakes.Member("e", engine.address(), "active"))
	return awaitReady(t, r), r
}

// The bytes that clients and engines exchange with the router match the recorded transcripts, except for addresses and time limits.
func TestTranscripts(t *testing.T) {
	for name, exchange := range exchanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got strings.Builder
			for _, peer := range exchange(t) {
				fmt.Fprintf(&got, "%s\n", peer)
			}
			path := filepath.Join("testdata", "transcripts", strings.ReplaceAll(name, " ", "_")+".txt")
			if *update {
				require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
				require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o644))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, string(want), got.String())
		})
	}
}
