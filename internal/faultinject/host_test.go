package faultinject

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const childVariable = "HOSTFAULT_TEST_CHILD"

// TestMain runs as the process under test if childVariable is set: for each command that it reads from standard input, it prints the result
// to standard output.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	began := time.Now()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		switch lines.Text() {
		case "clocks":
			now := time.Now()
			fmt.Println(now.Round(0).Sub(began.Round(0)).Milliseconds(), now.Sub(began).Milliseconds())
		case "connect":
			c, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				c.Close()
			}
			fmt.Println(err)
		}
	}
}

// child is a process under test.
type child struct {
	t   *testing.T
	in  io.Writer
	out *bufio.Reader
}

func startChild(t *testing.T, h *Host, sockets bool) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), childVariable+"=1"), h.Environment(sockets)...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		in.Close()
		assert.NoError(t, cmd.Wait())
	})
	return &child{t, in, bufio.NewReader(out)}
}

func (c *child) run(command string) string {
	c.t.Helper()
	_, err := io.WriteString(c.in, command+"\n")
	require.NoError(c.t, err)
	line, err := c.out.ReadString('\n')
	require.NoError(c.t, err)
	return strings.TrimSpace(line)
}

func newHost(t *testing.T) *Host {
	t.Helper()
	dir := t.TempDir()
	library, err := Build(dir)
	require.NoError(t, err)
	h, err := NewHost(library, dir, "host")
	require.NoError(t, err)
	t.Cleanup(func() { h.Close() })
	return h
}

// A step moves the wall clock of the process and leaves its monotonic clock unchanged.
func TestStepWallClock(t *testing.T) {
	h := newHost(t)
	c := startChild(t, h, false)
	elapsed := func() (wall, monotonic time.Duration) {
		var w, m int64
		_, err := fmt.Sscan(c.run("clocks"), &w, &m)
		require.NoError(t, err)
		return time.Duration(w) * time.Millisecond, time.Duration(m) * time.Millisecond
	}
	offset := time.Duration(0)
	for _, step := range []time.Duration{0, time.Hour, -3 * time.Second, -2 * time.Hour} {
		h.StepWallClock(step)
		offset += step
		wall, monotonic := elapsed()
		assert.InDelta(t, offset.Seconds(), (wall - monotonic).Seconds(), 0.1, "a step by %v", step)
		assert.Less(t, monotonic, time.Minute)
		assert.GreaterOrEqual(t, monotonic, time.Duration(0))
	}
}

// Calls fail with the configured error while it is set, and succeed otherwise.
func TestFailCalls(t *testing.T) {
	h := newHost(t)
	c := startChild(t, h, true)
	assert.Equal(t, "<nil>", c.run("connect"))
	for call, errno := range map[Call]syscall.Errno{Connect: syscall.EADDRNOTAVAIL, Socket: syscall.ENOBUFS} {
		before := h.FailedCalls(call)
		h.FailCalls(call, errno, 1)
		assert.Contains(t, c.run("connect"), errno.Error())
		h.FailCalls(call, errno, 0)
		assert.Equal(t, "<nil>", c.run("connect"))
		assert.Greater(t, h.FailedCalls(call), before)
	}
}
