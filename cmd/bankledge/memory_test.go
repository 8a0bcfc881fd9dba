package main

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

// Resident memory of the program with 32 MB and 256 descriptors, idle and after 20,000 requests of 300 fingerprints. By hand:
// BANKLEDGE_BINARIES is a list of binaries, such as this version's and an earlier one's.
func TestResidentMemory(t *testing.T) {
	binaries := os.Getenv("BANKLEDGE_BINARIES")
	if binaries == "" {
		t.Skip("by hand: BANKLEDGE_BINARIES names programs to compare")
	}
	for _, binary := range strings.Split(binaries, ":") {
		e := fakes.NewSimulatedEngine(64, func(string, string) (time.Duration, int) { return 100 * time.Microsecond, 1 })
		feed := fakes.NewControlFeed()
		config := routerConfig{feed: feed, settings: fakes.Settings, memoryMB: 32, sockets: 256,
			members: []string{fakes.Member("e", e.Server.Listener.Addr().String(), "active")}}
		began := time.Now()
		r := startProcess(t, exec.Command(binary, "serve"), config)
		c, err := fakes.Dial(r.address)
		require.NoError(t, err)
		require.NoError(t, c.AwaitReady(testTimeout))
		ready := time.Since(began)
		idle := resident(t, r)
		mix := fakes.NewMix(1, fakes.MixOptions{Shapes: 300, EstimateOff: 1})
		first := mix.Next()
		<-c.Send(map[string]string{"c": fakes.Workloads()[first.Declared].Name, "i": "ffffffffffffffff", "d": "4000", "t": "x", "h": "0.1", "heap_mb": "8"}, string(first.Text))
		answered := time.Since(began)
		var wait sync.WaitGroup
		places := make(chan struct{}, 24)
		for n := range 20_000 {
			item := mix.Next()
			places <- struct{}{}
			answer := c.Send(map[string]string{"c": fakes.Workloads()[item.Declared].Name, "i": fmt.Sprintf("%016x", n), "d": "4000", "t": "x", "h": "0.1", "heap_mb": "8"}, string(item.Text))
			wait.Go(func() { <-answer; <-places })
		}
		wait.Wait()
		t.Logf("%s: ready after %v, first answer after %v, idle %s, after 20,000 requests %s", binary, ready, answered, idle, resident(t, r))
		c.Close()
		feed.Close()
		e.Close()
	}
}

func resident(t *testing.T, r *routerProcess) string {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(t, err)
	return strings.Join(regexp.MustCompile(`(?m)^Vm(?:RSS|HWM):.*$`).FindAllString(string(status), -1), " ")
}
