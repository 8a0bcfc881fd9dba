//go:build review

package main

import (
	"strings"
	"time"
)

// Figures of the case slow-writers.
const (
	slowWriters    = 80      // a quarter of the connections that clients may hold: a third of 1,024 descriptors
	slowFrameBytes = 250_000 // of a slow writer's statement; a frame holds 262,144 at most
	slowPieceBytes = 2_500   // written every slowPieceEvery: 25,000 bytes a second
	slowPieceEvery = 100 * time.Millisecond
	soundStatement = 40_000 // bytes of a sound client's statement
	soundClients   = 20
	statementLimit = 6 * time.Second
	// lostAfter is the time after a statement's own time from which its answer counts as lost.
	lostAfter = 500 * time.Millisecond
)

func init() { cases["slow-writers"] = slowWritersCase }

// slowWritersCase has some clients write large statements slowly. Others send complete statements meanwhile, each of which must be answered.
func slowWritersCase(w *world) (broken int, err error) {
	sql, err := w.startEngine("s-1", 50*time.Millisecond)
	if err != nil {
		return 0, err
	}
	feed, err := w.startFeed("\n", 0)
	if err != nil {
		return 0, err
	}
	r, err := w.startRouter(routerConfig{name: "n1", feed: feed.address(), engines: []*engine{sql}, memoryMB: 192, sockets: 1024,
		graceMS: 250, classes: []class{{"lookup", "idempotent", 6000}}})
	if err != nil {
		return 0, err
	}
	if w.trouble {
		for range slowWriters {
			slow, err := dialRouter(r.address)
			if err != nil {
				return 0, err
			}
			defer slow.close()
			go writeSlowly(slow)
		}
		w.note("%d clients began to write statements of %d bytes, %d bytes every %v", slowWriters, slowFrameBytes, slowPieceBytes, slowPieceEvery)
	}
	time.Sleep(time.Second)
	for i := range soundClients {
		if lost, err := sendSoundStatement(w, r, i); err != nil {
			return 0, err
		} else if lost {
			broken++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return broken, nil
}

// writeSlowly writes a large statement in pieces, until it is complete or the connection ends.
func writeSlowly(c *client) {
	stream, _ := c.open()
	_, raw := statementFrame(stream, "lookup", statementLimit, "select '"+strings.Repeat("x", slowFrameBytes)+"'")
	for len(raw) > 0 {
		n := min(len(raw), slowPieceBytes)
		if c.write(raw[:n]) != nil {
			return
		}
		raw = raw[n:]
		time.Sleep(slowPieceEvery)
	}
}

// sendSoundStatement sends one statement whole on a new connection, waits for its answer and reports whether the statement was lost.
func sendSoundStatement(w *world, r *router, i int) (lost bool, err error) {
	c, err := dialRouter(r.address)
	if err != nil {
		return false, err
	}
	defer c.close()
	id, channel, err := c.send("lookup", statementLimit, "select a from sales_1.t where b = '"+strings.Repeat("x", soundStatement)+"'")
	if err != nil {
		w.note("client %d: %s could not be written whole: %v", i, id, err) // then the router has not taken it
		return false, nil
	}
	sent := time.Now()
	w.noteAt(sent, "client %d: %s written whole", i, id)
	select {
	case a := <-channel:
		if a.err == nil {
			w.noteAt(a.at, "client %d: %s answered with code %d", i, id, a.code)
			return false, nil
		}
		w.noteAt(a.at, "client %d: %s LOST: the connection ended with no answer: %v; error on stream 0: %q", i, id, a.err, c.errorOfConnection())
	case <-time.After(statementLimit + lostAfter):
		w.note("client %d: %s LOST: no answer; error on stream 0: %q", i, id, c.errorOfConnection())
	}
	return true, nil
}
