package proxy

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/fakes"
	"bankledge/internal/settings"
)

const testTimeout = 15 * time.Second // limit for each awaited event

// runningRouter is a router that runs in the test process.
type runningRouter struct {
	*Router
	address string
}

func startRouter(t *testing.T, config []byte) *runningRouter {
	t.Helper()
	cfg, err := settings.ParseConfig(config)
	require.NoError(t, err)
	r := &runningRouter{Router: New(cfg, zap.NewNop())}
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(stop, nil, nil) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	r.address = (<-r.Serving()).String()
	return r
}

func (r *runningRouter) await(t *testing.T, what string, happened func() bool) {
	t.Helper()
	require.Eventually(t, happened, testTimeout, time.Millisecond, what)
}

// send writes a request on a new connection.
func (r *runningRouter) send(t *testing.T, workload, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	fields := map[string]string{"c": workload, "i": fmt.Sprintf("%016s", id), "d": "9000", "t": "x", "h": "5", "heap_mb": "8"}
	_, err = conn.Write(fakes.Frame(7, 1, fakes.Payload(fields, "select a from sales_1.b where id = "+id)))
	require.NoError(t, err)
	return conn
}

// newIdleRouter returns a router with these workloads that does not run.
func newIdleRouter(workloads ...decision.Workload) *Router {
	return New(&settings.Config{
		ListenAddress:    "127.0.0.1:0",
		DiscoveryAddress: "127.0.0.1:9",
		Limits:           settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128},
		Module:           &settings.ModuleSettings{Settings: decision.Settings{Workloads: workloads}},
	}, zap.NewNop())
}

func member(e *fakes.Engine, phase string) string {
	return fakes.Member(e.ID, e.Server.Listener.Addr().String(), phase)
}

func watchEvent(n int, members ...string) string {
	return fmt.Sprintf("id: %d\ndata: {\"n\":%d,\"members\":{\"members\":[%s]}}\n\n", n, n, strings.Join(members, ","))
}

// fakeClient is a client that records the codes of its answers.
type fakeClient struct {
	codes    []downstream.Code
	onAnswer func()
}

func (c *fakeClient) Answer(_ uint32, code downstream.Code, _ []byte) bool {
	c.codes = append(c.codes, code)
	if c.onAnswer != nil {
		c.onAnswer()
	}
	return false
}

func (*fakeClient) CloseStream(uint32)   {}
func (*fakeClient) Waits(uint32) bool    { return true }
func (*fakeClient) HasUnreadInput() bool { return false }
func (*fakeClient) ReserveText(int) bool { return true }
func (*fakeClient) ReleaseText(int)      {}
