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

// An invalid frame is answered with an error that names the fault. Its connection stays open unless the framing is lost.
func TestInvalidFrames(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {respondResult("fine\n")}})
	r := startRouter(t, longDeadlineConfig(newControl(t), e))
	for i, c := range []struct {
		name, want string
		frame      []byte
		stream     uint32
		code       byte
	}{
		{"unknown type", "frame type 77", fakes.Frame(77, 1, "x"), 0, 51},
		{"a frame type that only routers send", "frame type 8", fakes.Frame(8, 1, "x"), 0, 51},
		{"stream 0", "not new", fakes.Frame(frameStatement, 0, statement("lookup", 1)), 0, 51},
		{"no fields", "cut short", fakes.Frame(frameStatement, 1, ""), 1, 50},
		{"fields cut short", "cut short", fakes.Frame(frameStatement, 1, statement("lookup", 1)[:20]), 1, 50},
		{"unknown workload", "field c", fakes.Frame(frameStatement, 1, statement("odd", 1)), 1, 50},
		{"unknown tenant", "field t", fakes.Frame(frameStatement, 1, statement("lookup", 1, "t", "odd")), 1, 50},
		{"no id", "field i", fakes.Frame(frameStatement, 1, statement("lookup", 1, "i", "-")), 1, 50},
		{"an id with a line feed", "field i", fakes.Frame(frameStatement, 1, statement("lookup", 1, "i", "0123456789abcd\r\n")), 1, 50},
		{"no deadline", "field d", fakes.Frame(frameStatement, 1, statement("lookup", 1, "d", "-")), 1, 50},
		{"a deadline of 0", "field d", fakes.Frame(frameStatement, 1, statement("lookup", 1, "d", "0")), 1, 50},
		{"an infinite deadline", "field d", fakes.Frame(frameStatement, 1, statement("lookup", 1, "d", "Inf")), 1, 50},
		{"an estimate below 0", "field h", fakes.Frame(frameStatement, 1, statement("lookup", 1, "h", "-1")), 1, 50},
		{"an estimate that is not a number", "field heap_mb", fakes.Frame(frameStatement, 1, statement("lookup", 1, "heap_mb", "NaN")), 1, 50},
		{"an empty estimate", "field heap_mb", fakes.Frame(frameStatement, 1, statement("lookup", 1, "heap_mb", "")), 1, 50},
		{"a memory estimate above the memory of any engine", "field heap_mb", fakes.Frame(frameStatement, 1, statement("lookup", 1, "heap_mb", "128001")), 1, 50},
		{"a work estimate above the maximum", "field h", fakes.Frame(frameStatement, 1, statement("lookup", 1, "h", "1e9")), 1, 50},
		{"no text", "not a text", fakes.Frame(frameStatement, 1, statement("lookup", 1)[:len(statement("lookup", 1))-len("SELECT * FROM sales_1.orders")]), 1, 50},
		{"a text that is not valid UTF-8", "not a text", fakes.Frame(frameStatement, 1, statement("lookup", 1)+"\xff\x00"), 1, 50},
		{"an unknown retry mark", "field r", fakes.Frame(frameStatement, 1, statement("lookup", 1, "r", "maybe")), 1, 50},
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
			conn.expect(answer(3, codeRejected, "id is in use")) // also after the answer, since the engine still has the result
			conn.send(frameStatement, 2, statement("lookup", 200+i))
			got = conn.read()
			assert.Equal(t, answer(0, codeAborted, got.body), got, "a reused stream")
		})
	}
}

// A new client is accepted as long as another connection without an open request can be closed: first those that sent an invalid request,
// then those that never sent anything, then idle ones.
func TestDescriptorExhaustion(t *testing.T) {
	finish := make(chan struct{})
	e := newEngine(t, "one", map[string][]step{"POST": {respondResult("fine\n")}})
	config := longDeadlineConfig(newControl(t), e)
	config.sockets = 64 // 21 for clients, 19 for engines
	r := startRouter(t, config)
	idle := dial(t, r)
	idle.send(frameStatement, 1, statement("lookup", 1000))
	idle.expect(answer(1, codeCompleted, "fine\n"))
	var invalid []*client
	for range 30 { // more than the client connections that fit
		c := dial(t, r)
		c.send(frameStatement, 1, statement("odd", 1))
		c.expect(answer(1, codeRejected, "field c: unknown workload"))
		invalid = append(invalid, c)
	}
	_, err := invalid[0].reader.ReadByte()
	require.Error(t, err, "the first connection with an invalid request is closed")
	for range 50 {
		silent := dial(t, r)
		defer silent.Close()
	}
	idle.send(frameStatement, 2, statement("lookup", 1001))
	idle.expect(answer(2, codeCompleted, "fine\n"))
	e.Script(map[string][]step{"POST": {respond(202, "")}, "GET 0": {respondAfter(finish, respondResult("fine\n"))}})
	var busy []*client
	for i := range 21 {
		c := dial(t, r)
		c.send(frameStatement, 1, statement("load", i))
		busy = append(busy, c)
	}
	e.await(t, "POST load")
	waiting := dial(t, r) // it stays in the accept backlog until a descriptor is free
	waiting.send(frameReadinessQuery, 0, "\x00")
	require.NoError(t, waiting.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = waiting.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	close(finish)
	for _, c := range busy {
		c.expect(answer(1, codeCompleted, "fine\n"))
	}
	require.NoError(t, waiting.SetDeadline(time.Now().Add(testTimeout)))
	ready := waiting.read()
	assert.Equal(t, byte(frameReadinessReply), ready.kind)
	assert.Equal(t, codeCompleted, ready.code)
}

// A client that sends many invalid requests at once is answered, slowed down and finally disconnected. Other clients get their answers
// meanwhile.
func TestInvalidRequestFlood(t *testing.T) {
	r := startRouter(t, longDeadlineConfig(newControl(t), newEngine(t, "one", map[string][]step{"POST": {respondResult("fine\n")}})))
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
	received, _ := io.ReadAll(bad) // to the end of the connection
	assert.Less(t, strings.Count(string(received), "unknown workload"), 200)
}

// A connection on which no complete frame arrives, or nothing at all, is closed within a few seconds.
func TestSilentClients(t *testing.T) {
	r := startRouter(t, longDeadlineConfig(newControl(t), newEngine(t, "one", map[string][]step{"POST": {respondResult("fine\n")}})))
	for _, c := range []struct{ name, first, last string }{
		{"nothing", "", ""},
		{"half a frame", string(fakes.Frame(frameStatement, 1, statement("lookup", 1))[:20]), "the frame did not come whole in time"},
		{"half a frame after a complete one", string(fakes.Frame(frameReadinessQuery, 0, "\x00")) + "\x00\x00\x00", "the frame did not come whole in time"},
		{"a large frame that is never completed", "\x00\x04\x00\x00\x07", "the frame did not come whole in time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, began := dial(t, r), time.Now()
			_, err := io.WriteString(conn, c.first)
			require.NoError(t, err)
			received, _ := io.ReadAll(conn) // to the end of the connection
			assert.Contains(t, string(received), c.last)
			assert.Less(t, time.Since(began), 3*time.Second)
		})
	}
}
