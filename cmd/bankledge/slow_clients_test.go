package main

import (
	"fmt"
	"os/exec"
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
)

// slowClientFixture is a router with 48 MB and 512 descriptors and two simulated engines. Lookups have short results, and reports
// have results of 48,000 bytes.
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

func (b *slowClientFixture) statementFields(workload string) map[string]string {
	return map[string]string{"c": workload, "i": fmt.Sprintf("%016x", b.sent.Add(1)), "d": "15000", "t": "x", "h": "2", "heap_mb": "8"}
}

// runLookups lets each client send one lookup after the other until stop is closed. It returns the sorted durations of the completed answers
// and the number of each other result.
func (b *slowClientFixture) runLookups(t *testing.T, clients int, stop <-chan struct{}) (took []time.Duration, failures map[string]int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	failures = map[string]int{}
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
				a := <-c.Send(b.statementFields("lookup"), "select a from sales_1.b where id = 1")
				mu.Lock()
				if a.Took > 50*time.Millisecond {
					late[time.Since(began).Round(time.Second)]++
				}
				if a.Err != nil || a.Code != downstream.CodeCompleted {
					failures[fmt.Sprint(a.Code, a.Body, a.Err)]++
				} else {
					took = append(took, a.Took)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(took)
	return took, failures
}

// Slow readers of several kinds run concurrently with fast clients. Those below the minimum rate are disconnected with a last
// answer within grace and window, those above it receive every answer completely, and fast clients lose nothing.
func TestSlowReaders(t *testing.T) {
	b := startSlowClientFixture(t, builtProgram)
	const reports = 6
	group := func(n int, rate int64) (peers []*fakes.SlowReader) {
		for range n {
			s, err := fakes.DialSlow(b.address, rate)
			require.NoError(t, err)
			peers = append(peers, s)
			for stream := range uint32(reports) {
				require.NoError(t, s.Send(stream+1, b.statementFields("report"), "select a, count(*) from sales_1.b where d > 1 group by a"))
			}
		}
		return peers
	}
	began := time.Now()
	slow, silent, steady, pausing := group(4, 200), group(2, 0), group(2, 50_000), group(2, 50_000)
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
		took, failures := b.runLookups(t, 4, stop)
		assert.Empty(t, failures, "fast clients lose nothing")
		assert.NotEmpty(t, took)
	})
	require.Eventually(t, func() bool { // until all six readers below the minimum rate are released
		return strings.Contains(b.log.String(), `"total":6`) || strings.Contains(b.log.String(), `"slow_clients_released":6`)
	}, 25*time.Second, 20*time.Millisecond)
	assert.Less(t, time.Since(began), 22*time.Second, "the metrics in the log may report it five seconds late")
	close(stop)
	fast.Wait()
	for _, s := range append(slow, silent...) { // reads the data in flight, so that the end of the connection is noticed
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
	for _, s := range append(steady, pausing...) {
		s.Close()
		answers := s.Answers()
		assert.Equal(t, map[byte]int{codeCompleted: reports}, answers.ByCode)
		assert.Len(t, answers.ByStream, reports)
		assert.Greater(t, answers.Bytes, reports*47_200)
	}
	group(2, 0) // stalled when the router shuts down: it exits nevertheless, and no earlier connection is left
	b.stop(t)
	b.awaitExit(t)
}

// A client that writes a frame too slowly is disconnected soon after the grace, with the reason. A large frame at the minimum rate is received
// completely.
func TestSlowWriters(t *testing.T) {
	b := startSlowClientFixture(t, builtProgram)
	slowWriter := dial(t, b.routerProcess)
	go func() {
		for _, c := range fakes.Frame(frameStatement, 1, strings.Repeat("x", 200)) { // 10 bytes a second
			if _, err := slowWriter.Write([]byte{c}); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	began := time.Now()
	slowWriter.expect(answer(0, codeAborted, "the frame did not come whole in time"))
	assert.Less(t, time.Since(began), 4*time.Second)
	large := dial(t, b.routerProcess)
	request := fakes.Frame(frameStatement, 1, fakes.Payload(b.statementFields("report"), "select a from sales_1.b -- "+strings.Repeat("x", 200_000)))
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
