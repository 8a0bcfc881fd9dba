package faultlab

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const (
	ioTimeout = 10 * time.Second
	quietTime = 50 * time.Millisecond // in which no data may arrive
	testDelay = 80 * time.Millisecond
)

// startEchoServer starts a server that sends back all data that it receives.
func startEchoServer(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return listener
}

func startLink(t *testing.T, target net.Listener) *Link {
	t.Helper()
	link, err := NewLink(target.Addr().String())
	require.NoError(t, err)
	t.Cleanup(link.Close)
	return link
}

// linkClient is a connection through a link to an echo server.
type linkClient struct {
	t    *testing.T
	link *Link
	conn net.Conn
}

func connectThroughLink(t *testing.T) *linkClient {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after all other cleanups
	link := startLink(t, startEchoServer(t))
	conn, err := net.Dial("tcp", link.Address())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &linkClient{t: t, link: link, conn: conn}
}

func (c *linkClient) send(text string) {
	c.t.Helper()
	_, err := c.conn.Write([]byte(text))
	require.NoError(c.t, err)
}

// receive reads n bytes, or as many of them as arrive within a time.
func (c *linkClient) receive(n int, within time.Duration) (string, error) {
	b := make([]byte, n)
	c.conn.SetReadDeadline(time.Now().Add(within))
	n, err := io.ReadFull(c.conn, b)
	return string(b[:n]), err
}

func (c *linkClient) expect(text string) {
	c.t.Helper()
	got, err := c.receive(len(text), ioTimeout)
	require.NoError(c.t, err)
	assert.Equal(c.t, text, got)
}

func TestLinkRelays(t *testing.T) {
	c := connectThroughLink(t)
	c.send("one")
	c.expect("one")
	assert.Positive(t, c.link.Connections())
}

// Data that is in flight while a link is blocked passes when the link is restored.
func TestLinkBlocked(t *testing.T) {
	blocked := Impairment{Blocked: true}
	for name, impaired := range map[string]linkImpairments{
		"forward":   {forward: blocked},
		"reverse":   {reverse: blocked},
		"both ways": {forward: blocked, reverse: blocked},
	} {
		t.Run(name, func(t *testing.T) {
			c := connectThroughLink(t)
			c.link.Impair(impaired.forward, impaired.reverse)
			c.send("two")
			_, err := c.receive(1, quietTime)
			assert.Error(t, err)
			c.link.Restore()
			c.expect("two")
		})
	}
}

func TestLinkDelayed(t *testing.T) {
	c := connectThroughLink(t)
	c.link.Impair(Impairment{}, Impairment{Delay: testDelay})
	began := time.Now()
	c.send("three")
	c.expect("three")
	assert.GreaterOrEqual(t, time.Since(began), testDelay)
}

func TestLinkThrottled(t *testing.T) {
	c := connectThroughLink(t)
	c.link.Impair(Impairment{}, Impairment{Throttled: true})
	began := time.Now()
	c.send("four")
	c.expect("four")
	assert.GreaterOrEqual(t, time.Since(began), 3*throttleInterval)
}

// Open connections keep working while new connections are refused.
func TestLinkRefusesConnections(t *testing.T) {
	c := connectThroughLink(t)
	c.send("one")
	c.expect("one")
	require.NoError(t, c.link.RefuseConnections(true))
	_, err := net.Dial("tcp", c.link.Address())
	assert.Error(t, err, "refused")
	c.send("five")
	c.expect("five")
	require.NoError(t, c.link.RefuseConnections(false))
	again, err := net.Dial("tcp", c.link.Address())
	require.NoError(t, err)
	again.Close()
}

func TestLinkReset(t *testing.T) {
	c := connectThroughLink(t)
	c.send("one")
	c.expect("one")
	c.link.Reset()
	_, err := c.receive(1, ioTimeout)
	assert.ErrorContains(t, err, "reset")
}

// Data is dropped when its sender resets the connection, even if the data was in flight while the link was blocked.
func TestResetOvertakesDataInFlight(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	link := startLink(t, server)
	c, err := net.Dial("tcp", link.Address())
	require.NoError(t, err)
	to, err := server.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { to.Close() })
	link.Impair(Impairment{Blocked: true}, Impairment{Blocked: true})
	c.Write([]byte("late"))
	require.Eventually(t, func() bool { return link.InFlight() == 1 }, ioTimeout, time.Millisecond)
	resetConnection(c)
	require.Eventually(t, func() bool { return link.Resets() == 1 }, ioTimeout, time.Millisecond)
	link.Restore()
	to.SetReadDeadline(time.Now().Add(ioTimeout))
	n, err := to.Read(make([]byte, 10))
	assert.Zero(t, n)
	assert.ErrorContains(t, err, "reset")
}
