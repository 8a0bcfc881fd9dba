package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
)

const member = `{"id":"e1","host_port":"127.0.0.1:9","locality":"z","flavor":"k","cell":2,"phase":"active","size":4}`

func event(id, n string) string {
	return "id: " + id + "\ndata: {\"n\":" + n + ",\"members\":{\"members\":[" + member + "]}}\n\n"
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name, in string
		tries    int // times that the same is read, as on a new connection
		took     []int64
		last     int64
		err      string
	}{
		{"in order", event("5", "5") + event("6", "6"), 1, []int64{5, 6}, 6, "EOF"},
		{"comments and other fields", ": hi\nretry: 5\n\n" + event("5", "5") + ":\n", 1, []int64{5}, 5, "EOF"},
		{"data on several lines, CR LF", "id:5\r\ndata: {\"n\":5,\r\ndata:\"members\":{\"members\":[]}}\r\n\r\n", 1, []int64{5}, 5, "EOF"},
		{"lines that end in CR", "id: 5\rdata: {\"n\":5,\"members\":{}}\r\r" + event("6", "6"), 1, []int64{5, 6}, 6, "EOF"},
		{"repeats", event("3", "3") + event("4", "4") + event("5", "5"), 1, []int64{5}, 5, "EOF"},
		{"the number in the data stands in for the id", "data: {\"n\":5,\"members\":{}}\n\n", 1, []int64{5}, 5, "EOF"},
		{"a gap is asked for again", event("7", "7"), 1, nil, 4, "asking for what is between"},
		{"a gap that stays is taken", event("7", "7"), 2, []int64{7}, 7, "EOF"},
		{"an event that holds no list counts", "id: 5\ndata: {\"n\":5,\"purge\":{}}\n\n", 1, nil, 5, "EOF"},
		{"an event not ended is none", strings.TrimSuffix(event("5", "5"), "\n"), 1, nil, 4, "EOF"},
		{"garbage is asked for again", "id: 5\ndata: {\n\n", 2, nil, 4, "unexpected end"},
		{"garbage that stays is passed over", "id: 5\ndata: {\n\n" + event("6", "6"), 3, []int64{6}, 6, "EOF"},
		{"too large", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", 1, nil, 4, "too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var took []int64
			f := &Client{LastEventID: 4, Log: zap.NewNop(), OnEvent: func(c WatchEvent) { took = append(took, c.Number) }}
			var err error
			for range c.tries {
				err = f.readEvents(iotest.HalfReader(strings.NewReader(c.in)))
			}
			require.ErrorContains(t, err, c.err)
			assert.Equal(t, c.took, took)
			assert.Equal(t, c.last, f.LastEventID)
		})
	}
}

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, from, to string // replaced in the member
		upSince        int64
		state          decision.EngineState
		err            string
	}{
		{"as it is", "", "", 0, decision.Ready, ""},
		{"started late", `"size":4`, `"up_since_ms":1090000`, 1090000, decision.Ready, ""},
		{"drains", "active", "leaving", 0, decision.Draining, ""},
		{"gone, address and all", `"127.0.0.1:9","locality":"z","flavor":"k","cell":2,"phase":"active"`, `"","phase":"left"`, 0, decision.Removed, ""},
		{"an unknown state", "active", "asleep", 0, 0, "unknown word"},
		{"no id", "e1", "", 0, 0, "without an id"},
		{"no address", "127.0.0.1:9", "nowhere", 0, 0, "host_port"},
		{"an ill-typed field", `"cell":2`, `"cell":"x"`, 0, 0, "cell"},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw := `{"n":3,"members":{"revision":9,"complete":true,"members":[` + strings.Replace(member, c.from, c.to, 1) + `]}}`
			got, ok, err := ParseEvent([]byte(raw))
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			require.True(t, ok && got.Complete && got.Number == 3 && got.Revision == 9 && len(got.Endpoints) == 1)
			assert.Equal(t, c.upSince, got.Endpoints[0].startedUnixMillis)
			assert.Equal(t, c.state, got.Endpoints[0].State)
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add(event("5", "5"))
	f.Add("\ufeffid: 1\r\rdata\n\n:x\n")
	f.Fuzz(func(t *testing.T, in string) {
		feed := &Client{Log: zap.NewNop(), OnEvent: func(WatchEvent) {}}
		if err := feed.readEvents(strings.NewReader(in)); err == nil {
			t.Fatal("a stream that ends without an error", io.EOF)
		}
	})
}

// A feed that moves goes on at once from the number last taken, from a place that is lost or silent as well; events
// known from elsewhere are taken as far as they follow on. Of several moves the last counts.
func TestMove(t *testing.T) {
	lost, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lost.Close() // nobody listens there
	heard := make(chan string, 10)
	place := func(name string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() { // says nothing ever
					defer c.Close()
					lines := bufio.NewScanner(c)
					for lines.Scan() {
						if id, ok := strings.CutPrefix(lines.Text(), "Last-Event-ID: "); ok {
							heard <- name + " " + id
						}
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	whole := func(n string) json.RawMessage { return json.RawMessage(`{"n":` + n + `,"members":{"complete":true}}`) }
	part := func(n string) json.RawMessage { return json.RawMessage(`{"n":` + n + `,"members":{}}`) }
	for _, c := range []struct {
		name  string
		from  string
		known []json.RawMessage
		last  string
	}{
		{"from one that is lost", lost.Addr().String(), nil, "3"},
		{"from one that is silent", place("silent"), nil, "3"},
		{"with events already taken", lost.Addr().String(), []json.RawMessage{whole("1"), part("2"), part("3")}, "3"},
		{"with events that follow on", lost.Addr().String(), []json.RawMessage{whole("1"), part("3"), part("4"), part("5")}, "5"},
		{"with a gap", lost.Addr().String(), []json.RawMessage{part("5")}, "3"},
		{"with a gap before a whole list", lost.Addr().String(), []json.RawMessage{whole("7"), part("8"), json.RawMessage("{"), part("9")}, "8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			feed := &Client{Address: c.from, LastEventID: 3, Log: zap.NewNop(), OnEvent: func(WatchEvent) {}}
			ended := make(chan error, 1)
			go func() { ended <- feed.Watch(ctx) }()
			if strings.HasSuffix(c.name, "silent") {
				require.Equal(t, "silent 3", <-heard)
			}
			for range 5 {
				feed.SetAddress(lost.Addr().String(), nil)
			}
			feed.SetAddress(place("now"), c.known)
			require.Equal(t, "now "+c.last, <-heard)
			cancel()
			require.NoError(t, <-ended)
		})
	}
}
