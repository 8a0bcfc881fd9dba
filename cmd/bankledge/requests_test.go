package main

import (
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

// Starts of HTTP answers of engines.
const (
	okHead     = "HTTP/1.1 200 OK\r\n"
	onePage    = okHead + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\n"
	duplicated = onePage + onePage
)

// A request has one truthful answer, whatever its engine answers.
func TestOneRequest(t *testing.T) {
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
		{"a non-idempotent request ends with an error", "load", map[string][]step{"POST": {says(500, "")}}, 2, 51, "", 1, 0},
		{"503 that proves nothing", "load", map[string][]step{"POST": {says(503, "")}}, 2, 51, "", 1, 1},
		{"an idempotent request is attempted elsewhere", "lookup", map[string][]step{"POST": {says(500, "")}}, 2, 20, "two", -1, 0},
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
			"GET 1": {raw(okHead + "X-Batch: 1\r\nContent-Length: 8\r\n\r\none\n"), says(200, "one\n", "X-Batch", "1")}}, 1, 20, rows + "one\n", 1, 0},
		{"a page that does not come", "load", map[string][]step{"POST": {says(200, rows, "X-Batches", "2")},
			"GET 1": {silent, says(200, "one\n", "X-Batch", "1")}}, 1, 20, rows + "one\n", 1, 0},
		{"a page that only the connection's end ends", "load", map[string][]step{"POST": {raw(okHead + "X-Batches: 1\r\n\r\none\n")}, "GET 0": {done("one\ntwo\n")}},
			1, 20, "one\ntwo\n", 1, 0},
		{"a claim of 3 GB", "load", map[string][]step{"POST": {raw(okHead + "X-Batches: 1\r\nContent-Length: 3000000000\r\n\r\none\n")}, "GET 0": {done("one\n")}},
			1, 20, "one\n", 1, 0},
		{"a length that is too short", "load", map[string][]step{"POST": {raw(okHead + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\ntwo\n")},
			"GET 0": {done("one\ntwo\n")}}, 1, 20, "one\ntwo\n", 1, 0},
		{"a duplicate answer each time", "load", map[string][]step{"POST": {raw(duplicated)}, "GET 0": {raw(duplicated)}}, 1, 20, "one\n", 1, 0},
		{"interim answers first", "load", map[string][]step{"POST": {raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" +
			onePage)}}, 1, 20, "one\n", 1, 0},
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
			conn := dial(t, startRouter(t, patientConfig(newControl(t), engines...)))
			// The hash may name either engine first: other table groups follow until the first engine had one.
			for n := uint32(1); ; n++ {
				conn.send(frameStatement, n, statement(c.workload, int(n), "h", strconv.Itoa(int(10*n))))
				got := conn.read()
				require.Equal(t, n, got.stream)
				if one.CallCount("POST") == 0 && n < 50 {
					require.Equal(t, codeCompleted, got.code)
					continue
				}
				assert.Equal(t, c.code, got.code)
				assert.Equal(t, strings.TrimSuffix(c.body, "\n"), strings.TrimSuffix(got.body, "\n"))
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

// Streams of one connection are independent, whatever order their answers come in.
func TestStreams(t *testing.T) {
	second := make(chan struct{})
	e := newEngine(t, "one", map[string][]step{"POST": {says(202, ""), done("second\n")}, "GET 0": {after(second, done("first\n"))}})
	r := startRouter(t, patientConfig(newControl(t), e))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1))
	assert.Equal(t, "POST lookup SELECT * FROM sales_1.orders", e.await(t, "POST"))
	for _, b := range fakes.Frame(frameStatement, 2, statement("lookup", 2)) { // a frame that comes in pieces
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	c.expect(answer(2, codeCompleted, "second\n"))
	c.send(frameStatement, 3, statement("lookup", 1)) // the id of one that is open
	c.expect(answer(3, codeRejected, "id is in use"))
	close(second)
	c.expect(answer(1, codeCompleted, "first\n"))

	both := append(fakes.Frame(frameStatement, 4, statement("lookup", 4)), fakes.Frame(frameStatement, 5, statement("lookup", 5))...) // many in one read
	_, err := c.Write(both)
	require.NoError(t, err)
	got := map[uint32]string{}
	for range 2 {
		f := c.read()
		got[f.stream] = f.body
	}
	assert.Equal(t, map[uint32]string{4: "second\n", 5: "second\n"}, got)
}

// An attempt whose client waits no longer is cancelled at its engine.
func TestClientCancels(t *testing.T) {
	for _, c := range []struct {
		name   string
		cancel func(c *client)
	}{
		{"a frame that says so", func(c *client) { c.send(frameLeft, 1, "") }},
		{"the end of the connection", func(c *client) { c.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			never := make(chan struct{})
			e := newEngine(t, "one", map[string][]step{"POST": {says(202, ""), done("next\n")}, "GET 0": {after(never, nil)}})
			r := startRouter(t, patientConfig(newControl(t), e))
			conn := dial(t, r)
			conn.send(frameStatement, 1, statement("load", 1))
			e.await(t, "GET 0")
			c.cancel(conn)
			e.await(t, "DELETE")
			conn = dial(t, r)
			conn.send(frameStatement, 1, statement("lookup", 2))
			conn.expect(answer(1, codeCompleted, "next\n"))
			assert.Equal(t, 2, e.CallCount("POST"))
		})
	}
}
