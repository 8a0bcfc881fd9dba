package flowcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// received returns the progress of a frame of 250 KB that began at time 0.
func received(bytes int64) FrameProgress {
	return FrameProgress{SizeBytes: 250 * kb, ReceivedBytes: bytes}
}

func reserve(t *testing.T, p *Peer, bytes, receivedBytes int64) {
	t.Helper()
	grant, revoked := p.ReserveFrame(time.Second, bytes, received(receivedBytes))
	require.Equal(t, FrameGranted, grant)
	require.Empty(t, revoked)
}

// Guards against slow frames that take the memory from fast ones: the frame whose rest takes longest is revoked, and no more than needed.
func TestSlowestFrameIsRevoked(t *testing.T) {
	controller := NewController(Limits{FrameBytes: 300 * kb})
	peers := openPeers(controller, "a", 4)
	reserve(t, peers[0], 100*kb, 90*kb)
	reserve(t, peers[1], 100*kb, 20*kb)
	reserve(t, peers[2], 100*kb, 50*kb)
	fast := FrameProgress{StartedAt: time.Second - time.Millisecond, SizeBytes: 250 * kb, ReceivedBytes: 60 * kb}
	grant, revoked := peers[3].ReserveFrame(time.Second, 64*kb, fast)
	assert.Equal(t, FrameDelayed, grant)
	assert.Equal(t, []*Peer{peers[1]}, revoked)
	assert.True(t, peers[1].RecordFrameProgress(received(21*kb)))
	assert.False(t, peers[2].RecordFrameProgress(received(51*kb)))
	grant, revoked = peers[3].ReserveFrame(time.Second, 64*kb, fast)
	assert.Equal(t, FrameDelayed, grant, "the memory is not free yet")
	assert.Empty(t, revoked, "enough was revoked")
	peers[1].ReleaseFrame()
	reserve(t, peers[3], 64*kb, 60*kb)
	assert.Equal(t, int64(264*kb), controller.Usage().FrameBytes)
}

// A peer whose own frame is the slowest, or can never have the memory, releases it.
func TestOwnFrameIsRevoked(t *testing.T) {
	controller := NewController(Limits{FrameBytes: 300 * kb})
	peers := openPeers(controller, "a", 2)
	reserve(t, peers[0], 150*kb, 90*kb)
	reserve(t, peers[1], 100*kb, 20*kb)
	grant, revoked := peers[1].ReserveFrame(time.Second, 100*kb, received(20*kb))
	assert.Equal(t, FrameRevoked, grant)
	assert.Empty(t, revoked)
	grant, _ = peers[0].ReserveFrame(time.Second, 151*kb, received(90*kb))
	assert.Equal(t, FrameRevoked, grant)
}

// An address with many frames takes no memory from one with few, even if those are slower.
func TestFramesOfTheHeaviestHostAreRevoked(t *testing.T) {
	controller := NewController(Limits{FrameBytes: 300 * kb})
	many := openPeers(controller, "a", 4)
	single := controller.OpenPeer("b")
	reserve(t, single, 60*kb, 10*kb)
	for i, p := range many {
		reserve(t, p, 60*kb, int64(i+2)*20*kb)
	}
	grant, revoked := single.ReserveFrame(time.Second, 60*kb, received(10*kb))
	assert.Equal(t, FrameDelayed, grant)
	assert.Equal(t, many[:1], revoked)
	many[0].Close()
	reserve(t, single, 60*kb, 10*kb)
	single.ShrinkFrame(60 * kb)
	single.Close()
	for _, p := range many {
		p.Close()
	}
	assert.Zero(t, controller.Usage())
}
