package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/logevent"
)

// measuredBinaries returns the router binaries that a measurement compares, such as those of this version and an earlier one.
// Measurements are run by hand only: without binaries to compare, the test is skipped.
func measuredBinaries(t *testing.T) []string {
	t.Helper()
	binaries := os.Getenv("BANKLEDGE_BINARIES")
	if binaries == "" {
		t.Skip("run by hand: BANKLEDGE_BINARIES lists the binaries to compare")
	}
	return strings.Split(binaries, ":")
}

// Measures the resident memory of a router with 32 MB and 256 descriptors, idle and after 20,000 requests of 300 fingerprints.
func TestResidentMemory(t *testing.T) {
	for _, binary := range measuredBinaries(t) {
		measureResidentMemory(t, binary)
	}
}

func measureResidentMemory(t *testing.T, binary string) {
	t.Helper()
	e := fakes.NewSimulatedEngine(64, func(string, string) (time.Duration, int) { return 100 * time.Microsecond, 1 })
	defer e.Close()
	feed := fakes.NewControlFeed()
	defer feed.Close()
	config := routerConfig{feed: feed, settings: fakes.Settings, memoryMB: 32, sockets: 256,
		members: []string{fakes.Member("e", e.Server.Listener.Addr().String(), "active")}}
	began := time.Now()
	r := startProcess(t, exec.Command(binary, "serve"), config)
	c, err := fakes.Dial(r.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(testTimeout))
	ready := time.Since(began)
	idle := residentMemory(t, r)
	mix := fakes.NewMix(1, fakes.MixOptions{RecurringFingerprints: 300, EstimateErrorFactor: 1})
	send := func(id string) <-chan fakes.Answer {
		item := mix.Next()
		return c.Send(map[string]string{"c": fakes.Workloads()[item.Declared].Name, "i": id, "d": "4000", "t": "x", "h": "0.1", "heap_mb": "8"}, string(item.Text))
	}
	<-send("ffffffffffffffff")
	answered := time.Since(began)
	var wait sync.WaitGroup
	inFlight := make(chan struct{}, 24)
	for n := range 20_000 {
		inFlight <- struct{}{}
		answer := send(fmt.Sprintf("%016x", n))
		wait.Go(func() {
			<-answer
			<-inFlight
		})
	}
	wait.Wait()
	t.Logf("%s: ready after %v, first answer after %v, idle %s, after 20,000 requests %s", binary, ready, answered, idle, residentMemory(t, r))
}

const (
	slowReaders           = 150
	reportsPerSlowReader  = 32
	slowReaderRate        = 200 // bytes a second
	slowReaderMeasurement = 16 * time.Second
)

// Measures fast clients and the router's memory while many slow readers have reports open.
func TestManySlowReaders(t *testing.T) {
	for _, binary := range measuredBinaries(t) {
		measureSlowReaders(t, binary)
	}
}

func measureSlowReaders(t *testing.T, binary string) {
	t.Helper()
	b := startSlowClientFixture(t, binary)
	stopBaseline := make(chan struct{})
	time.AfterFunc(4*time.Second, func() { close(stopBaseline) })
	baseline, _ := b.runLookups(t, 8, stopBaseline)
	before := residentMemory(t, b.routerProcess)
	readers := b.openSlowReaders(t)
	stop := make(chan struct{})
	peakKB := int64(0)
	go func() {
		for began := time.Now(); time.Since(began) < slowReaderMeasurement; time.Sleep(100 * time.Millisecond) {
			peakKB = max(peakKB, residentKB(b.routerProcess))
		}
		close(stop)
	}()
	took, failures := b.runLookups(t, 8, stop)
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.cmd.Process.Pid))
	require.NoError(t, err)
	t.Logf("CPU ticks, user and system: %v", strings.Fields(string(stat))[13:15])
	t.Logf("%s: lookups alone p50 %v p99 %v (%d); with %d slow readers p50 %v p99 %v (%d), failures %v; logged disconnections %d",
		filepath.Base(binary), quantile(baseline, 0.5), quantile(baseline, 0.99), len(baseline), slowReaders,
		quantile(took, 0.5), quantile(took, 0.99), len(took), failures, b.log.countEvent(logevent.SlowClientDisconnected))
	t.Logf("resident before %s, peak %d kB; %s", before, peakKB, b.log.lastLine(logevent.Metrics))
	logSlowReaders(t, readers)
}

func (b *slowClientFixture) openSlowReaders(t *testing.T) (readers []*fakes.SlowReader) {
	t.Helper()
	for range slowReaders {
		reader, err := fakes.DialSlow(b.address, slowReaderRate)
		require.NoError(t, err)
		readers = append(readers, reader)
		for stream := range uint32(reportsPerSlowReader) {
			require.NoError(t, reader.Send(stream+1, b.statementFields("report"), "select a, count(*) from sales_1.b where d > 1 group by a"))
		}
	}
	return readers
}

// logSlowReaders lets the readers read the rest of their data, since their last frames come after the unread data, and logs their answers.
func logSlowReaders(t *testing.T, readers []*fakes.SlowReader) {
	t.Helper()
	for _, reader := range readers {
		reader.SetRate(1 << 30)
	}
	disconnected, withAllAnswers := 0, 0
	byCode := map[byte]int{}
	late := time.After(2 * time.Second)
	for _, reader := range readers {
		select {
		case <-reader.Ended():
			disconnected++
		case <-late:
			reader.Close()
		}
		answers := reader.Answers()
		for stream, n := range answers.ByStream {
			assert.Equal(t, 1, n, "stream %d has one answer", stream)
		}
		if len(answers.ByStream) == reportsPerSlowReader {
			withAllAnswers++
		}
		for code, n := range answers.ByCode {
			byCode[code] += n
		}
	}
	t.Logf("%d of %d slow readers were disconnected within %v; answers %v; %d have an answer to each request",
		disconnected, len(readers), slowReaderMeasurement, byCode, withAllAnswers)
}

// quantile returns the q-quantile of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

var residentLines = regexp.MustCompile(`(?m)^Vm(?:RSS|HWM):.*$`)

// residentMemory returns the process's current and peak resident memory, as the kernel reports them.
func residentMemory(t *testing.T, r *routerProcess) string {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(t, err)
	return strings.Join(residentLines.FindAllString(string(status), -1), " ")
}

// residentKB returns the process's resident memory, or 0 if it has ended.
func residentKB(r *routerProcess) (kb int64) { return processStatusKB(r, "VmRSS:") }

// peakResidentKB returns the process's peak resident memory. The process must be running.
func peakResidentKB(t *testing.T, r *routerProcess) (kb int64) {
	t.Helper()
	kb = processStatusKB(r, "VmHWM:")
	require.Positive(t, kb)
	return kb
}

// processStatusKB returns a value of the process's status, or 0 if the process has ended.
func processStatusKB(r *routerProcess, name string) (kb int64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	if i := strings.Index(string(status), name); i >= 0 {
		fmt.Sscan(string(status[i+len(name):]), &kb)
	}
	return kb
}
