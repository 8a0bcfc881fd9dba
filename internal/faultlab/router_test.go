package faultlab

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two outages of a router that overlap start its process twice. Only the later one was killed at the end: soaks left routers running.
func TestCloseEndsEveryProcess(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "router")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	r, err := newFleet(&Schedule{Routers: 1}, Options{RouterProgram: program}, dir).newRouter(0)
	require.NoError(t, err)
	notAwaited, cancel := context.WithCancel(t.Context())
	cancel()
	var started []*process
	for range 2 {
		require.ErrorIs(t, r.start(notAwaited), context.Canceled)
		started = append(started, r.process)
	}
	r.close()
	for _, p := range started {
		assert.NotNil(t, p.cmd.ProcessState, "it has not ended")
	}
}
