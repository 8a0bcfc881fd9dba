package main

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

// A frame that cannot be used is answered with what is wrong with it, and its connection goes on unless its framing is lost.
func TestInvalidFrames(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := startRouter(t, patientConfig(newControl(t), e))
	for i, c := range []struct {
		name, want string
		frame      []byte
		stream     uint32
		code       byte
	}{
		{"unknown type", "frame type 77", fakes.Frame(77, 1, "x"), 0, 51},
		{"a router's type", "frame type 8", fakes.Frame(8, 1, "x"), 0, 51},
		{"stream 0", "not new", fakes.Frame(frameStatement, 0, statement("lookup", 1)), 0, 51},
		{"no fields", "cut short", fakes.Frame(frameStatement, 1, ""), 1, 50},
		{"fields cut short", "cut short", fakes.Frame(frameStatement, 1, statement("lookup", 1)[:20]), 1, 50},
		{"unknown workload", "field c", fakes.Frame(frameStatement, 1, statement("odd", 1)), 1, 50},
		{"unknown member group", "field t", fakes.Frame(frameStatement, 1, statement("lookup", 1, "t", "odd")), 1, 50},
		{"no id", "field i", fakes.Frame(frameStatement, 1, statement("lookup", 1, "i", "-")), 1, 50},
		{"an id with a line feed", "field i", fakes.Frame(frameStatement, 1, statement("lookup", 1, "i", "0123456789abcd\r\n")), 1, 50},
		{"no time", "field d", fakes.Frame(frameStatement, 1, statement("lookup", 1, "d", "-")), 1, 50},
		{"no time left", "field d", fakes.Frame(frameStatement, 1, statement("lookup", 1, "d", "0")), 1, 50},
		{"endless time", "field d", fakes.Frame(frameStatement, 1, statement("lookup", 1, "d", "Inf")), 1, 50},
		{"an estimate below 0", "field h", fakes.Frame(frameStatement, 1, statement("lookup", 1, "h", "-1")), 1, 50},
		{"an estimate that is no number", "field heap_mb", fakes.Frame(frameStatement, 1, statement("lookup", 1, "heap_mb", "NaN")), 1, 50},
		{"an estimate that stands for nothing", "field heap_mb", fakes.Frame(frameStatement, 1, statement("lookup", 1, "heap_mb", "")), 1, 50},
		{"an estimate beyond any engine's memory", "field heap_mb", fakes.Frame(frameStatement, 1, statement("lookup", 1, "heap_mb", "128001")), 1, 50},
		{"an estimate beyond reason", "field h", fakes.Frame(frameStatement, 1, statement("lookup", 1, "h", "1e9")), 1, 50},
		{"no text", "not a text", fakes.Frame(frameStatement, 1, statement("lookup", 1)[:len(statement("lookup", 1))-len("SELECT * FROM sales_1.orders")]), 1, 50},
		{"a text that is none", "not a text", fakes.Frame(frameStatement, 1, statement("lookup", 1)+"\xff\x00"), 1, 50},
		{"an odd mark", "field r", fakes.Frame(frameStatement, 1, statement("lookup", 1, "r", "maybe")), 1, 50},
		{"length too small", "frame length", []byte{0, 0, 0, 4, 7, 0, 0, 0}, 0, 51},
		{"length too large", "frame length", []byte{0xff, 0, 0, 0, 7}, 0, 51},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, r)
			_, err := conn.Write(c.frame)
			require.NoError(t, err)
			got := conn.read()
			assert.Equal(t, answer(c.stream, c.code, got.body), got)
			assert.Contains(t, got.body, c.want)
			if strings.HasPrefix(c.name, "length") { // the framing is lost: the connection ends
				_, err := conn.reader.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				return
			}
			conn.send(frameStatement, 2, statement("lookup", 100+i))
			conn.expect(answer(2, codeCompleted, "fine\n"))
			conn.send(frameStatement, 3, statement("lookup", 100+i))
			conn.expect(answer(3, codeRejected, "id is in use")) // also once it was answered: the engine has its result still
			conn.send(frameStatement, 2, statement("lookup", 200+i))
			got = conn.read()
			assert.Equal(t, answer(0, codeAborted, got.body), got, "a stream used again")
		})
	}
}

// Whoever connects gets a place as long as somebody has nothing open: first the invalid, then the silent, then the idle.
func TestDescriptorsUsedUp(t *testing.T) {
	finish := make(chan struct{})
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	config := patientConfig(newControl(t), e)
	config.sockets = 64 // 21 for clients, 19 for engines
	r := startRouter(t, config)
	idle := dial(t, r)
	idle.send(frameStatement, 1, statement("lookup", 1000))
	idle.expect(answer(1, codeCompleted, "fine\n"))
	var invalid []*client
	for range 30 { // more than there are places
		c := dial(t, r)
		c.send(frameStatement, 1, statement("odd", 1))
		c.expect(answer(1, codeRejected, "field c: unknown workload"))
		invalid = append(invalid, c)
	}
	_, err := invalid[0].reader.ReadByte()
	require.Error(t, err, "the first one that was invalid had to go")
	for range 50 {
		silent := dial(t, r)
		defer silent.Close()
	}
	idle.send(frameStatement, 2, statement("lookup", 1001))
	idle.expect(answer(2, codeCompleted, "fine\n"))
	e.Script(map[string][]step{"POST": {says(202, "")}, "GET 0": {after(finish, done("fine\n"))}})
	var busy []*client
	for i := range 21 {
		c := dial(t, r)
		c.send(frameStatement, 1, statement("load", i))
		busy = append(busy, c)
	}
	e.await(t, "POST load")
	waits := dial(t, r) // the kernel holds it until there is room
	waits.send(frameReadyAsked, 0, "\x00")
	require.NoError(t, waits.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = waits.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	close(finish)
	for _, c := range busy {
		c.expect(answer(1, codeCompleted, "fine\n"))
	}
	require.NoError(t, waits.SetDeadline(time.Now().Add(testTimeout)))
	ready := waits.read()
	assert.Equal(t, byte(frameReadyTold), ready.kind)
	assert.Equal(t, codeCompleted, ready.code)
}

// A client that floods is answered, slowed down and in the end closed; others get their answers meanwhile.
func TestFlood(t *testing.T) {
	r := startRouter(t, patientConfig(newControl(t), newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})))
	var flood []byte
	for stream := range uint32(1000) {
		flood = append(flood, fakes.Frame(frameStatement, stream+1, statement("odd", int(stream)))...)
	}
	bad, good := dial(t, r), dial(t, r)
	go bad.Write(flood)
	for n := range uint32(20) {
		good.send(frameStatement, n+1, statement("lookup", int(n)))
		good.expect(answer(n+1, codeCompleted, "fine\n"))
	}
	bad.expect(answer(1, codeRejected, "field c: unknown workload"))
	said, _ := io.ReadAll(bad) // to the end of the connection
	assert.Less(t, strings.Count(string(said), "unknown workload"), 200)
}

// A connection on which a frame is never completed, or nothing comes at all, is closed in time.
func TestSilentClients(t *testing.T) {
	r := startRouter(t, patientConfig(newControl(t), newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})))
	for _, c := range []struct{ name, first, last string }{
		{"nothing", "", ""},
		{"half a frame", string(fakes.Frame(frameStatement, 1, statement("lookup", 1))[:20]), "the frame did not come whole in time"},
		{"half a frame after a complete one", string(fakes.Frame(frameReadyAsked, 0, "\x00")) + "\x00\x00\x00", "the frame did not come whole in time"},
		{"a frame that is large, and endless", "\x00\x04\x00\x00\x07", "the frame did not come whole in time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, began := dial(t, r), time.Now()
			_, err := io.WriteString(conn, c.first)
			require.NoError(t, err)
			said, _ := io.ReadAll(conn) // to the end of the connection
			assert.Contains(t, string(said), c.last)
			assert.Less(t, time.Since(began), 3*time.Second)
		})
	}
}
