package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

// startWith starts the program with settings of one's own and waits until it is ready.
func startWith(t *testing.T, settings string, engines ...*engine) *router {
	var members []string
	for _, e := range engines {
		members = append(members, member(e, "active"))
	}
	return startOn(t, newControl(t), settings, members...)
}

// startOn is the same with engines as the control feed told of them.
func startOn(t *testing.T, f *fakes.ControlFeed, settings string, members ...string) *router {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, fakes.Config(f.Server.Listener.Addr().String(), settings, 64, 256, members...), 0o600))
	r := &router{cmd: exec.Command(program, "serve"), config: path, log: &lockedLog{}, ended: make(chan error, 1)}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	r.run(t)
	c, err := fakes.Dial(r.listen)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(patience))
	return r
}

// holdUp stops the program, and returns when none of its threads runs any more.
func (r *router) holdUp(t *testing.T) {
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", r.cmd.Process.Pid))
		require.NoError(t, err)
		for _, thread := range threads {
			stat, err := os.ReadFile(thread)
			if _, rest, ok := strings.Cut(string(stat), ") "); err == nil && ok && rest[0] != 'T' { // one that has ended has none
				return false
			}
		}
		return len(threads) > 0
	}, patience, time.Millisecond)
}

// shortest are settings of which every time is shorter than what a stop leaves to late comers.
var shortest = strings.NewReplacer("15000000,\"gain", "150000,\"gain", "25000000,\"gain", "180000,\"gain", "4000000,\"gain", "180000,\"gain").Replace(fakes.Settings)

// With statement timeouts far below what a stop leaves to late comers, all that is sent within 0.6 s of SIGTERM has its answer, on connections
// from before and on new ones.
func TestStopWithShortTimeouts(t *testing.T) {
	require.Contains(t, shortest, `"deadline":180000,"gain":10`)
	const granted = 600 * time.Millisecond
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := startWith(t, shortest, e)
	go func() { // it is heard thousands of times
		for range e.Calls() {
		}
	}()
	var wait sync.WaitGroup
	var mu sync.Mutex
	began, answered := time.Time{}, 0
	old := make([]net.Conn, 4)
	for i := range old {
		old[i] = dial(t, r)
	}
	began = time.Now()
	r.stop(t)
	for n, c := range append(old, make([]net.Conn, 4)...) {
		wait.Go(func() {
			for i := range 1000 {
				if c == nil || n >= len(old) { // a new connection for each
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", r.listen); err != nil {
						assert.Greater(t, time.Since(began), granted)
						return
					}
				}
				sent := time.Since(began)
				text := statement("lookup", n*1000+i, "d", "180", "t", "-")
				_, err := c.Write(fakes.Frame(7, uint32(i+1), text))
				for reader := bufio.NewReader(c); err == nil; {
					var kind byte
					if kind, _, _, _, err = fakes.ReadFrame(reader); kind == 8 {
						break
					}
				}
				if err != nil {
					assert.Greater(t, sent, granted, "sent in time and not answered: %v", err)
					return
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	r.awaitEnd(t)
	assert.Positive(t, answered)
	t.Log(answered, "answers; ended after", time.Since(began))
}

// Half of the engines hang when the sign comes, and it comes twice, with a reload between: a statement of which the last byte comes after the
// sign is answered, what may have run is aborted, each once and before the connection ends.
func TestStopWhileEnginesHang(t *testing.T) {
	hung := newEngine(t, "hung", map[string][]step{"POST": {says(202, "")}, "GET 0": {silent}, "DELETE": {silent}})
	well := newEngine(t, "well", map[string][]step{"POST": {says(202, "")}, "GET 0": {silent}, "DELETE": {says(204, "")}})
	settings := strings.NewReplacer("15000000,\"gain", "900000,\"gain", "25000000,\"gain", "900000,\"gain", "4000000,\"gain", "900000,\"gain").Replace(fakes.Settings)
	r := startWith(t, settings, hung, well)
	c := dial(t, r)
	const n = 16
	for stream := range uint32(n) {
		c.send(7, stream+1, statement("price-load", int(stream), "d", "20000", "t", "-"))
	}
	for out := 0; out < 2; { // some are out at either
		select {
		case <-hung.Calls():
			out++
		case <-well.Calls():
			out++
		case <-time.After(patience):
			t.Fatal("nothing is sent")
		}
	}
	well.Script(map[string][]step{"POST": {done("late\n")}, "GET 0": {silent}, "DELETE": {says(204, "")}})
	late := dial(t, r)
	frame := fakes.Frame(7, 1, statement("lookup", 100, "d", "900", "t", "-"))
	_, err := late.Write(frame[:len(frame)-1])
	require.NoError(t, err)
	r.stop(t)
	kind, _, _, _ := late.read() // the sign has come
	require.Equal(t, byte(3), kind)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	_, err = late.Write(frame[len(frame)-1:])
	require.NoError(t, err)
	for { // its answer, whatever it is, and no second one
		kind, stream, _, _, err := fakes.ReadFrame(late.r)
		require.NoError(t, err)
		if kind == 8 {
			assert.Equal(t, uint32(1), stream)
			break
		}
	}
	answers := map[uint32]byte{}
	for {
		kind, stream, code, _, err := fakes.ReadFrame(c.r)
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "an end, no reset")
			break
		}
		if kind == 8 {
			require.NotContains(t, answers, stream)
			answers[stream] = code
		}
	}
	assert.Len(t, answers, n)
	assert.Contains(t, fmt.Sprint(answers), "51", "what may have run is aborted")
	r.awaitEnd(t)
	assert.Equal(t, 1, strings.Count(r.log.String(), `"msg":"stopping"`))
	assert.Equal(t, 1, strings.Count(r.log.String(), "configuration read again"))
}

// What waits in the accept backlog or in an accepted connection's buffer when the sign comes is answered.
func TestStopWithStatementsNotReadYet(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := startWith(t, fakes.Settings, e)
	r.holdUp(t) // neither read nor accepted from here on
	var conns []*client
	for i := range 20 {
		c := dial(t, r)
		c.send(7, 1, statement("lookup", i, "t", "-"))
		conns = append(conns, c)
	}
	r.stop(t)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGCONT))
	for _, c := range conns {
		for {
			kind, _, code, body := c.read()
			if kind == 8 {
				assert.Equal(t, []any{byte(20), "fine\n"}, []any{code, body})
				break
			}
		}
	}
	r.awaitEnd(t)
}

// The router is held up from just after the sign until no new statement would be taken any more: what came in time, on connections from
// before and on such as were not accepted yet, is answered all the same.
func TestStopThatIsHeldUp(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := startWith(t, fakes.Settings, e)
	var conns []*client
	for range 10 {
		conns = append(conns, dial(t, r))
	}
	r.stop(t)
	signed := time.Now()
	for kind := byte(0); kind != 3; { // the sign has come
		kind, _, _, _ = conns[0].read()
	}
	r.holdUp(t)
	for i := range 30 {
		if i >= len(conns) {
			conns = append(conns, dial(t, r))
		}
		conns[i].send(7, 1, statement("lookup", i, "t", "-"))
	}
	<-time.After(time.Until(signed.Add(1100 * time.Millisecond))) // its clock is past the second in which it takes new connections
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGCONT))
	for _, c := range conns {
		for {
			kind, _, code, body, err := fakes.ReadFrame(c.r)
			require.NoError(t, err, "an end, and no answer")
			if kind == 8 {
				assert.Equal(t, []any{byte(20), "fine\n"}, []any{code, body})
				break
			}
		}
	}
	r.awaitEnd(t)
}

// What lay unread while the router was held up for longer than its client waits is not sent on when it runs again: nobody waits for it.
func TestNothingIsSentOnForWhoWaitedWhileTheRouterStood(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := startWith(t, fakes.Settings, e)
	c := dial(t, r)
	c.send(7, 1, statement("lookup", 1, "t", "-"))
	c.answer(1, 20, "fine\n")
	r.holdUp(t)
	c.send(7, 2, statement("lookup", 2, "d", "500", "t", "-"))
	c.send(7, 3, statement("lookup", 3, "d", "20000", "t", "-"))
	<-time.After(time.Second) // which the router stands: longer than the one client waits, and not the other
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGCONT))
	codes := map[uint32]byte{}
	for range 2 {
		_, stream, code, _ := c.read()
		codes[stream] = code
	}
	assert.Equal(t, map[uint32]byte{2: 50, 3: 20}, codes)
	assert.Equal(t, 2, e.CallCount("POST"))
	r.stop(t)
	r.awaitEnd(t)
}

// An engine begins to drain while the router stands: what lay unread meanwhile, and comes to be decided at the same instant as the list, does
// not go there.
func TestAListThatCameWhileTheRouterStood(t *testing.T) {
	f, done := newControl(t), map[string][]step{"POST": {done("fine\n")}}
	drains, well := newEngine(t, "drains", done), newEngine(t, "well", done)
	r := start(t, f, 256, drains)
	c := dial(t, r)
	c.send(7, 1, statement("lookup", 1))
	c.answer(1, 20, "fine\n")
	const n = 30
	for round := range uint32(3) {
		r.holdUp(t)
		phases, before := []string{"leaving", "active"}, drains.CallCount("POST")
		if round == 1 {
			phases, before = []string{"active", "leaving"}, well.CallCount("POST")
		}
		members := []string{member(drains, phases[0]), member(well, phases[1])}
		for i := range 500 { // which takes its time to read
			members = append(members, fakes.Member(fmt.Sprint("other ", i), fmt.Sprint("127.0.0.1:", 1+i), "leaving"))
		}
		f.Events <- fmt.Sprintf("id: %d\ndata: {\"n\":%d,\"members\":{\"members\":[%s]}}\n\n", round+2, round+2, strings.Join(members, ","))
		f.Events <- ":\n" // once this is taken the one before is written
		require.Eventually(t, func() bool { return len(f.Events) == 0 }, patience, time.Millisecond)
		for i := range uint32(n) {
			c.send(7, round*n+i+2, statement("lookup", int(round*n+i+2)))
		}
		<-time.After(400 * time.Millisecond) // which the router stands
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGCONT))
		for range n {
			_, _, code, body := c.read()
			require.Equal(t, []any{byte(20), "fine\n"}, []any{code, body})
		}
		after := drains.CallCount("POST")
		if round == 1 {
			after = well.CallCount("POST")
		}
		assert.Equal(t, before, after, "nothing new goes to the one that drains")
	}
}

// A connection comes up while the router stands, and its engine begins to drain: what waited for it is not sent there.
func TestAConnectionThatCameUpWhileTheRouterStood(t *testing.T) {
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	defer listener.Close()
	f, well := newControl(t), newEngine(t, "well", map[string][]step{"POST": {done("fine\n")}})
	settings := strings.Replace(fakes.Settings, `"connectTimeout":250000`, `"connectTimeout":6000000`, 1) // some come up at their third try only
	r := startOn(t, f, settings, member(well, "active"))
	f.Events <- fmt.Sprintf("id: 2\ndata: {\"n\":2,\"members\":{\"members\":[%s,%s]}}\n\n", member(well, "leaving"), fakes.Member("drains", listener.Addr().String(), "active"))
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "engine list changed") }, patience, time.Millisecond)
	c := dial(t, r)
	const n = 20
	for i := range uint32(n) {
		c.send(7, i+1, statement("report", int(i), "d", "15000"))
	}
	coming := regexp.MustCompile(fmt.Sprintf(` 0100007F:%04X 02 `, listener.Addr().(*net.TCPAddr).Port)) // as the kernel lists what has not come up
	require.Eventually(t, func() bool {                                                                  // some wait for their connections
		listed, err := os.ReadFile("/proc/net/tcp")
		require.NoError(t, err)
		return len(coming.FindAll(listed, -1)) > 4
	}, patience, time.Millisecond)
	r.holdUp(t)
	accept()
	members := []string{fakes.Member("drains", listener.Addr().String(), "leaving"), member(well, "active")}
	for i := range 500 { // which takes its time to read
		members = append(members, fakes.Member(fmt.Sprint("other ", i), fmt.Sprint("127.0.0.1:", 1+i), "leaving"))
	}
	f.Events <- fmt.Sprintf("id: 3\ndata: {\"n\":3,\"members\":{\"members\":[%s]}}\n\n", strings.Join(members, ","))
	f.Events <- ":\n" // once this is taken the one before is written
	require.Eventually(t, func() bool { return len(f.Events) == 0 }, patience, time.Millisecond)
	up, err := listener.Accept() // one has come up
	require.NoError(t, err)
	defer up.Close()
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGCONT))
	var sent atomic.Int64
	go func() { // and so may the others
		for {
			up, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := up.Read(make([]byte, 1)); n > 0 {
					sent.Add(1)
				}
				up.Close()
			}()
		}
	}()
	for range n {
		_, _, code, body := c.read()
		require.Equal(t, []any{byte(20), "fine\n"}, []any{code, body})
	}
	require.NoError(t, up.SetReadDeadline(time.Now().Add(patience)))
	n0, _ := up.Read(make([]byte, 1))
	assert.Zero(t, n0, "it was closed, and nothing came before")
	r.stop(t)
	r.awaitEnd(t)
	assert.Zero(t, sent.Load(), "connections on which something came to the one that drains")
}

// A sign that comes before the router is ready, even before it serves, ends it in the ordinary way.
func TestStopBeforeReady(t *testing.T) {
	e := newEngine(t, "gone", nil)
	e.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, fakes.Config(newControl(t).Server.Listener.Addr().String(), fakes.Settings, 64, 256, member(e, "active")), 0o600))
	r := &router{cmd: exec.Command(program, "serve"), config: path, log: &lockedLog{}, ended: make(chan error, 1)}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	r.run(t)
	c := dial(t, r)
	c.send(1, 0, "\x00")
	kind, _, code, _ := c.read()
	assert.Equal(t, []any{byte(2), byte(50)}, []any{kind, code})
	c.send(7, 1, statement("lookup", 1, "t", "-"))
	r.stop(t)
	for kind != 8 {
		kind, _, code, _ = c.read()
	}
	assert.Equal(t, byte(50), code, "it never ran")
	r.awaitEnd(t)
}
