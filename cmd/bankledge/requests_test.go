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

// HTTP responses of engines, complete or in part.
const (
	okHead       = "HTTP/1.1 200 OK\r\n"
	onePage      = okHead + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\n"
	onePageTwice = onePage + onePage
)

// A request has exactly one answer, and a correct one, whatever its engine responds.
func TestRequestOutcomes(t *testing.T) {
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
		{"a result of one page", "lookup", map[string][]step{"POST": {respondResult(rows)}}, 1, 20, rows, 1, 0},
		{"an empty result", "lookup", map[string][]step{"POST": {respondResult("")}}, 1, 20, "", 1, 0},
		{"many pages after progress reports", "load", map[string][]step{"POST": {respond(202, "", "X-How", "done", "X-Num", "0.5")},
			"GET 0": {respond(202, ""), respond(202, "", "X-How", "odd"), respond(200, rows, "X-Batches", "8")},
			"GET 1": {respond(200, rows, "X-Batch", "1")}, "GET 2": {resetConnection, respond(200, rows, "X-Batch", "2")}, "GET 3": {respond(200, rows, "X-Batch", "3")},
			"GET 4": {respond(200, rows, "X-Batch", "4")}, "GET 5": {respond(200, rows, "X-Batch", "5")}, "GET 6": {respond(200, rows, "X-Batch", "6")},
			"GET 7": {respond(200, "x\ty\tz\n", "X-Batch", "7")}}, 1, 20, strings.Repeat(rows, 7) + "x\ty\tz\n", 1, 0},
		{"a start that the engine did not run, then a result", "load", map[string][]step{"POST": {respond(503, "", "X-Unrun", "1"), respondResult("one\n")}}, 1, 20, "one\n", 2, 0},
		{"a connection reset after the start is followed by a poll", "load",
			map[string][]step{"POST": {resetConnection}, "GET 0": {resetConnection, respondResult("one\n")}}, 1, 20, "one\n", 1, 0},
		{"a request that may have run is not run again", "load", map[string][]step{"POST": {resetConnection}, "GET 0": {respond(500, "")}}, 2, 51, "", 1, 0},
		{"a non-idempotent request ends with an error", "load", map[string][]step{"POST": {respond(500, "")}}, 2, 51, "", 1, 0},
		{"503 without confirmation that nothing ran", "load", map[string][]step{"POST": {respond(503, "")}}, 2, 51, "", 1, 1},
		{"an idempotent request is attempted at another engine", "lookup", map[string][]step{"POST": {respond(500, "")}}, 2, 20, "two", -1, 0},
		{"a page that is missing", "load", map[string][]step{"POST": {respond(200, rows, "X-Batches", "2")}, "GET 1": {respond(500, "")}}, 1, 51, "", 1, 1},
		{"a page with the number of another page", "load", map[string][]step{"POST": {respond(200, rows, "X-Batches", "2")},
			"GET 1": {respond(200, rows, "X-Batch", "2")}}, 1, 51, "", 1, 1},
		{"an incomplete row", "load", map[string][]step{"POST": {respondResult("a\tb")}, "GET 0": {respondResult("a\tb")}}, 1, 51, "", 1, 1},
		{"a result above the maximum size", "load", map[string][]step{"POST": {respond(200, rows, "X-Batches", "10")},
			"GET 1": {respondPage(rows)}, "GET 2": {respondPage(rows)}, "GET 3": {respondPage(rows)}, "GET 4": {respondPage(rows)}, "GET 5": {respondPage(rows)},
			"GET 6": {respondPage(rows)}, "GET 7": {respondPage(rows)}, "GET 8": {respondPage(rows)}, "GET 9": {respondPage(rows)}}, 1, 51, "", 1, 1},
		{"a page above the maximum size", "load", map[string][]step{"POST": {respondResult(strings.Repeat("a\tb\tc\n", 1100))}, "GET 0": {respondResult("one\n")}}, 1, 20, "one\n", 1, 0},
		{"an invalid response, then a poll with a result", "load", map[string][]step{"POST": {respondRaw("so what\r\n\r\n")}, "GET 0": {respondResult("one\n")}}, 1, 20, "one\n", 1, 0},
		{"only invalid responses", "load", map[string][]step{"POST": {respondRaw("so what\r\n\r\n")}, "GET 0": {respondRaw("so what\r\n\r\n")}}, 1, 51, "", 1, 1},
		{"a truncated page", "load", map[string][]step{"POST": {respond(200, rows, "X-Batches", "2")},
			"GET 1": {respondRaw(okHead + "X-Batch: 1\r\nContent-Length: 8\r\n\r\none\n"), respond(200, "one\n", "X-Batch", "1")}}, 1, 20, rows + "one\n", 1, 0},
		{"a page that is sent only at the second request", "load", map[string][]step{"POST": {respond(200, rows, "X-Batches", "2")},
			"GET 1": {hang, respond(200, "one\n", "X-Batch", "1")}}, 1, 20, rows + "one\n", 1, 0},
		{"a page without a length", "load", map[string][]step{"POST": {respondRaw(okHead + "X-Batches: 1\r\n\r\none\n")}, "GET 0": {respondResult("one\ntwo\n")}},
			1, 20, "one\ntwo\n", 1, 0},
		{"a Content-Length of 3 GB", "load", map[string][]step{"POST": {respondRaw(okHead + "X-Batches: 1\r\nContent-Length: 3000000000\r\n\r\none\n")}, "GET 0": {respondResult("one\n")}},
			1, 20, "one\n", 1, 0},
		{"a Content-Length that is too short", "load", map[string][]step{"POST": {respondRaw(okHead + "X-Batches: 1\r\nContent-Length: 4\r\n\r\none\ntwo\n")},
			"GET 0": {respondResult("one\ntwo\n")}}, 1, 20, "one\ntwo\n", 1, 0},
		{"each response is sent twice", "load", map[string][]step{"POST": {respondRaw(onePageTwice)}, "GET 0": {respondRaw(onePageTwice)}}, 1, 20, "one\n", 1, 0},
		{"interim responses first", "load", map[string][]step{"POST": {respondRaw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" +
			onePage)}}, 1, 20, "one\n", 1, 0},
		{"an unknown status", "load", map[string][]step{"POST": {respond(418, "")}, "GET 0": {respond(299, ""), respondResult("one\n")}}, 1, 20, "one\n", 1, 0},
		{"an idempotent request at an engine that does not respond", "lookup", map[string][]step{"POST": {hang}, "GET 0": {hang}, "DELETE": {respond(204, "")}}, 2, 20, "two", -1, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			one := newEngine(t, "one", c.script)
			engines := []*engine{one}
			if c.engines == 2 {
				engines = append(engines, newEngine(t, "two", map[string][]step{"POST": {respondResult("two\n")}}))
			}
			conn := dial(t, startRouter(t, longDeadlineConfig(newControl(t), engines...)))
			// The hash may choose either engine, so requests of other table groups follow until the first engine has received one.
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

// Streams of one connection are independent, whatever the order of their answers.
func TestStreamsAreIndependent(t *testing.T) {
	second := make(chan struct{})
	e := newEngine(t, "one", map[string][]step{"POST": {respond(202, ""), respondResult("second\n")}, "GET 0": {respondAfter(second, respondResult("first\n"))}})
	r := startRouter(t, longDeadlineConfig(newControl(t), e))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1))
	assert.Equal(t, "POST lookup SELECT * FROM sales_1.orders", e.await(t, "POST"))
	for _, b := range fakes.Frame(frameStatement, 2, statement("lookup", 2)) { // a frame that is sent byte by byte
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	c.expect(answer(2, codeCompleted, "second\n"))
	c.send(frameStatement, 3, statement("lookup", 1)) // the id of an open request
	c.expect(answer(3, codeRejected, "id is in use"))
	close(second)
	c.expect(answer(1, codeCompleted, "first\n"))

	both := append(fakes.Frame(frameStatement, 4, statement("lookup", 4)), fakes.Frame(frameStatement, 5, statement("lookup", 5))...) // two frames in one write
	_, err := c.Write(both)
	require.NoError(t, err)
	got := map[uint32]string{}
	for range 2 {
		f := c.read()
		got[f.stream] = f.body
	}
	assert.Equal(t, map[uint32]string{4: "second\n", 5: "second\n"}, got)
}

// An attempt whose client no longer waits is cancelled at its engine.
func TestClientCancels(t *testing.T) {
	for _, c := range []struct {
		name   string
		cancel func(c *client)
	}{
		{"a cancel frame", func(c *client) { c.send(frameCancel, 1, "") }},
		{"the end of the connection", func(c *client) { c.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			never := make(chan struct{})
			e := newEngine(t, "one", map[string][]step{"POST": {respond(202, ""), respondResult("next\n")}, "GET 0": {respondAfter(never, nil)}})
			r := startRouter(t, longDeadlineConfig(newControl(t), e))
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
