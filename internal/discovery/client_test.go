package discovery

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestReadEvents(t *testing.T) {
	for _, c := range []struct {
		name, in    string
		connections int // number of connections that deliver the same input
		handled     []int64
		last        int64
		err         string
	}{
		{"in order", eventText("5", "5") + eventText("6", "6"), 1, []int64{5, 6}, 6, "EOF"},
		{"comments and other fields", ": hi\nretry: 5\n\n" + eventText("5", "5") + ":\n", 1, []int64{5}, 5, "EOF"},
		{"data on several lines, CR LF", "id:5\r\ndata: {\"n\":5,\r\ndata:\"members\":{\"members\":[]}}\r\n\r\n", 1, []int64{5}, 5, "EOF"},
		{"lines that end in CR", "id: 5\rdata: {\"n\":5,\"members\":{}}\r\r" + eventText("6", "6"), 1, []int64{5, 6}, 6, "EOF"},
		{"duplicates", eventText("3", "3") + eventText("4", "4") + eventText("5", "5"), 1, []int64{5}, 5, "EOF"},
		{"the number in the data replaces a missing id", "data: {\"n\":5,\"members\":{}}\n\n", 1, []int64{5}, 5, "EOF"},
		{"a gap is requested again", eventText("7", "7"), 1, nil, 4, "requesting the events in between"},
		{"a gap that persists is skipped", eventText("7", "7"), 2, []int64{7}, 7, "EOF"},
		{"an event without a list is counted as handled", "id: 5\ndata: {\"n\":5,\"purge\":{}}\n\n", 1, nil, 5, "EOF"},
		{"an incomplete event is ignored", strings.TrimSuffix(eventText("5", "5"), "\n"), 1, nil, 4, "EOF"},
		{"an invalid event is requested again", "id: 5\ndata: {\n\n", 2, nil, 4, "unexpected end"},
		{"an invalid event is skipped after three requests", "id: 5\ndata: {\n\n" + eventText("6", "6"), 3, []int64{6}, 6, "EOF"},
		{"too large", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", 1, nil, 4, "too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var handled []int64
			client := &Client{
				LastEventID: 4,
				log:         zap.NewNop(),
				onEvent:     func(event WatchEvent) { handled = append(handled, event.Number) },
			}
			var err error
			for range c.connections {
				err = client.readEvents(iotest.HalfReader(strings.NewReader(c.in)))
			}
			require.ErrorContains(t, err, c.err)
			assert.Equal(t, c.handled, handled)
			assert.Equal(t, c.last, client.LastEventID)
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add(eventText("5", "5"))
	f.Add("\ufeffid: 1\r\rdata\n\n:x\n")
	f.Fuzz(func(t *testing.T, in string) {
		client := &Client{log: zap.NewNop(), onEvent: func(WatchEvent) {}}
		if err := client.readEvents(strings.NewReader(in)); err == nil {
			t.Fatal("the stream ended without an error, want", io.EOF)
		}
	})
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// After SetAddress the client continues immediately from the last handled event, even if the old address is unreachable or silent. Known
// events are handled up to the first gap. If several addresses are set, the last one takes effect.
func TestSetAddress(t *testing.T) {
	complete := func(n string) json.RawMessage { return json.RawMessage(`{"n":` + n + `,"members":{"complete":true}}`) }
	partial := func(n string) json.RawMessage { return json.RawMessage(`{"n":` + n + `,"members":{}}`) }
	for _, c := range []struct {
		name   string
		silent bool // the old address accepts connections and sends nothing; otherwise nothing listens there
		known  []json.RawMessage
		last   string
	}{
		{"from an unreachable address", false, nil, "3"},
		{"from a silent address", true, nil, "3"},
		{"with events that were handled already", false, []json.RawMessage{complete("1"), partial("2"), partial("3")}, "3"},
		{"with new events", false, []json.RawMessage{complete("1"), partial("3"), partial("4"), partial("5")}, "5"},
		{"with a gap", false, []json.RawMessage{partial("5")}, "3"},
		{"with a gap before a complete list", false, []json.RawMessage{complete("7"), partial("8"), json.RawMessage("{"), partial("9")}, "8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			unreachable := unusedAddress(t)
			silent, requestedBefore := serveScripts(t, sendOnce(""))
			next, requested := serveScripts(t, sendOnce(""))
			old := unreachable
			if c.silent {
				old = silent
			}
			client, _ := newTestClient(old, 3)
			watch(t, client)
			if c.silent {
				require.Equal(t, "3", await(t, requestedBefore))
			}
			for range 5 {
				client.SetAddress(unreachable, nil)
			}
			client.SetAddress(next, c.known)
			require.Equal(t, c.last, await(t, requested))
		})
	}
}
