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

const patience = 10 * time.Second

// echo answers each byte with itself.
func echo(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l
}

func TestLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := echo(t)
	defer server.Close()
	l, err := NewLink(server.Addr().String())
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	defer c.Close()
	say := func(text string) {
		_, err := c.Write([]byte(text))
		require.NoError(t, err)
	}
	hear := func(n int, within time.Duration) (string, error) {
		b := make([]byte, n)
		c.SetReadDeadline(time.Now().Add(within))
		n, err := io.ReadFull(c, b)
		return string(b[:n]), err
	}
	say("one")
	got, err := hear(3, patience)
	require.NoError(t, err)
	assert.Equal(t, "one", got)

	for name, ways := range map[string][2]Impairment{"cut there": {{Blocked: true}, {}}, "cut back": {{}, {Blocked: true}}, "cut both ways": {{Blocked: true}, {Blocked: true}}} {
		l.Impair(ways[0], ways[1])
		say("two")
		_, err = hear(1, 50*time.Millisecond)
		assert.Error(t, err, name)
		l.Impair(Impairment{}, Impairment{})
		got, err = hear(3, patience)
		assert.NoError(t, err, name)
		assert.Equal(t, "two", got, "what was on its way comes when the link is whole")
	}

	l.Impair(Impairment{}, Impairment{Delay: 80 * time.Millisecond})
	began := time.Now()
	say("three")
	_, err = hear(5, patience)
	assert.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(began), 80*time.Millisecond)

	l.Impair(Impairment{}, Impairment{Throttled: true})
	began = time.Now()
	say("four")
	_, err = hear(4, patience)
	assert.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(began), 3*throttleInterval)
	l.Impair(Impairment{}, Impairment{})

	require.NoError(t, l.RefuseConnections(true))
	_, err = net.Dial("tcp", l.Address())
	assert.Error(t, err, "refused")
	say("five")
	got, err = hear(4, patience)
	assert.NoError(t, err, "what stands goes on")
	assert.Equal(t, "five", got)
	require.NoError(t, l.RefuseConnections(false))
	again, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	again.Close()

	l.Reset()
	_, err = hear(1, patience)
	assert.ErrorContains(t, err, "reset")
	assert.Positive(t, l.Connections())
}

// What its sender has reset never comes, even if it was on its way when the link was cut.
func TestResetOvertakesWhatIsOnItsWay(t *testing.T) {
	defer goleak.VerifyNone(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	l, err := NewLink(server.Addr().String())
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	to, err := server.Accept()
	require.NoError(t, err)
	defer to.Close()
	l.Impair(Impairment{Blocked: true}, Impairment{Blocked: true})
	c.Write([]byte("late"))
	time.Sleep(20 * time.Millisecond) // for the link to have read it
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	time.Sleep(20 * time.Millisecond)
	l.Impair(Impairment{}, Impairment{})
	to.SetReadDeadline(time.Now().Add(patience))
	n, err := to.Read(make([]byte, 10))
	assert.Zero(t, n)
	assert.ErrorContains(t, err, "reset")
}
