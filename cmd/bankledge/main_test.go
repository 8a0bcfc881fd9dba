package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/invariant"
)

const patience = 15 * time.Second // for what must happen; nothing waits so long when all is well

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bankledge")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "bankledge")
	if out, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// engine is a scripted stand-in.
type engine struct{ *fakes.Engine }

type step = fakes.Step

var (
	says, done, pages, raw, after = fakes.Respond, fakes.RespondResult, fakes.RespondPage, fakes.RespondRaw, fakes.RespondAfter
	breaks, silent                = step(fakes.ResetConnection), step(fakes.Hang)
)

func newEngine(t *testing.T, id string, script map[string][]step) *engine {
	e := &engine{fakes.NewEngine(id, script)}
	t.Cleanup(e.Close)
	return e
}

func (e *engine) await(t *testing.T, call string) string {
	t.Helper()
	for late := time.After(patience); ; {
		select {
		case heard := <-e.Calls():
			if strings.HasPrefix(heard, call) {
				return heard
			}
		case <-late:
			t.Fatalf("engine %s never heard %s", e.ID, call)
		}
	}
}

const (
	good   = "HTTP/1.1 200 OK\r\n"
	copies = good + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\n" + good + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\n"
)

func newControl(t *testing.T) *fakes.ControlFeed {
	f := fakes.NewControlFeed()
	t.Cleanup(f.Close)
	return f
}

func member(e *engine, phase string) string {
	return fakes.Member(e.ID, e.Server.Listener.Addr().String(), phase)
}

// router is the program under test.
type router struct {
	cmd    *exec.Cmd
	config string // its file
	listen string
	log    *lockedLog
	ended  chan error
}

// lockedLog is the program's log, read while it is written.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.WriteString(line + "\n")
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// patientSettings have statements wait for seconds: an answer after the SLO time counts.
const patientSettings = `{"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":1000,"connectTimeout":250000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5},
		{"name":"load","idempotency":"at_most_once","objective":2000000,"deadline":9000000,"gain":1,"lateShare":0.5}],
	"discovery":"pushed","extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2],"waitsForLoads":[true,false],
		"writesTables":[false,true],"tellsEvery":200000,"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},"guarantees":{"drainGrace":1000000},
	"machineTypes":["k"],"orgs":[{"name":"acme","quotaPerS":100}],"tick":1000,"zone":"z"}`

func writeConfig(t *testing.T, f *fakes.ControlFeed, sockets int, engines ...*engine) string {
	var members []string
	for _, e := range engines {
		members = append(members, member(e, "active"))
	}
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, fakes.Config(f.Server.Listener.Addr().String(), patientSettings, 192, sockets, members...), 0o600))
	return path
}

// start starts the program and waits until it is ready. Its address comes from its log.
func start(t *testing.T, f *fakes.ControlFeed, sockets int, engines ...*engine) *router {
	r := &router{cmd: exec.Command(program, "serve"), config: writeConfig(t, f, sockets, engines...), log: &lockedLog{}, ended: make(chan error, 1)}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+r.config)
	r.run(t)
	c := dial(t, r)
	for {
		c.send(1, 0, "\x00")
		if kind, _, code, _ := c.read(); kind == 2 && code == 20 {
			break
		}
	}
	c.Close()
	return r
}

// run starts the program and waits until it tells its address.
func (r *router) run(t *testing.T) {
	pipe, err := r.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, r.cmd.Start())
	address, lines := make(chan string, 1), bufio.NewScanner(pipe)
	go func() {
		for lines.Scan() {
			r.log.add(lines.Text())
			var line struct{ Msg, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
				address <- line.Listen
			}
		}
		r.ended <- r.cmd.Wait()
	}()
	t.Cleanup(func() {
		if r.cmd.Process.Kill() == nil {
			<-r.ended
		}
		assert.NotContains(t, r.log.String(), "DATA RACE")
		assert.NotContains(t, r.log.String(), "panic")
		assert.NotContains(t, r.log.String(), invariant.ViolationMessage)
		if t.Failed() {
			t.Log(r.log.String())
		}
	})
	select {
	case r.listen = <-address:
	case <-time.After(patience):
		t.Fatal("the program does not serve")
	}
}

func (r *router) stop(t *testing.T) {
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
}

func (r *router) awaitEnd(t *testing.T) {
	select {
	case err := <-r.ended:
		require.NoError(t, err)
		r.ended <- nil
	case <-time.After(patience):
		t.Fatal("the program does not end")
	}
}

type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, r *router) *client {
	c, err := net.Dial("tcp", r.listen)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return &client{c, t, bufio.NewReader(c)}
}

func (c *client) send(kind byte, stream uint32, payload string) {
	_, err := c.Write(fakes.Frame(kind, stream, payload))
	require.NoError(c.t, err)
}

// read reads a frame; the code and the body are those of an answer.
func (c *client) read() (kind byte, stream uint32, code byte, body string) {
	c.t.Helper()
	kind, stream, code, body, err := fakes.ReadFrame(c.r)
	require.NoError(c.t, err)
	return kind, stream, code, body
}

func (c *client) answer(stream uint32, code byte, body string) {
	c.t.Helper()
	kind, s, got, text := c.read()
	assert.Equal(c.t, []any{byte(8), stream, code, body}, []any{kind, s, got, text})
}

// statement is a payload; changes are pairs of a field and its value, "-" for none.
func statement(workload string, n int, changes ...string) string {
	fields := map[string]string{"c": workload, "i": fmt.Sprintf("%016x", n), "d": "5000", "t": "acme", "h": "20.0", "heap_mb": "8"}
	for i := 0; i < len(changes); i += 2 {
		if fields[changes[i]] = changes[i+1]; changes[i+1] == "-" {
			delete(fields, changes[i])
		}
	}
	return fakes.Payload(fields, fmt.Sprintf("SELECT * FROM sales_%d.orders", n))
}

func TestOneStatement(t *testing.T) {
	rows := strings.Repeat("a\tb\tc\n", 900) // 5,400 bytes
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing.Close()
	for _, c := range []struct {
		name, workload string
		script         map[string][]step // of the first engine; the second completes with "two"
		engines        int
		code           byte
		body           string
		posts, deletes int // at the first engine; -1: any number
	}{
		{"a result of one page", "lookup", map[string][]step{"POST": {done(rows)}}, 1, 20, rows, 1, 0},
		{"an empty result", "lookup", map[string][]step{"POST": {done("")}}, 1, 20, "", 1, 0},
		{"many pages after notes", "load", map[string][]step{"POST": {says(202, "", "X-How", "done", "X-Num", "0.5")},
			"GET 0": {says(202, ""), says(202, "", "X-How", "odd"), says(200, rows, "X-Batches", "8")},
			"GET 1": {says(200, rows, "X-Batch", "1")}, "GET 2": {breaks, says(200, rows, "X-Batch", "2")}, "GET 3": {says(200, rows, "X-Batch", "3")},
			"GET 4": {says(200, rows, "X-Batch", "4")}, "GET 5": {says(200, rows, "X-Batch", "5")}, "GET 6": {says(200, rows, "X-Batch", "6")},
			"GET 7": {says(200, "x\ty\tz\n", "X-Batch", "7")}}, 1, 20, strings.Repeat(rows, 7) + "x\ty\tz\n", 1, 0},
		{"full, then not", "load", map[string][]step{"POST": {says(503, "", "X-Unrun", "1"), done("one\n")}}, 1, 20, "one\n", 2, 0},
		{"a connection that breaks after the start is followed by a poll", "load",
			map[string][]step{"POST": {breaks}, "GET 0": {breaks, done("one\n")}}, 1, 20, "one\n", 1, 0},
		{"what may have run is not run again", "load", map[string][]step{"POST": {breaks}, "GET 0": {says(500, "")}}, 2, 51, "", 1, 0},
		{"a non-idempotent statement ends with an error", "load", map[string][]step{"POST": {says(500, "")}}, 2, 51, "", 1, 0},
		{"503 that proves nothing", "load", map[string][]step{"POST": {says(503, "")}}, 2, 51, "", 1, 1},
		{"an idempotent statement goes on elsewhere", "lookup", map[string][]step{"POST": {says(500, "")}}, 2, 20, "two", -1, 0},
		{"a page that is missing", "load", map[string][]step{"POST": {says(200, rows, "X-Batches", "2")}, "GET 1": {says(500, "")}}, 1, 51, "", 1, 1},
		{"a page with another's number", "load", map[string][]step{"POST": {says(200, rows, "X-Batches", "2")},
			"GET 1": {says(200, rows, "X-Batch", "2")}}, 1, 51, "", 1, 1},
		{"half a row", "load", map[string][]step{"POST": {done("a\tb")}, "GET 0": {done("a\tb")}}, 1, 51, "", 1, 1},
		{"a result beyond the most", "load", map[string][]step{"POST": {says(200, rows, "X-Batches", "10")},
			"GET 1": {pages(rows)}, "GET 2": {pages(rows)}, "GET 3": {pages(rows)}, "GET 4": {pages(rows)}, "GET 5": {pages(rows)},
			"GET 6": {pages(rows)}, "GET 7": {pages(rows)}, "GET 8": {pages(rows)}, "GET 9": {pages(rows)}}, 1, 51, "", 1, 1},
		{"a page beyond the most", "load", map[string][]step{"POST": {done(strings.Repeat("a\tb\tc\n", 1100))}, "GET 0": {done("one\n")}}, 1, 20, "one\n", 1, 0},
		{"garbage, of which the end is asked for again", "load", map[string][]step{"POST": {raw("so what\r\n\r\n")}, "GET 0": {done("one\n")}}, 1, 20, "one\n", 1, 0},
		{"garbage for ever", "load", map[string][]step{"POST": {raw("so what\r\n\r\n")}, "GET 0": {raw("so what\r\n\r\n")}}, 1, 51, "", 1, 1},
		{"a cut page", "load", map[string][]step{"POST": {says(200, rows, "X-Batches", "2")},
			"GET 1": {raw(good + "X-Batch: 1\r\nContent-Length: 8\r\n\r\none\n"), says(200, "one\n", "X-Batch", "1")}}, 1, 20, rows + "one\n", 1, 0},
		{"a page that does not come", "load", map[string][]step{"POST": {says(200, rows, "X-Batches", "2")},
			"GET 1": {silent, says(200, "one\n", "X-Batch", "1")}}, 1, 20, rows + "one\n", 1, 0},
		{"a page that only the connection's end ends", "load", map[string][]step{"POST": {raw(good + "X-Batches: 1\r\n\r\none\n")}, "GET 0": {done("one\ntwo\n")}},
			1, 20, "one\ntwo\n", 1, 0},
		{"a claim of 3 GB", "load", map[string][]step{"POST": {raw(good + "X-Batches: 1\r\nContent-Length: 3000000000\r\n\r\none\n")}, "GET 0": {done("one\n")}},
			1, 20, "one\n", 1, 0},
		{"a length that is too short", "load", map[string][]step{"POST": {raw(good + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\ntwo\n")},
			"GET 0": {done("one\ntwo\n")}}, 1, 20, "one\ntwo\n", 1, 0},
		{"a second copy each time", "load", map[string][]step{"POST": {raw(copies)}, "GET 0": {raw(copies)}}, 1, 20, "one\n", 1, 0},
		{"interim answers first", "load", map[string][]step{"POST": {raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" +
			good + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\n")}}, 1, 20, "one\n", 1, 0},
		{"an unknown status", "load", map[string][]step{"POST": {says(418, "")}, "GET 0": {says(299, ""), done("one\n")}}, 1, 20, "one\n", 1, 0},
		{"a silent engine, idempotent", "lookup", map[string][]step{"POST": {silent}, "GET 0": {silent}, "DELETE": {says(204, "")}}, 2, 20, "two", -1, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			one := newEngine(t, "one", c.script)
			engines := []*engine{one}
			if c.engines == 2 {
				engines = append(engines, newEngine(t, "two", map[string][]step{"POST": {done("two\n")}}))
			}
			conn := dial(t, start(t, newControl(t), 256, engines...))
			// The hash may name either engine first: other table groups follow until the first engine had one.
			for n := uint32(1); ; n++ {
				conn.send(7, n, statement(c.workload, int(n), "h", strconv.Itoa(int(10*n))))
				_, stream, code, body := conn.read()
				require.Equal(t, n, stream)
				if one.CallCount("POST") == 0 && n < 50 {
					require.Equal(t, byte(20), code)
					continue
				}
				assert.Equal(t, []any{c.code, strings.TrimSuffix(c.body, "\n")}, []any{code, strings.TrimSuffix(body, "\n")})
				break
			}
			if c.posts >= 0 {
				assert.Equal(t, c.posts, one.CallCount("POST"))
			}
			if c.deletes >= 0 {
				assert.Equal(t, c.deletes, one.CallCount("DELETE"))
			}
		})
	}
}

func TestStreams(t *testing.T) {
	second := make(chan struct{})
	e := newEngine(t, "one", map[string][]step{"POST": {says(202, ""), done("second\n")}, "GET 0": {after(second, done("first\n"))}})
	r := start(t, newControl(t), 256, e)
	c := dial(t, r)
	c.send(7, 1, statement("lookup", 1))
	assert.Equal(t, "POST lookup SELECT * FROM sales_1.orders", e.await(t, "POST"))
	for _, b := range fakes.Frame(7, 2, statement("lookup", 2)) { // a frame that comes in pieces
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	c.answer(2, 20, "second\n")
	c.send(7, 3, statement("lookup", 1)) // the id of one that is open
	c.answer(3, 50, "id is in use")
	close(second)
	c.answer(1, 20, "first\n")

	both := append(fakes.Frame(7, 4, statement("lookup", 4)), fakes.Frame(7, 5, statement("lookup", 5))...) // many in one read
	_, err := c.Write(both)
	require.NoError(t, err)
	got := map[uint32]string{}
	for range 2 {
		_, stream, _, body := c.read()
		got[stream] = body
	}
	assert.Equal(t, map[uint32]string{4: "second\n", 5: "second\n"}, got)
}

func TestClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(c *client)
	}{
		{"a frame that says so", func(c *client) { c.send(9, 1, "") }},
		{"the end of the connection", func(c *client) { c.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			never := make(chan struct{})
			e := newEngine(t, "one", map[string][]step{"POST": {says(202, ""), done("next\n")}, "GET 0": {after(never, nil)}})
			r := start(t, newControl(t), 256, e)
			conn := dial(t, r)
			conn.send(7, 1, statement("load", 1))
			e.await(t, "GET 0")
			c.leave(conn)
			e.await(t, "DELETE")
			conn = dial(t, r)
			conn.send(7, 1, statement("lookup", 2))
			conn.answer(1, 20, "next\n")
			assert.Equal(t, 2, e.CallCount("POST"))
		})
	}
}

func TestBadFrames(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := start(t, newControl(t), 256, e)
	for i, c := range []struct {
		name, want string
		frame      []byte
		stream     uint32
		code       byte
	}{
		{"unknown type", "frame type 77", fakes.Frame(77, 1, "x"), 0, 51},
		{"a router's type", "frame type 8", fakes.Frame(8, 1, "x"), 0, 51},
		{"stream 0", "not new", fakes.Frame(7, 0, statement("lookup", 1)), 0, 51},
		{"no fields", "cut short", fakes.Frame(7, 1, ""), 1, 50},
		{"fields cut short", "cut short", fakes.Frame(7, 1, statement("lookup", 1)[:20]), 1, 50},
		{"unknown workload", "field c", fakes.Frame(7, 1, statement("odd", 1)), 1, 50},
		{"unknown member group", "field t", fakes.Frame(7, 1, statement("lookup", 1, "t", "odd")), 1, 50},
		{"no id", "field i", fakes.Frame(7, 1, statement("lookup", 1, "i", "-")), 1, 50},
		{"an id with a line feed", "field i", fakes.Frame(7, 1, statement("lookup", 1, "i", "0123456789abcd\r\n")), 1, 50},
		{"no time", "field d", fakes.Frame(7, 1, statement("lookup", 1, "d", "-")), 1, 50},
		{"no time left", "field d", fakes.Frame(7, 1, statement("lookup", 1, "d", "0")), 1, 50},
		{"endless time", "field d", fakes.Frame(7, 1, statement("lookup", 1, "d", "Inf")), 1, 50},
		{"an estimate below 0", "field h", fakes.Frame(7, 1, statement("lookup", 1, "h", "-1")), 1, 50},
		{"an estimate that is no number", "field heap_mb", fakes.Frame(7, 1, statement("lookup", 1, "heap_mb", "NaN")), 1, 50},
		{"an estimate that stands for nothing", "field heap_mb", fakes.Frame(7, 1, statement("lookup", 1, "heap_mb", "")), 1, 50},
		{"an estimate beyond any engine's memory", "field heap_mb", fakes.Frame(7, 1, statement("lookup", 1, "heap_mb", "128001")), 1, 50},
		{"an estimate beyond reason", "field h", fakes.Frame(7, 1, statement("lookup", 1, "h", "1e9")), 1, 50},
		{"no text", "not a text", fakes.Frame(7, 1, statement("lookup", 1)[:len(statement("lookup", 1))-len("SELECT * FROM sales_1.orders")]), 1, 50},
		{"a text that is none", "not a text", fakes.Frame(7, 1, statement("lookup", 1)+"\xff\x00"), 1, 50},
		{"an odd mark", "field r", fakes.Frame(7, 1, statement("lookup", 1, "r", "maybe")), 1, 50},
		{"length too small", "frame length", []byte{0, 0, 0, 4, 7, 0, 0, 0}, 0, 51},
		{"length too large", "frame length", []byte{0xff, 0, 0, 0, 7}, 0, 51},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, r)
			_, err := conn.Write(c.frame)
			require.NoError(t, err)
			kind, stream, code, body := conn.read()
			assert.Equal(t, []any{byte(8), c.stream, c.code}, []any{kind, stream, code})
			assert.Contains(t, body, c.want)
			if strings.HasPrefix(c.name, "length") { // the framing is lost: the connection ends
				_, err := conn.r.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				return
			}
			conn.send(7, 2, statement("lookup", 100+i))
			conn.answer(2, 20, "fine\n")
			conn.send(7, 3, statement("lookup", 100+i))
			conn.answer(3, 50, "id is in use") // also once it was answered: the engine has its result still
			conn.send(7, 2, statement("lookup", 200+i))
			_, stream, code, _ = conn.read()
			assert.Equal(t, []any{uint32(0), byte(51)}, []any{stream, code}, "a stream used again")
		})
	}
}

func TestControlFeed(t *testing.T) {
	one := newEngine(t, "one", map[string][]step{"POST": {done("one\n")}})
	two := newEngine(t, "two", map[string][]step{"POST": {done("two\n")}})
	three := newEngine(t, "three", map[string][]step{"POST": {done("three\n")}})
	f := newControl(t)
	c := dial(t, start(t, f, 256, one, two))
	assert.Equal(t, "1", <-f.LastEventIDs)
	f.Events <- "id: 2\ndata: {\"n\":2,\ndata: \"members\":{\"members\":[" + member(one, "leaving") + "]}}\n\n"
	f.Events <- ""
	assert.Equal(t, "2", <-f.LastEventIDs, "asks on from the last")
	f.Events <- fmt.Sprintf("id: 3\ndata: {\"n\":3,\"members\":{\"members\":[%s,%s]}}\n\n", member(two, "left"), member(three, "active"))
	f.Events <- ""
	assert.Equal(t, "3", <-f.LastEventIDs)
	before := one.CallCount("POST") + two.CallCount("POST")
	for n := range uint32(20) {
		c.send(7, n+1, statement("lookup", int(n)))
		c.answer(n+1, 20, "three\n")
	}
	assert.Equal(t, before, one.CallCount("POST")+two.CallCount("POST"), "nothing new goes to what drains or is gone")
}

// SIGHUP: the feed is followed at its new place from the number last taken, and nothing else is touched; a file
// that is unfit changes nothing.
func TestReload(t *testing.T) {
	finish := make(chan struct{})
	one := newEngine(t, "one", map[string][]step{"POST": {says(202, "")}, "GET 0": {after(finish, done("one\n"))}})
	two := newEngine(t, "two", map[string][]step{"POST": {done("two\n")}})
	before, now := newControl(t), newControl(t)
	r := start(t, before, 256, one)
	assert.Equal(t, "1", <-before.LastEventIDs)
	c := dial(t, r)
	c.send(7, 1, statement("load", 1))
	one.await(t, "GET 0")
	before.Events <- "id: 2\ndata: {\"n\":2,\"members\":{\"members\":[" + member(one, "leaving") + "]}}\n\n"
	before.Events <- ""
	assert.Equal(t, "2", <-before.LastEventIDs)

	reload := func(path string, edit ...string) {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(r.config, []byte(strings.NewReplacer(edit...).Replace(string(raw))), 0o600))
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
	}
	moved := writeConfig(t, now, 256, one)
	reload(moved)
	assert.Equal(t, "2", <-now.LastEventIDs, "goes on where it was")
	reload(moved, `"seed":"`, `"seed":"x`)
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "unfit") }, patience, time.Millisecond)
	assert.Contains(t, r.log.String(), "seed: ")
	now.Events <- fmt.Sprintf("id: 3\ndata: {\"n\":3,\"members\":{\"members\":[%s]}}\n\n", member(two, "active"))
	c.send(7, 2, statement("lookup", 2))
	c.answer(2, 20, "two\n") // held until the engine was known
	close(finish)
	c.answer(1, 20, "one\n") // it was open all the while
}

func TestEngineThatIsNotThere(t *testing.T) {
	one := newEngine(t, "one", map[string][]step{"POST": {done("one\n")}})
	two := newEngine(t, "two", map[string][]step{"POST": {done("two\n")}})
	c := dial(t, start(t, newControl(t), 256, one, two))
	one.Server.CloseClientConnections()
	one.Server.Close()
	for n := range uint32(20) { // also what must not run twice goes elsewhere, since it never ran
		c.send(7, n+1, statement("load", int(n)))
		c.answer(n+1, 20, "two\n")
	}
}

// A router that starts makes one connection to see that engines can be reached, not one to each: hundreds that start at once
// would be a storm of handshakes.
func TestStartMakesOneConnection(t *testing.T) {
	var engines []*engine
	for i := range 6 {
		engines = append(engines, newEngine(t, fmt.Sprintf("e%d", i), nil))
	}
	r := start(t, newControl(t), 256, engines...)
	r.stop(t)
	r.awaitEnd(t)
	assert.Contains(t, r.log.String(), `"dials":{"dialled":1,`)
}

func TestStop(t *testing.T) {
	for _, c := range []struct {
		name string
		code byte
		body string
	}{
		{"what ends in time is answered", 20, "late\n"},
		{"what does not is aborted", 51, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			finish := make(chan struct{})
			e := newEngine(t, "one", map[string][]step{"POST": {says(202, "")}, "GET 0": {after(finish, done("late\n"))}})
			r := start(t, newControl(t), 256, e)
			conn := dial(t, r)
			conn.send(7, 1, statement("load", 1, "d", "9000"))
			e.await(t, "GET 0")
			r.stop(t)
			kind, stream, _, _ := conn.read()
			assert.Equal(t, []any{byte(3), uint32(0)}, []any{kind, stream})
			require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP)) // a reload during a stop ends nothing
			late := dial(t, r)                                       // new connections are told at once, and answered all the same
			kind, _, _, _ = late.read()
			assert.Equal(t, byte(3), kind)
			late.send(1, 0, "\x00")
			kind, _, code, _ := late.read()
			assert.Equal(t, []any{byte(2), byte(50)}, []any{kind, code}, "not ready any more")
			late.send(7, 1, statement("odd", 2))
			late.answer(1, 50, "field c: unknown workload")
			if c.code == 20 {
				close(finish)
			}
			conn.answer(1, c.code, c.body)
			r.awaitEnd(t)
		})
	}
}

// Whoever connects gets a place as long as somebody has nothing open: first the unfit, then the silent, then the idle.
func TestDescriptorsUsedUp(t *testing.T) {
	finish := make(chan struct{})
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := start(t, newControl(t), 64, e) // 21 for clients, 19 for engines
	idle := dial(t, r)
	idle.send(7, 1, statement("lookup", 1000))
	idle.answer(1, 20, "fine\n")
	var unfit []*client
	for range 30 { // more than there are places
		c := dial(t, r)
		c.send(7, 1, statement("odd", 1))
		c.answer(1, 50, "field c: unknown workload")
		unfit = append(unfit, c)
	}
	_, err := unfit[0].r.ReadByte()
	require.Error(t, err, "the first one that was unfit had to go")
	for range 50 {
		silent := dial(t, r)
		defer silent.Close()
	}
	idle.send(7, 2, statement("lookup", 1001))
	idle.answer(2, 20, "fine\n")
	e.Script(map[string][]step{"POST": {says(202, "")}, "GET 0": {after(finish, done("fine\n"))}})
	var busy []*client
	for i := range 21 {
		c := dial(t, r)
		c.send(7, 1, statement("load", i))
		busy = append(busy, c)
	}
	e.await(t, "POST load")
	waits := dial(t, r) // the kernel holds it until there is room
	waits.send(1, 0, "\x00")
	require.NoError(t, waits.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = waits.r.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	close(finish)
	for _, c := range busy {
		c.answer(1, 20, "fine\n")
	}
	require.NoError(t, waits.SetDeadline(time.Now().Add(patience)))
	kind, _, code, _ := waits.read()
	assert.Equal(t, []any{byte(2), byte(20)}, []any{kind, code})
}

// A client that floods is answered, slowed down and in the end closed; others have their answers meanwhile.
func TestFlood(t *testing.T) {
	r := start(t, newControl(t), 256, newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}}))
	var flood []byte
	for stream := range uint32(1000) {
		flood = append(flood, fakes.Frame(7, stream+1, statement("odd", int(stream)))...)
	}
	bad, good := dial(t, r), dial(t, r)
	go bad.Write(flood)
	for n := range uint32(20) {
		good.send(7, n+1, statement("lookup", int(n)))
		good.answer(n+1, 20, "fine\n")
	}
	bad.answer(1, 50, "field c: unknown workload")
	said, _ := io.ReadAll(bad) // to the end of the connection
	assert.Less(t, strings.Count(string(said), "unknown workload"), 200)
}

// What comes in pieces and never whole, or not at all, ends in time.
func TestSilentClients(t *testing.T) {
	r := start(t, newControl(t), 256, newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}}))
	for _, c := range []struct{ name, first, last string }{
		{"nothing", "", ""},
		{"half a frame", string(fakes.Frame(7, 1, statement("lookup", 1))[:20]), "the frame did not come whole in time"},
		{"half a frame after a whole one", string(fakes.Frame(1, 0, "\x00")) + "\x00\x00\x00", "the frame did not come whole in time"},
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

func TestCommands(t *testing.T) {
	good := writeConfig(t, newControl(t), 256)
	bad := filepath.Join(t.TempDir(), "bad.json")
	raw, err := os.ReadFile(good)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(bad, bytes.Replace(raw, []byte(`"memory_mb":192`), []byte(`"memory_mb":1`), 1), 0o600))
	for _, c := range []struct {
		name, out string
		args      []string
		fine      bool
	}{
		{"version", "bankledge ", []string{"version"}, true},
		{"check", "fit to serve n1", []string{"check", good}, true},
		{"check of a bad one names the field", "limits.memory_mb", []string{"check", bad}, false},
		{"check of none", "no such file", []string{"check", "nowhere"}, false},
		{"serve with a bad one", "limits.memory_mb", []string{"serve", "--config", bad}, false},
		{"serve with none", "--config", []string{"serve"}, false},
		{"serve on a bad address", "listen", []string{"serve", "--config", good, "--listen", "here"}, false},
		{"serve on an address that is not ours", "listen", []string{"serve", "--config", good, "--listen", "192.0.2.1:1"}, false},
		{"explain of a file that is not there", "no such file", []string{"explain", "nowhere"}, false},
		{"an unknown command", "unexpected argument", []string{"fly"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(program, c.args...).CombinedOutput()
			assert.Contains(t, string(out), c.out)
			var failed *exec.ExitError
			assert.Equal(t, c.fine, !errors.As(err, &failed), string(out))
		})
	}
}
