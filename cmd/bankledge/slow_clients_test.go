package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/downstream"
	"bankledge/internal/fakes"
	"bankledge/internal/logevent"
)

// slowClientFixture is a router of 48 MB and 512 descriptors before two modelled engines: lookups have short results, reports of
// 48,000 bytes.
type slowClientFixture struct {
	*routerProcess
	sent atomic.Int64
}

func startSlowClientFixture(t *testing.T, binary string) *slowClientFixture {
	t.Helper()
	var members []string
	for i := range 2 {
		e := fakes.NewSimulatedEngine(64, func(string, string) (time.Duration, int) { return 2 * time.Millisecond, 1 })
		e.Rows = func(workload string) int {
			if workload == "report" {
				return 800
			}
			return 0
		}
		t.Cleanup(e.Close)
		members = append(members, fakes.Member(fmt.Sprint("e", i), e.Server.Listener.Addr().String(), "active"))
	}
	config := routerConfig{feed: newControl(t), settings: fakes.Settings, memoryMB: 48, sockets: 512, members: members}
	r := startProcess(t, exec.Command(binary, "serve"), config)
	r.awaitReady(t)
	return &slowClientFixture{routerProcess: r}
}

func (b *slowClientFixture) fields(workload string) map[string]string {
	return map[string]string{"c": workload, "i": fmt.Sprintf("%016x", b.sent.Add(1)), "d": "15000", "t": "x", "h": "2", "heap_mb": "8"}
}

// fast has clients look up, one request after the other, until stop; it returns the times taken and what was no completed answer.
func (b *slowClientFixture) fast(t *testing.T, clients int, stop <-chan struct{}) (took []time.Duration, others map[string]int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	others = map[string]int{}
	late, began := map[time.Duration]int{}, time.Now()
	defer func() { t.Logf("over 50 ms, by second: %v", late) }()
	for range clients {
		c, err := fakes.Dial(b.address)
		require.NoError(t, err)
		wait.Go(func() {
			defer c.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				a := <-c.Send(b.fields("lookup"), "select a from sales_1.b where id = 1")
				mu.Lock()
				if a.Took > 50*time.Millisecond {
					late[time.Since(began).Round(time.Second)]++
				}
				if a.Err != nil || a.Code != downstream.CodeCompleted {
					others[fmt.Sprint(a.Code, a.Body, a.Err)]++
				} else {
					took = append(took, a.Took)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(took)
	return took, others
}

func at(took []time.Duration, q float64) time.Duration { return took[int(q*float64(len(took)-1))] }

// 150 readers of 200 bytes a second, each with 32 reports open, beside fast clients. By hand: BANKLEDGE_BINARIES is a list of
// programs to compare.
func TestManySlowReaders(t *testing.T) {
	const readers = 150
	binaries := os.Getenv("BANKLEDGE_BINARIES")
	if binaries == "" {
		t.Skip("by hand: BANKLEDGE_BINARIES names programs to compare")
	}
	for _, binary := range strings.Split(binaries, ":") {
		b := startSlowClientFixture(t, binary)
		alone := make(chan struct{})
		time.AfterFunc(4*time.Second, func() { close(alone) })
		calm, _ := b.fast(t, 8, alone)
		before := resident(t, b.routerProcess)
		var slow []*fakes.SlowReader
		for range readers {
			s, err := fakes.DialSlow(b.address, 200)
			require.NoError(t, err)
			slow = append(slow, s)
			for stream := range uint32(32) {
				require.NoError(t, s.Send(stream+1, b.fields("report"), "select a, count(*) from sales_1.b where d > 1 group by a"))
			}
		}
		stop, peak := make(chan struct{}), int64(0)
		released, began := 0, time.Now()
		go func() {
			for time.Since(began) < 16*time.Second {
				peak = max(peak, residentKB(b.routerProcess))
				time.Sleep(100 * time.Millisecond)
			}
			close(stop)
		}()
		took, others := b.fast(t, 8, stop)
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.cmd.Process.Pid))
		t.Logf("CPU ticks, user and system: %v", strings.Fields(string(stat))[13:15])
		released = strings.Count(b.log.String(), logevent.SlowClientDisconnected)
		var metrics string
		for _, line := range strings.Split(b.log.String(), "\n") {
			if strings.Contains(line, logevent.Metrics) {
				metrics = line
			}
		}
		t.Logf("%s: lookups alone p50 %v p99 %v (%d); beside %d slow readers p50 %v p99 %v (%d), others %v; lines of release %d", filepath.Base(binary), at(calm, 0.5), at(calm, 0.99), len(calm),
			readers, at(took, 0.5), at(took, 0.99), len(took), others, released)
		t.Logf("resident before %s, peak %d kB; %s", before, peak, metrics)
		ends, withAllAnswers := 0, 0
		answers := map[byte]int{}
		for _, s := range slow { // those that the router has ended have its last words on the way behind what they have not read
			s.SetRate(1 << 30)
		}
		late := time.After(2 * time.Second)
		for _, s := range slow {
			select {
			case <-s.Ended():
				ends++
			case <-late:
				s.Close()
			}
			received := s.Answers()
			for stream, n := range received.ByStream {
				assert.Equal(t, 1, n, "stream %d has one answer", stream)
			}
			if len(received.ByStream) == 32 {
				withAllAnswers++
			}
			for code, n := range received.ByCode {
				answers[code] += n
			}
		}
		t.Logf("%d of %d slow readers were released within 16 s; answers %v; %d have an answer to each request", ends, readers, answers, withAllAnswers)
	}
}

// Slow peers of all kinds beside fast clients: those below the least rate end with a last answer each within grace and
// window, those above it get every answer complete, and fast clients lose nothing.
func TestSlowReaders(t *testing.T) {
	b := startSlowClientFixture(t, builtProgram)
	const reports = 6
	group := func(n int, rate int64) (peers []*fakes.SlowReader) {
		for range n {
			s, err := fakes.DialSlow(b.address, rate)
			require.NoError(t, err)
			peers = append(peers, s)
			for stream := range uint32(reports) {
				require.NoError(t, s.Send(stream+1, b.fields("report"), "select a, count(*) from sales_1.b where d > 1 group by a"))
			}
		}
		return peers
	}
	began := time.Now()
	slow, silent, honest, pausing := group(4, 200), group(2, 0), group(2, 50_000), group(2, 50_000)
	time.AfterFunc(time.Second, func() {
		for _, s := range pausing {
			s.SetRate(0)
		}
	})
	time.AfterFunc(4*time.Second, func() {
		for _, s := range pausing {
			s.SetRate(50_000)
		}
	})
	stop := make(chan struct{})
	var fast sync.WaitGroup
	fast.Go(func() {
		took, others := b.fast(t, 4, stop)
		assert.Empty(t, others, "fast clients lose nothing by it")
		assert.NotEmpty(t, took)
	})
	require.Eventually(t, func() bool { // the last of the six
		return strings.Contains(b.log.String(), `"total":6`) || strings.Contains(b.log.String(), `"slow_clients_released":6`)
	}, 25*time.Second, 20*time.Millisecond)
	assert.Less(t, time.Since(began), 22*time.Second, "the log's figures may tell of it five seconds late")
	close(stop)
	fast.Wait()
	for _, s := range append(slow, silent...) { // what is on its way is read; then the connection is seen to have ended
		s.SetRate(1 << 30)
		select {
		case <-s.Ended():
		case <-time.After(testTimeout):
			t.Fatal("a slow reader was not released")
		}
		answers := s.Answers()
		for stream, n := range answers.ByStream {
			assert.Equal(t, 1, n, "stream %d has one answer", stream)
		}
	}
	for _, s := range append(honest, pausing...) {
		s.Close()
		answers := s.Answers()
		assert.Equal(t, map[byte]int{codeCompleted: reports}, answers.ByCode)
		assert.Len(t, answers.ByStream, reports)
		assert.Greater(t, answers.Bytes, reports*47_200)
	}
	group(2, 0) // stalled when the router stops: it ends all the same, and no connection of those before is left
	b.stop(t)
	b.awaitEnd(t)
}

// A writer that trickles is disconnected soon after its grace, with the reason; a large frame at the least rate is received completely.
func TestSlowWriters(t *testing.T) {
	b := startSlowClientFixture(t, builtProgram)
	trickle := dial(t, b.routerProcess)
	go func() {
		for _, c := range fakes.Frame(frameStatement, 1, strings.Repeat("x", 200)) { // 10 bytes a second
			if _, err := trickle.Write([]byte{c}); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	began := time.Now()
	trickle.expect(answer(0, codeAborted, "the frame did not come whole in time"))
	assert.Less(t, time.Since(began), 4*time.Second)
	large := dial(t, b.routerProcess)
	request := fakes.Frame(frameStatement, 1, fakes.Payload(b.fields("report"), "select a from sales_1.b -- "+strings.Repeat("x", 200_000)))
	for len(request) > 0 { // 50,000 bytes a second, for four seconds
		n := min(len(request), 5_000)
		_, err := large.Write(request[:n])
		require.NoError(t, err)
		request = request[n:]
		time.Sleep(100 * time.Millisecond)
	}
	got := large.read()
	assert.Equal(t, answer(1, codeCompleted, got.body), got)
	assert.Len(t, got.body, 47_200)
}

func residentKB(r *routerProcess) (kb int64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	if i := strings.Index(string(status), "VmRSS:"); i >= 0 {
		fmt.Sscan(string(status[i+6:]), &kb)
	}
	return kb
}
