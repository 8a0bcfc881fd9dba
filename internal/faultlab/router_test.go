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

// startTwice starts a router's process twice, as two outages that overlap do. The processes do nothing.
func startTwice(t *testing.T) (r *router, started []*process) {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "router")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	r, err := newFleet(&Scenario{Routers: 1}, Options{RouterProgram: program}, dir).newRouter(0)
	require.NoError(t, err)
	notAwaited, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		require.ErrorIs(t, r.start(notAwaited), context.Canceled)
		started = append(started, r.process)
	}
	return r, started
}

// Two outages of a router that overlap start its process twice. Only the later one was killed at the end: soaks left routers running.
func TestCloseEndsEveryProcess(t *testing.T) {
	r, started := startTwice(t)
	r.close()
	for _, p := range started {
		assert.NotNil(t, p.cmd.ProcessState, "it has not ended")
	}
}

// A process is suspended, and an outage that overlaps starts another one before it is resumed. Only the later one was resumed: the first
// held its clients' connections and answered nothing until the end of the play (soak seed 111).
func TestResumeResumesTheProcessThatWasSuspended(t *testing.T) {
	r, started := startTwice(t)
	defer r.close()
	require.NoError(t, started[0].signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return processState(t, started[0]) == "T" }, 10*time.Second, time.Millisecond)
	require.NoError(t, r.resume())
	require.Eventually(t, func() bool { return processState(t, started[0]) != "T" }, 10*time.Second, time.Millisecond)
}

// processState returns the state of a process in /proc: T for one that is suspended.
func processState(t *testing.T, p *process) string {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	return strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))[0]
}
