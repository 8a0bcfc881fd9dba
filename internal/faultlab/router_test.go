package faultlab

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startTwice starts a router's process twice, as two overlapping outages do. The processes only sleep.
func startTwice(t *testing.T) (r *router, started []*process) {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "router")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	r, err := newFleet(&Scenario{Routers: 1}, Options{RouterProgram: program}, dir).newRouter(0)
	require.NoError(t, err)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		require.ErrorIs(t, r.start(cancelled), context.Canceled)
		started = append(started, r.process)
	}
	return r, started
}

// Two overlapping outages of a router start its process twice. close must kill both: soaks left routers running when it killed only the
// later process.
func TestCloseEndsEveryProcess(t *testing.T) {
	r, started := startTwice(t)
	r.close()
	for _, p := range started {
		assert.NotNil(t, p.cmd.ProcessState, "the process has not ended")
	}
}

// A process is suspended, and an overlapping outage starts another process before the first one is resumed. When resume signalled only the
// later process, the first one kept its clients' connections open and answered nothing until the end of the run (soak seed 111).
func TestResumeResumesTheProcessThatWasSuspended(t *testing.T) {
	r, started := startTwice(t)
	defer r.close()
	require.NoError(t, started[0].signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return processState(t, started[0]) == "T" }, 10*time.Second, time.Millisecond)
	require.NoError(t, r.resume())
	require.Eventually(t, func() bool { return processState(t, started[0]) != "T" }, 10*time.Second, time.Millisecond)
}

// processState returns the state of a process from /proc. T means suspended.
func processState(t *testing.T, p *process) string {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	return strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))[0]
}
