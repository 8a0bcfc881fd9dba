package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/fakes"
	"bankledge/internal/settings"
)

const patience = 15 * time.Second // for what must happen

// running is a router in this process; its figures can be waited for.
type running struct {
	*Router
	address string
}

func run(t *testing.T, config []byte) *running {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, config, 0o600))
	cfg, err := settings.Load(path)
	require.NoError(t, err)
	r := &running{Router: New(cfg, zap.NewNop())}
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(stop, nil, nil) }()
	r.address = (<-r.Serving()).String()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return r
}

func (r *running) await(t *testing.T, what string, happened func() bool) {
	t.Helper()
	require.Eventually(t, happened, patience, time.Millisecond, what)
}

// sends writes a statement on a connection of its own.
func (r *running) sends(t *testing.T, workload, id string) net.Conn {
	c, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	fields := map[string]string{"c": workload, "i": fmt.Sprintf("%016s", id), "d": "9000", "t": "x", "h": "5", "heap_mb": "8"}
	_, err = c.Write(fakes.Frame(7, 1, fakes.Payload(fields, "select a from sales_1.b where id = "+id)))
	require.NoError(t, err)
	return c
}

// Whose client leaves while its statement waits is not sent on, wherever it waits, alone or with others that leave at once; what
// comes after it is. Its place, its text and its account are given back.
func TestWhoseClientLeftIsNotSentOn(t *testing.T) {
	leaves := map[string]func(net.Conn){
		"a frame":  func(c net.Conn) { c.Write(fakes.Frame(9, 1, "")) },
		"its end":  func(c net.Conn) { c.Close() },
		"half end": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"a reset":  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	}
	places := map[string]func(t *testing.T, clients int) (r *running, wait func(), open func() *fakes.Engine){
		"held, since no engine is ready": func(t *testing.T, clients int) (*running, func(), func() *fakes.Engine) {
			e, f := fakes.NewEngine("e", map[string][]fakes.Step{"POST": {fakes.RespondResult("fine\n")}}), fakes.NewControlFeed()
			t.Cleanup(func() { f.Close(); e.Close() })
			r := run(t, fakes.Config(f.Server.Listener.Addr().String(), fakes.Settings, 64, 256, at(e, "leaving")))
			return r, func() { r.await(t, "all are held", func() bool { return r.figures.open.Load() == int64(clients) }) },
				func() *fakes.Engine { f.Events <- change(2, at(e, "active")); return e }
		},
		"its connection is coming up": func(t *testing.T, clients int) (*running, func(), func() *fakes.Engine) {
			listener, accept, err := fakes.ListenWithFullBacklog()
			require.NoError(t, err)
			e, f := fakes.NewEngine("e", map[string][]fakes.Step{"POST": {fakes.RespondResult("fine\n")}}), fakes.NewControlFeed()
			t.Cleanup(func() { f.Close(); e.Close(); listener.Close() })
			slow := strings.Replace(fakes.Settings, `"connectTimeout":250000`, `"connectTimeout":20000000`, 1)
			r := run(t, fakes.Config(f.Server.Listener.Addr().String(), slow, 64, 256, fakes.Member("slow", listener.Addr().String(), "active")))
			return r, func() {
					r.await(t, "all are on their way", func() bool { return r.figures.executions.Load() >= min(int64(clients), 8) })
				}, func() *fakes.Engine {
					accept()
					go func() { // what comes up there now, if anything, is an engine's
						for {
							c, err := listener.Accept()
							if err != nil {
								return
							}
							go func() {
								if n, _ := c.Read(make([]byte, 4)); n > 0 {
									t.Error("something was sent where it waited")
								}
								c.Close()
							}()
						}
					}()
					<-f.LastEventIDs
					f.Events <- change(2, fakes.Member("slow", listener.Addr().String(), "leaving"), at(e, "active"))
					f.Events <- "" // asked on from there: it was taken, before what is sent now
					require.Equal(t, "2", <-f.LastEventIDs)
					return e
				}
		},
		"held again, after an execution that failed": func(t *testing.T, clients int) (*running, func(), func() *fakes.Engine) {
			fail := make(chan struct{})
			bad := fakes.NewEngine("bad", map[string][]fakes.Step{"POST": {fakes.Respond(202, "")}, "GET 0": {fakes.RespondAfter(fail, fakes.Respond(500, ""))}})
			e, f := fakes.NewEngine("e", map[string][]fakes.Step{"POST": {fakes.RespondResult("fine\n")}}), fakes.NewControlFeed()
			t.Cleanup(func() { f.Close(); e.Close(); bad.Close() })
			r := run(t, fakes.Config(f.Server.Listener.Addr().String(), fakes.Settings, 64, 256, at(bad, "active")))
			return r, func() {
				r.await(t, "some are out", func() bool { return bad.CallCount("POST") >= min(clients, 4) })
				f.Events <- change(2, at(bad, "leaving"))
				<-f.LastEventIDs
				f.Events <- "" // asked on from there: it was taken
				require.Equal(t, "2", <-f.LastEventIDs)
				close(fail)
				r.await(t, "they failed", func() bool { return r.figures.outcomes[decision.Errored].Load() >= int64(min(clients, 4)) })
			}, func() *fakes.Engine { f.Events <- change(3, at(e, "active")); return e }
		},
	}
	for place, prepare := range places {
		for how, leave := range leaves {
			for _, clients := range []int{1, 20} {
				t.Run(fmt.Sprintf("%s, %s, %d", place, how, clients), func(t *testing.T) {
					t.Parallel()
					r, wait, open := prepare(t, clients)
					var conns []net.Conn
					for i := range clients {
						conns = append(conns, r.sends(t, "lookup", fmt.Sprint(100+i)))
					}
					wait()
					for _, c := range conns {
						leave(c)
					}
					r.await(t, "all have left", func() bool { return r.figures.left.Load() == int64(clients) })
					e := open()
					c := r.sends(t, "lookup", "999")
					_, err := io.ReadFull(c, make([]byte, 9))
					require.NoError(t, err)
					select {
					case heard := <-e.Calls():
						require.Contains(t, heard, "id = 999")
					case <-time.After(patience):
						t.Fatal("nothing is sent")
					}
					assert.Equal(t, 1, e.CallCount("POST"), "nothing else was sent")
					c.Close()
					r.await(t, "all is given back", func() bool {
						_, out, texts := r.front.FlowControlStats()
						return r.figures.open.Load() == 0 && out == 0 && texts == 0
					})
				})
			}
		}
	}
}

// A deduplicated statement that may have run goes to another engine only while its first execution is remembered: where the connection
// there comes up later than that, nothing is sent, and its client hears so when the time is over.
func TestARepeatIsNotSentAfterItsWindow(t *testing.T) {
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	defer listener.Close()
	fail := make(chan struct{})
	first := fakes.NewEngine("first", map[string][]fakes.Step{"POST": {fakes.Respond(202, "")}, "GET 0": {fakes.RespondAfter(fail, fakes.Respond(500, ""))}})
	f := fakes.NewControlFeed()
	t.Cleanup(func() { f.Close(); first.Close() })
	settings := strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":20000000`,
		`"name":"lookup","idempotency":"idempotent"`, `"name":"lookup","idempotency":"deduplicated","group":"all","window":700000`).Replace(fakes.Settings)
	require.Contains(t, settings, "700000")
	r := run(t, fakes.Config(f.Server.Listener.Addr().String(), settings, 64, 256, at(first, "active")))
	c := r.sends(t, "lookup", "1")
	r.await(t, "it is out", func() bool { return first.CallCount("POST") == 1 })
	f.Events <- change(2, at(first, "leaving"), fakes.Member("slow", listener.Addr().String(), "active"))
	<-f.LastEventIDs
	f.Events <- "" // asked on from there: it was taken
	require.Equal(t, "2", <-f.LastEventIDs)
	close(fail)
	r.await(t, "it goes again", func() bool { return r.figures.executions.Load() == 2 })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience/3))) // well before its client gives up
	kind, _, code, _, err := fakes.ReadFrame(bufio.NewReader(c))
	require.NoError(t, err)
	assert.Equal(t, []byte{8, 50}, []byte{kind, code}, "who drops its repeats may be asked again")
	accept()
	go func() {
		for {
			up, err := listener.Accept()
			if err != nil {
				return
			}
			if n, _ := up.Read(make([]byte, 1)); n > 0 {
				t.Error("it was sent after its window")
			}
		}
	}()
	r.await(t, "all has ended", func() bool {
		return r.figures.outcomes[decision.NotSent].Load() == 1 && r.figures.open.Load() == 0
	})
}

func at(e *fakes.Engine, phase string) string {
	return fakes.Member(e.ID, e.Server.Listener.Addr().String(), phase)
}

func change(n int, members ...string) string {
	return fmt.Sprintf("id: %d\ndata: {\"n\":%d,\"members\":{\"members\":[%s]}}\n\n", n, n, strings.Join(members, ","))
}

// A stop leaves what may still come its whole time and ends before the router would be killed, however short the statement timeouts.
func TestAStopLeavesTheTimeThatIsGranted(t *testing.T) {
	const comes, kill = 600 * time.Millisecond, 700 * time.Millisecond // after SIGTERM; after that and the longest statement timeout, 3 s at most
	for _, longest := range []time.Duration{0, 20 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, 25 * time.Second} {
		p := planStop([]decision.Workload{{StatementTimeout: longest / 2}, {StatementTimeout: longest}})
		counts := min(longest, stopMost)
		assert.GreaterOrEqual(t, p.end, comes+counts, "what comes last has its time, %v", longest)
		assert.Less(t, p.end, counts+kill, "%v", longest)
		assert.LessOrEqual(t, p.giveUp, p.end)
		if longest > stopMost {
			assert.GreaterOrEqual(t, p.end-p.giveUp, 100*time.Millisecond, "for the answers")
		}
		assert.False(t, p.over(comes-time.Millisecond, true), "something may still come")
		assert.False(t, p.over(p.end, false))
		assert.True(t, p.over(p.end+1, false))
		assert.True(t, p.over(max(lateComers, p.end)+1, true))
	}
}
